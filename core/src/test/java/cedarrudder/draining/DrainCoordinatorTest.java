package cedarrudder.draining;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests single periods of drains between two replicas, of which the first is the leader. */
public class DrainCoordinatorTest {

    private static final long PERIOD = 500_000_000L;
    private static final int REPLICAS = 2;

    /** A replica with its local state. */
    private final class Replica implements DrainCoordinator.LocalState, DrainCoordinator.Actions {
        private final Map<Long, Integer> requests = new HashMap<>();
        private Set<Long> disabled = Set.of();
        private TrafficSample trafficSample = TrafficSample.NONE;
        private final DrainCoordinator drains;

        Replica(int number) {
            drains =
                    new DrainCoordinator(
                            REPLICAS,
                            number,
                            DrainSettings.DEFAULT,
                            DrainSimulation.CONDITIONS,
                            this,
                            now);
        }

        @Override
        public int requestsInFlight(long node) {
            return requests.getOrDefault(node, 0);
        }

        @Override
        public Set<Long> disabled() {
            return disabled;
        }

        @Override
        public TrafficSample trafficSample() {
            return trafficSample;
        }

        @Override
        public void onDrainChange(DrainCoordinator.DrainChange change) {}
    }

    private final Map<Long, DrainableNode> nodes = new TreeMap<>();
    private long now;
    private long utc;
    private Replica leader;
    private Replica other;

    @BeforeMethod
    public void begin() {
        now = 0;
        utc = 0;
        leader = new Replica(0);
        other = new Replica(1);
        nodes.clear();
        for (long id = 0; id < 6; id++) {
            nodes.put(
                    id,
                    new DrainableNode(id, "t", "z", (int) (id % 2), "k", 1, NodeStatus.SERVING, 0));
        }
    }

    private static DrainPolicy policy(
            int out, String pauseIf, String giveBackIf, int died, Window... closed) {
        return new DrainPolicy(
                "p",
                NodeSelector.ALL,
                MaxUnavailable.ANY,
                MaxUnavailable.ANY,
                new MaxUnavailable(out, 1),
                MinAvailable.NOTHING,
                DrainOrder.AS_ASKED,
                6,
                0,
                died,
                pauseIf,
                "",
                giveBackIf,
                10 * PERIOD,
                OnDeadline.KEEP_WAITING,
                OnRestart.BACK,
                List.of(closed));
    }

    /** Runs one period: the given replicas report, and all apply the leader's next command. */
    private void runPeriod(Replica... reporting) {
        now += PERIOD;
        for (Replica replica : reporting) {
            replica.drains
                    .report(now, replica)
                    .forEach(part -> leader.drains.onReport(now, replica == leader ? 0 : 1, part));
        }
        for (Replica replica : reporting) {
            commit(replica.drains.nextPolicyCommand());
        }
        commit(leader.drains.nextCommand(now, utc, nodes.values(), replica -> true));
    }

    private void commit(byte[] command) {
        if (command != null) {
            leader.drains.apply(now, command);
            other.drains.apply(now, command);
        }
    }

    private void runPeriods(int count) {
        for (int i = 0; i < count; i++) {
            runPeriod(leader, other);
        }
    }

    private void start(DrainPolicy policy, Long... asked) {
        leader.drains.setPolicies(1, List.of(policy));
        commit(DrainCoordinator.drainRequest(false, List.of(asked)));
        runPeriods(4);
    }

    private long drainsIn(DrainState state) {
        return leader.drains.progress().drains().stream()
                .filter(each -> each.state() == state)
                .count();
    }

    @Test
    public void wavesRespectTheBoundAndReportWhatBlocksTheRest() {
        start(policy(2, "", "", 6), 0L, 1L, 2L);
        runPeriods(4);
        assertEquals(drainsIn(DrainState.OUT), 2);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        assertEquals(other.drains.drainingNodes(), leader.drains.drainingNodes());
        assertEquals(
                leader.drains.progress().status().blocked(),
                List.of(new DrainCommand.BlockedBy(0, DrainCommand.Bound.TIER, 1)));
    }

    /** A wave must not begin on the reports of only some live replicas. */
    @Test
    public void liveReplicaWithoutReportBlocksWaves() {
        leader.drains.setPolicies(1, List.of(policy(2, "", "", 6)));
        commit(DrainCoordinator.drainRequest(false, List.of(0L)));
        for (int i = 0; i < 10; i++) {
            runPeriod(leader);
        }
        assertEquals(drainsIn(DrainState.WAITING), 1);
        runPeriods(1);
        assertEquals(drainsIn(DrainState.LEAVING), 1);
    }

    /** The reports of a process must soon stop counting for the process that replaces it. */
    @Test
    public void outdatedReportDoesNotEndDrain() {
        leader.requests.put(0L, 1);
        start(policy(1, "", "", 6), 0L);
        assertEquals(drainsIn(DrainState.LEAVING), 1);
        other = new Replica(1);
        for (int i = 0; i < 6; i++) {
            runPeriod(leader);
        }
        leader.requests.clear();
        runPeriod(leader);
        runPeriods(1);
        assertEquals(drainsIn(DrainState.OUT), 0);
        other.drains.onRestored(now, leader.drains.state());
        runPeriods(2);
        assertEquals(drainsIn(DrainState.OUT), 1);
    }

    @Test
    public void disabledAndFailedNodesCountAsUnavailable() {
        other.disabled = Set.of(4L);
        start(policy(2, "", "", 6), 0L, 1L, 2L);
        assertEquals(drainsIn(DrainState.OUT), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.FAILED));
        nodes.remove(0L);
        runPeriods(20);
        assertEquals(drainsIn(DrainState.WAITING), 2);
        other.disabled = Set.of();
        runPeriods(20);
        assertEquals(drainsIn(DrainState.WAITING), 1);
    }

    @Test
    public void policyOfHigherRevisionAppliesToAllReplicasDuringWave() {
        leader.requests.putAll(Map.of(0L, 1, 1L, 1));
        start(policy(3, "", "", 6), 0L, 1L, 2L, 3L);
        other.drains.setPolicies(2, List.of(policy(1, "", "", 6)));
        runPeriods(4);
        assertEquals(leader.drains.progress().revision(), 2);
        assertTrue(leader.drains.isOverruled());
        assertEquals(other.drains.isOverruled(), false);
        assertEquals(leader.drains.drainingNodes().size(), 3);
        leader.requests.clear();
        runPeriods(4);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        nodes.remove(0L);
        nodes.remove(1L);
        runPeriods(20);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        nodes.remove(2L);
        runPeriods(20);
        assertEquals(drainsIn(DrainState.WAITING), 0);
    }

    @Test
    public void conditionsWindowsAndFailedNodesBlockWaves() {
        start(policy(2, "throws", "", 6), 0L);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        leader.drains.setPolicies(2, List.of(policy(2, "", "", 6, new Window(1 << 3, 0, 60))));
        runPeriods(4);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.FAILED));
        leader.drains.setPolicies(3, List.of(policy(2, "", "", 0, new Window(1 << 3, 0, 60))));
        runPeriods(4);
        utc = 3_600_000;
        runPeriods(4);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.SERVING));
        runPeriods(4);
        assertEquals(drainsIn(DrainState.OUT), 1);
    }

    @Test
    public void giveBackConditionReturnsNodeAndItsDrainWaitsAgain() {
        leader.requests.put(0L, 1);
        start(policy(2, "", "failed", 6), 0L);
        other.trafficSample = new TrafficSample(10, 0, 5, 0);
        runPeriods(4);
        assertEquals(drainsIn(DrainState.WAITING), 1);
        assertEquals(leader.drains.drainingNodes(), List.of());
        other.trafficSample = TrafficSample.NONE;
        leader.requests.clear();
        runPeriods(6);
        assertEquals(drainsIn(DrainState.OUT), 1);
    }

    @Test
    public void nodeThatRestartsUnderItsIdServesAgain() {
        start(policy(2, "", "", 6), 0L);
        assertEquals(drainsIn(DrainState.OUT), 1);
        nodes.computeIfPresent(
                0L, (id, node) -> new DrainableNode(0, "t", "z", 0, "k", 1, NodeStatus.SERVING, 5));
        runPeriods(4);
        assertEquals(leader.drains.progress().drains(), List.of());
        assertEquals(
                leader.drains.progress().ended(),
                List.of(new DrainCoordinator.EndedDrain(0, DrainEvent.RETURNED)));
    }

    /**
     * A drain past its deadline must be reported as overdue, as it could otherwise stay unnoticed.
     */
    @Test
    public void drainPastDeadlineIsOverdueUntilNodeIsEmpty() {
        other.requests.put(0L, 1);
        start(policy(2, "", "", 6), 0L);
        runPeriods(12);
        assertEquals(drainsIn(DrainState.OVERDUE), 1);
        assertEquals(
                leader.drains.progress().status().remaining(),
                List.of(new DrainCommand.RemainingRequests(1, 1, 1)));
        other.requests.clear();
        runPeriods(2);
        assertEquals(drainsIn(DrainState.OUT), 1);
    }
}
