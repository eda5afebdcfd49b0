package cedarrudder.lab.baselines;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.lab.policy.GroundTruth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.testng.annotations.Test;

/** What each pick is for, against the formulas and descriptions of its source. */
public class PicksTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Limits LIMITS =
            new Limits(true, true, true, true, 4, SECOND, SECOND, SECOND);

    /** Nodes 1, 2, ... all of which may take an attempt, but for those that are closed. */
    private static final class Nodes<S> implements Candidates<S> {
        final SplittableRandom random = new SplittableRandom(1);
        final List<EndpointView<S>> members = new ArrayList<>();
        final Set<Long> closed = new HashSet<>();

        Nodes(int count, Pick<S> pick) {
            for (long id = 1; id <= count; id++) {
                EndpointView<S> member =
                        new EndpointView<>(new Endpoint(id, 0, 0, 0, EndpointStatus.READY, 1, 0));
                member.notes = pick.fresh(0);
                members.add(member);
            }
            pick.changed(members);
        }

        @Override
        public List<EndpointView<S>> ready() {
            return members;
        }

        @Override
        public boolean may(EndpointView<S> member) {
            return !closed.contains(member.id);
        }

        @Override
        public EndpointView<S> draw(EndpointView<S> except) {
            List<EndpointView<S>> open =
                    members.stream().filter(m -> m != except && may(m)).toList();
            return open.isEmpty() ? null : open.get(random.nextInt(open.size()));
        }
    }

    private static BalancerSettings settings(int replicas, int self) {
        return new BalancerSettings(
                replicas,
                self,
                0,
                0,
                1,
                false,
                SmallWorld.CLASSES,
                List.of(),
                LIMITS,
                new SafetyRules(SECOND, 0.25, 10 * SECOND, 4, SECOND, 10 * SECOND),
                new ServiceGoal(1, 0, 0, 0, 1),
                new ServicePrices(0, 0));
    }

    private static BaselineRequest call(long work) {
        return new BaselineRequest(
                new Request(1, 0, 0, SECOND, 0, false, false, work),
                SmallWorld.CLASSES.get(0),
                0,
                4);
    }

    private static LoadReport load(double busy) {
        return new LoadReport(Double.NaN, Double.NaN, busy, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    public void roundRobinGoesThroughAllAndPastClosedOnes() {
        RoundRobin pick = new RoundRobin();
        Nodes<Void> nodes = new Nodes<>(4, pick);
        nodes.closed.add(3L);
        List<Long> chosen = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            chosen.add(pick.choose(0, call(1), nodes).id);
        }
        assertEquals(chosen, List.of(1L, 2L, 4L, 1L, 2L, 4L));
    }

    @Test
    public void leastRequestsNeverTakesTheFullestOfTwoOrMore() {
        LeastRequests pick = new LeastRequests();
        Nodes<Void> nodes = new Nodes<>(3, pick);
        nodes.members.get(1).inFlight = 5;
        for (int i = 0; i < 200; i++) {
            assertTrue(pick.choose(0, call(1), nodes).id != 2);
        }
        nodes.closed.addAll(List.of(1L, 3L));
        assertEquals(pick.choose(0, call(1), nodes).id, 2);
        nodes.closed.add(2L);
        assertNull(pick.choose(0, call(1), nodes));
    }

    @Test
    public void peakEwmaJumpsUpAndDecays() {
        PeakEwma pick = new PeakEwma();
        EndpointView<PeakEwma.Average> member = new Nodes<>(1, pick).members.get(0);
        member.inFlight = 1;
        assertEquals(PeakEwma.cost(0, member), PeakEwma.PENALTY + 1);
        pick.ended(0, call(1), member, 100);
        member.inFlight = 0;
        assertEquals(PeakEwma.cost(0, member), 100.0);
        member.inFlight = 2;
        assertEquals(PeakEwma.cost((long) PeakEwma.DECAY, member), 3 * 100 / Math.E, 1e-9);
        pick.ended((long) PeakEwma.DECAY, call(1), member, 500);
        assertEquals(PeakEwma.cost((long) PeakEwma.DECAY, member), 1500.0);
    }

    @Test
    public void weightsFollowWhatANodeDoesForItsBusyTime() {
        WeightedRoundRobin pick = new WeightedRoundRobin(LIMITS, new SplittableRandom(3));
        Nodes<WeightedRoundRobin.Turn> nodes = new Nodes<>(2, pick);
        // Node 2 does three times the work of node 1: under as many requests it is a third as busy.
        double[] speeds = {1, 3};
        double[] chosen = new double[2];
        long tick = pick.period();
        for (long now = 0; now < 300 * SECOND; now += tick) {
            double[] sent = new double[2];
            for (int i = 0; i < 10; i++) {
                EndpointView<WeightedRoundRobin.Turn> member = pick.choose(now, call(1), nodes);
                pick.sent(now, call(1), member);
                sent[(int) member.id - 1]++;
            }
            for (int i = 0; i < 2; i++) {
                pick.reported(now, nodes.members.get(i), load(sent[i] / 20 / speeds[i]));
                chosen[i] += now < 200 * SECOND ? 0 : sent[i];
            }
            pick.tick(now, nodes.members, new NoActions());
        }
        assertEquals(chosen[1] / chosen[0], 3.0, 0.2);
    }

    @Test
    public void weightedRoundRobinIsPlainWithoutReports() {
        WeightedRoundRobin pick = new WeightedRoundRobin(LIMITS, new SplittableRandom(3));
        Nodes<WeightedRoundRobin.Turn> nodes = new Nodes<>(5, pick);
        Map<Long, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            chosen.merge(pick.choose(0, call(1), nodes).id, 1, Integer::sum);
        }
        chosen.values().forEach(count -> assertEquals(count, 200, 1));
    }

    @Test
    public void nodeThatWasClosedIsNotOwedItsTurns() {
        WeightedRoundRobin pick = new WeightedRoundRobin(LIMITS, new SplittableRandom(3));
        Nodes<WeightedRoundRobin.Turn> nodes = new Nodes<>(3, pick);
        nodes.closed.add(1L);
        for (int i = 0; i < 300; i++) {
            assertTrue(pick.choose(0, call(1), nodes).id != 1);
        }
        nodes.closed.clear();
        int ofFirst = 0;
        for (int i = 0; i < 30; i++) {
            ofFirst += pick.choose(0, call(1), nodes).id == 1 ? 1 : 0;
        }
        assertEquals(ofFirst, 10, 1);
    }

    @Test
    public void subsetsOfARoundCoverNodesEvenlyAndChangeLittle() {
        int replicas = 40;
        Map<Long, Integer> covered = new HashMap<>();
        int moved = 0;
        for (int self = 0; self < replicas; self++) {
            SubsetLeastRequests pick =
                    new SubsetLeastRequests(settings(replicas, self), new SplittableRandom(1));
            new Nodes<>(120, pick);
            assertEquals(pick.subset().size(), SubsetLeastRequests.MIN);
            pick.subset().forEach(m -> covered.merge(m.id, 1, Integer::sum));
            Nodes<Void> nodes = new Nodes<>(125, pick);
            List<EndpointView<Void>> before = List.copyOf(pick.subset());
            nodes.members.remove(60);
            pick.changed(nodes.members);
            moved += (int) pick.subset().stream().filter(m -> !before.contains(m)).count();
        }
        // Ten subsets of 12 make a round of 120 nodes: four rounds cover each node four times.
        assertEquals(Set.copyOf(covered.values()), Set.of(4));
        assertEquals(covered.size(), 120);
        assertTrue(moved <= 4 * replicas, moved + " of " + 12 * replicas + " moved");
    }

    @Test
    public void fewReplicasTakeLargerSubsets() {
        SubsetLeastRequests pick = new SubsetLeastRequests(settings(1, 0), new SplittableRandom(1));
        new Nodes<>(50, pick);
        assertEquals(pick.subset().size(), 50);
    }

    /**
     * The true state, made of what a test cares about; a node holds one request where it has work.
     */
    private record Seen(LongToDoubleFunction speed, LongToDoubleFunction work, long deaf)
            implements GroundTruth {
        @Override
        public boolean takes(long endpoint) {
            return endpoint != deaf;
        }

        @Override
        public double capacity(long endpoint) {
            return speed.applyAsDouble(endpoint);
        }

        @Override
        public double backlog(long endpoint) {
            return work.applyAsDouble(endpoint);
        }

        @Override
        public int held(long endpoint) {
            return backlog(endpoint) > 0 ? 1 : 0;
        }

        @Override
        public boolean sound(long endpoint) {
            return true;
        }
    }

    @Test
    public void oracleTakesTheOneThatIsDoneFirst() {
        // Node 2 is idle and slow, 3 is quick and has some work, 4 would be best but takes nothing.
        GroundTruth truth =
                new Seen(id -> id == 2 ? 0.4 : 1, id -> id == 3 ? 10e6 : id == 1 ? 100e6 : 0, 4);
        Oracle pick = new Oracle(settings(1, 0), truth);
        Nodes<Oracle.Way> nodes = new Nodes<>(4, pick);
        EndpointView<Oracle.Way> third = nodes.members.get(2);
        assertSame(pick.choose(0, call(20_000_000), nodes), third);
        // A short one shares the cores of a quick node, and is still done sooner than alone on the
        // slow one.
        assertEquals(pick.choose(0, call(1_000_000), nodes).id, 1);
        pick.sent(0, call(200_000_000), third);
        assertEquals(pick.choose(1, call(20_000_000), nodes).id, 1);
        assertSame(pick.choose(SECOND, call(20_000_000), nodes), third);
    }

    @Test
    public void oracleTurnsTheLeastWorthyAwayFirst() {
        RequestClass cheap = worth(1);
        RequestClass dear = worth(8);
        BalancerSettings none = settings(1, 0);
        Admission admission =
                new Admission(
                        new BalancerSettings(
                                1,
                                0,
                                0,
                                0,
                                1,
                                false,
                                List.of(cheap, dear),
                                List.of(),
                                none.limits(),
                                none.safety(),
                                none.goal(),
                                none.prices()));
        BaselineRequest slow =
                new BaselineRequest(new Request(1, 0, 0, SECOND, 0, false, false, 0), cheap, 0, 4);
        int both = 0;
        int one = 0;
        for (int i = 0; i < 50; i++) {
            boolean first = admission.admits(cheap.latencyObjectiveNanos(), call(cheap, 0));
            boolean second = admission.admits(cheap.latencyObjectiveNanos(), call(dear, 1));
            assertTrue(second || !first);
            both += first ? 1 : 0;
            one += second ? 1 : 0;
            admission.ended(cheap.latencyObjectiveNanos(), slow);
        }
        assertTrue(both > 0 && one > both && one < 50, both + " and " + one);
        assertTrue(admission.admits(cheap.latencyObjectiveNanos() + 10 * SECOND, call(cheap, 0)));
    }

    private static RequestClass worth(double worth) {
        RequestClass kind = SmallWorld.CLASSES.get(0);
        return new RequestClass(
                "worth " + worth,
                kind.idempotency(),
                kind.keyScope(),
                kind.latencyObjectiveNanos(),
                kind.deadlineNanos(),
                worth,
                0,
                kind.keyWindowNanos(),
                false);
    }

    private static BaselineRequest call(RequestClass kind, int index) {
        return new BaselineRequest(
                new Request(1, index, 0, SECOND, 0, false, false, 0), kind, 0, 4);
    }

    @Test
    public void unknownPolicyIsNamedWithThoseThatThereAre() {
        assertThrows(IllegalArgumentException.class, () -> Policies.named("least"));
        assertEquals(
                Policies.names(),
                List.of(
                        "cedarrudder",
                        "random",
                        "round-robin",
                        "least-requests",
                        "peak-ewma",
                        "weighted-round-robin",
                        "subset-least-requests",
                        "oracle"));
    }
}
