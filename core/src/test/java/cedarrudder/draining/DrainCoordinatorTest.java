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

/** Single turns of drains between two replicas, of which the first leads. */
public class DrainCoordinatorTest {

    private static final long PERIOD = 500_000_000L;
    private static final int REPLICAS = 2;

    /** A replica with what it has. */
    private final class Copy implements DrainCoordinator.LocalState, DrainCoordinator.Actions {
        private final Map<Long, Integer> calls = new HashMap<>();
        private Set<Long> disabled = Set.of();
        private TrafficSample trafficSample = TrafficSample.NONE;
        private final DrainCoordinator drains;

        Copy(int number) {
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
            return calls.getOrDefault(node, 0);
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
        public void onDrainChange(DrainCoordinator.DrainChange happened) {}
    }

    private final Map<Long, DrainableNode> nodes = new TreeMap<>();
    private long now;
    private long utc;
    private Copy leader;
    private Copy other;

    @BeforeMethod
    public void begin() {
        now = 0;
        utc = 0;
        leader = new Copy(0);
        other = new Copy(1);
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

    /** A period: those that speak report, the leader has its next command committed at all. */
    private void turn(Copy... speak) {
        now += PERIOD;
        for (Copy replica : speak) {
            replica.drains
                    .report(now, replica)
                    .forEach(part -> leader.drains.onReport(now, replica == leader ? 0 : 1, part));
        }
        for (Copy replica : speak) {
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

    private void turns(int times) {
        for (int i = 0; i < times; i++) {
            turn(leader, other);
        }
    }

    private void start(DrainPolicy policy, Long... asked) {
        leader.drains.setPolicies(1, List.of(policy));
        commit(DrainCoordinator.drainRequest(false, List.of(asked)));
        turns(4);
    }

    private long in(DrainState state) {
        return leader.drains.progress().drains().stream()
                .filter(each -> each.state() == state)
                .count();
    }

    @Test
    public void asManyLeaveAsMayAndItIsToldWhatKeepsTheOthers() {
        start(policy(2, "", "", 6), 0L, 1L, 2L);
        turns(4);
        assertEquals(in(DrainState.OUT), 2);
        assertEquals(in(DrainState.WAITING), 1);
        assertEquals(other.drains.drainingNodes(), leader.drains.drainingNodes());
        assertEquals(
                leader.drains.progress().status().blocked(),
                List.of(new DrainCommand.BlockedBy(0, DrainCommand.Bound.TIER, 1)));
    }

    /** Detects a wave that begins on the word of some. */
    @Test
    public void aLiveCopyThatSaysNothingHoldsWavesUp() {
        leader.drains.setPolicies(1, List.of(policy(2, "", "", 6)));
        commit(DrainCoordinator.drainRequest(false, List.of(0L)));
        for (int i = 0; i < 10; i++) {
            turn(leader);
        }
        assertEquals(in(DrainState.WAITING), 1);
        turns(1);
        assertEquals(in(DrainState.LEAVING), 1);
    }

    /**
     * Detects what a process had said counting for long for the one that began anew in its place.
     */
    @Test
    public void whatACopySaidLongAgoDoesNotCount() {
        leader.calls.put(0L, 1);
        start(policy(1, "", "", 6), 0L);
        assertEquals(in(DrainState.LEAVING), 1);
        other = new Copy(1);
        for (int i = 0; i < 6; i++) {
            turn(leader);
        }
        leader.calls.clear();
        turn(leader);
        turns(1);
        assertEquals(in(DrainState.OUT), 0);
        other.drains.onRestored(now, leader.drains.state());
        turns(2);
        assertEquals(in(DrainState.OUT), 1);
    }

    @Test
    public void nodesLeftOutByHandAndFailingOnesCountAsOut() {
        other.disabled = Set.of(4L);
        start(policy(2, "", "", 6), 0L, 1L, 2L);
        assertEquals(in(DrainState.OUT), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.FAILED));
        nodes.remove(0L);
        turns(20);
        assertEquals(in(DrainState.WAITING), 2);
        other.disabled = Set.of();
        turns(20);
        assertEquals(in(DrainState.WAITING), 1);
    }

    @Test
    public void aPolicyOfAHigherRevisionAtAnyCopyCountsForAllInTheMidstOfAWave() {
        leader.calls.putAll(Map.of(0L, 1, 1L, 1));
        start(policy(3, "", "", 6), 0L, 1L, 2L, 3L);
        other.drains.setPolicies(2, List.of(policy(1, "", "", 6)));
        turns(4);
        assertEquals(leader.drains.progress().revision(), 2);
        assertTrue(leader.drains.isOverruled());
        assertEquals(other.drains.isOverruled(), false);
        assertEquals(leader.drains.drainingNodes().size(), 3);
        leader.calls.clear();
        turns(4);
        assertEquals(in(DrainState.WAITING), 1);
        nodes.remove(0L);
        nodes.remove(1L);
        turns(20);
        assertEquals(in(DrainState.WAITING), 1);
        nodes.remove(2L);
        turns(20);
        assertEquals(in(DrainState.WAITING), 0);
    }

    @Test
    public void conditionsWindowsAndDeadNodesHoldWavesUp() {
        start(policy(2, "throws", "", 6), 0L);
        assertEquals(in(DrainState.WAITING), 1);
        leader.drains.setPolicies(2, List.of(policy(2, "", "", 6, new Window(1 << 3, 0, 60))));
        turns(4);
        assertEquals(in(DrainState.WAITING), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.FAILED));
        leader.drains.setPolicies(3, List.of(policy(2, "", "", 0, new Window(1 << 3, 0, 60))));
        turns(4);
        utc = 3_600_000;
        turns(4);
        assertEquals(in(DrainState.WAITING), 1);
        nodes.computeIfPresent(5L, (id, node) -> node.with(NodeStatus.SERVING));
        turns(4);
        assertEquals(in(DrainState.OUT), 1);
    }

    @Test
    public void whatLeavesIsGivenBackAndWaitsAgain() {
        leader.calls.put(0L, 1);
        start(policy(2, "", "failed", 6), 0L);
        other.trafficSample = new TrafficSample(10, 0, 5, 0);
        turns(4);
        assertEquals(in(DrainState.WAITING), 1);
        assertEquals(leader.drains.drainingNodes(), List.of());
        other.trafficSample = TrafficSample.NONE;
        leader.calls.clear();
        turns(6);
        assertEquals(in(DrainState.OUT), 1);
    }

    @Test
    public void aNodeThatRestartsUnderItsIdIsBack() {
        start(policy(2, "", "", 6), 0L);
        assertEquals(in(DrainState.OUT), 1);
        nodes.computeIfPresent(
                0L, (id, node) -> new DrainableNode(0, "t", "z", 0, "k", 1, NodeStatus.SERVING, 5));
        turns(4);
        assertEquals(leader.drains.progress().drains(), List.of());
        assertEquals(
                leader.drains.progress().ended(),
                List.of(new DrainCoordinator.EndedDrain(0, DrainEvent.RETURNED)));
    }

    /** Detects a drain that goes on for good: at the end of its time the log says so. */
    @Test
    public void oneWhoseTimeIsUpIsOverdueUntilItIsEmpty() {
        other.calls.put(0L, 1);
        start(policy(2, "", "", 6), 0L);
        turns(12);
        assertEquals(in(DrainState.OVERDUE), 1);
        assertEquals(
                leader.drains.progress().status().remaining(),
                List.of(new DrainCommand.RemainingRequests(1, 1, 1)));
        other.calls.clear();
        turns(2);
        assertEquals(in(DrainState.OUT), 1);
    }
}
