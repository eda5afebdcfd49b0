package cedarrudder.draining;

import cedarrudder.conventions.Golden;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates replicas in virtual time over a log that orders their proposals and may lose those of a
 * replaced leader. Checks the invariants against the true state of the simulation: where each
 * replica sends requests, and where it has requests in flight.
 */
final class DrainSimulation {

    static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final long PERIOD = 500 * MILLI;
    private static final long START = 1_000_000_000_000L;

    /**
     * Conditions of tests: {@code failed} holds above a fraction of 0.1, {@code true} always, and
     * {@code throws} can't be evaluated. A condition on a node is the name of its kind.
     */
    static final ConditionCompiler CONDITIONS =
            new ConditionCompiler() {
                @Override
                public PolicyCondition compilePolicyCondition(String text) {
                    return inputs -> {
                        if (text.equals("throws")) {
                            throw new IllegalStateException(text);
                        }
                        return text.equals("true")
                                || text.equals("failed") && inputs.failed() > 0.1;
                    };
                }

                @Override
                public NodeCondition compileNodeCondition(String text) {
                    return node -> node.kind().equals(text);
                }
            };

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final class Replica implements DrainCoordinator.LocalState, DrainCoordinator.Actions {
        private final int number;
        private DrainCoordinator drains;
        private boolean live = true;
        private boolean stalled;
        private long diedAt;
        private int applied;
        private long incarnation;
        private Set<Long> draining = new HashSet<>();
        private final Map<Long, Integer> requests = new HashMap<>();
        private final Set<Long> disabled = new HashSet<>();

        Replica(int number) {
            this.number = number;
            begin();
        }

        void begin() {
            incarnation++;
            drains =
                    new DrainCoordinator(
                            replicas, number, DrainSettings.DEFAULT, CONDITIONS, this, now);
            drains.setPolicies(1, policies);
            applied = 0;
            requests.clear();
            draining.clear();
        }

        void applyLog() {
            while (live && !stalled && applied < log.size()) {
                drains.apply(now, log.get(applied++));
                updateDraining();
                if (!Arrays.equals(drains.state(), states.get(applied - 1))) {
                    recordViolation("replica " + number + " has another state after " + applied);
                }
            }
        }

        void updateDraining() {
            draining = new HashSet<>();
            drains.drainingNodes().forEach(each -> draining.add(each.node()));
        }

        void send(DrainableNode node) {
            if (!live
                    || stalled
                    || applied == 0 && !log.isEmpty()
                    || draining.contains(node.id())) {
                return;
            }
            requests.merge(node.id(), 1, Integer::sum);
            long startedIn = incarnation;
            long duration = random.nextInt(50) == 0 ? 20 * SECOND : random.nextLong(2 * SECOND);
            at(
                    now + duration,
                    () -> {
                        if (incarnation == startedIn && live) {
                            requests.merge(node.id(), -1, Integer::sum);
                        }
                    });
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
            return new TrafficSample(100, 0, failing ? 50 : 0, 0);
        }

        @Override
        public void onDrainChange(DrainCoordinator.DrainChange change) {}
    }

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int replicas;
    private final List<Replica> all = new ArrayList<>();
    private final Map<Long, DrainableNode> nodes = new HashMap<>();
    private final List<byte[]> log = new ArrayList<>();
    private final List<byte[]> states = new ArrayList<>();
    private final DrainStateMachine trueState = new DrainStateMachine();
    private final Map<Long, Long> openSince = new HashMap<>();
    final List<DrainPolicy> policies;
    private final double loss;

    /** Whether nodes are removed from the list once they are drained. */
    private final boolean removesDrainedNodes;

    private long now = START;
    private long order;
    private int leader;
    private int leaders;
    private int proposedAtLogSize = -1;
    private boolean failing;
    private String violation;
    int begun;
    int emptied;
    int returned;

    DrainSimulation(long seed) {
        random = new SplittableRandom(seed);
        removesDrainedNodes = random.nextBoolean();
        replicas = 3 + random.nextInt(6);
        loss = random.nextInt(3) * 0.15;
        int zones = 1 + random.nextInt(3);
        int pods = zones * (1 + random.nextInt(3));
        int each = 3 + random.nextInt(5);
        for (int pod = 0; pod < pods; pod++) {
            for (int i = 0; i < each; i++) {
                long id = 100L * pod + i;
                nodes.put(
                        id,
                        new DrainableNode(
                                id,
                                "t",
                                "z" + pod % zones,
                                pod,
                                i % 2 == 0 ? "big" : "small",
                                1 + i % 2,
                                NodeStatus.SERVING,
                                0));
            }
        }
        OnDeadline onDeadline = OnDeadline.values()[random.nextInt(3)];
        DrainPolicy wide =
                new DrainPolicy(
                        "wide",
                        NodeSelector.ALL,
                        new MaxUnavailable(1 + random.nextInt(2), 0.5),
                        new MaxUnavailable(2 + random.nextInt(3), 0.5),
                        new MaxUnavailable(2 + random.nextInt(4), 0.4),
                        MinAvailable.NOTHING,
                        DrainOrder.values()[random.nextInt(DrainOrder.values().length)],
                        1 + random.nextInt(4),
                        random.nextLong(2) * SECOND,
                        100,
                        "",
                        "",
                        random.nextBoolean() ? "failed" : "",
                        8 * SECOND,
                        onDeadline,
                        OnRestart.values()[random.nextInt(2)],
                        List.of());
        DrainPolicy narrow =
                new DrainPolicy(
                        "narrow",
                        new NodeSelector("", "", -1, "", 0, 9, "big"),
                        MaxUnavailable.ANY,
                        new MaxUnavailable(1, 1),
                        MaxUnavailable.ANY,
                        new MinAvailable(1, 0, 0, 0.5),
                        DrainOrder.AS_ASKED,
                        10,
                        0,
                        100,
                        "failed",
                        "",
                        "",
                        6 * SECOND,
                        onDeadline,
                        OnRestart.BACK,
                        List.of());
        policies = random.nextBoolean() ? List.of(wide) : List.of(wide, narrow);
        for (int i = 0; i < replicas; i++) {
            all.add(new Replica(i));
        }
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void recordViolation(String what) {
        violation = violation == null ? what + " at " + (now - START) / MILLI + " ms" : violation;
    }

    /** Returns a digest of all committed commands and of the state after each. */
    Golden.Digest history() {
        Golden.Digest digest = new Golden.Digest();
        log.forEach(digest::add);
        states.forEach(digest::add);
        return digest;
    }

    /** Runs the simulation; returns the first violation, or null. */
    String run(long faultTime, long quietTime) {
        long end = START + faultTime;
        for (Replica replica : all) {
            at(now + random.nextLong(PERIOD), () -> report(replica));
        }
        at(now, this::runLeader);
        at(now, () -> propose(all.get(0).drains.nextPolicyCommand()));
        at(now, this::sendRequests);
        for (int i = 0; i < 12; i++) {
            at(now + random.nextLong(faultTime), this::injectFault);
        }
        for (int i = 0; i < 6; i++) {
            at(
                    now + random.nextLong(faultTime / 2),
                    () -> {
                        Replica proposer = randomReplica();
                        if (proposer.live) {
                            List<Long> requested =
                                    nodes.keySet().stream()
                                            .sorted()
                                            .filter(id -> random.nextInt(3) == 0)
                                            .limit(13)
                                            .toList();
                            if (!requested.isEmpty()) {
                                propose(
                                        DrainCoordinator.drainRequest(
                                                random.nextInt(4) == 0, requested));
                            }
                        }
                    });
        }
        at(end, this::heal);
        while (now < end + quietTime && violation == null) {
            Event event = events.remove();
            now = event.at;
            event.action.run();
        }
        checkInvariants();
        return violation;
    }

    private Replica randomReplica() {
        return all.get(random.nextInt(replicas));
    }

    private void sendRequests() {
        for (Replica replica : all) {
            nodes.values().stream()
                    .sorted((a, b) -> Long.compare(a.id(), b.id()))
                    .forEach(
                            node -> {
                                if (random.nextInt(4) == 0) {
                                    replica.send(node);
                                }
                            });
        }
        at(now + 200 * MILLI, this::sendRequests);
    }

    private void report(Replica replica) {
        if (replica.live && !replica.stalled) {
            int to = leader;
            for (byte[] part : replica.drains.report(now, replica)) {
                int times =
                        replica.number == to || random.nextDouble() >= loss
                                ? 1 + random.nextInt(10) / 9
                                : 0;
                for (int i = 0; i < times; i++) {
                    at(
                            now + random.nextLong(30 * MILLI),
                            () -> {
                                if (all.get(to).live && !all.get(to).stalled) {
                                    all.get(to).drains.onReport(now, replica.number, part);
                                }
                            });
                }
            }
        }
        at(now + PERIOD, () -> report(replica));
    }

    private void runLeader() {
        Replica current = all.get(leader);
        if (current.live && !current.stalled) {
            current.applyLog();
            if (proposedAtLogSize < 0 || log.size() > proposedAtLogSize) {
                byte[] command =
                        current.drains.nextCommand(
                                now, START / MILLI, nodes.values(), this::isSeenAlive);
                if (command != null) {
                    proposedAtLogSize = log.size();
                    propose(command);
                }
            }
        }
        at(now + PERIOD, this::runLeader);
    }

    /**
     * Returns whether membership reports a replica as alive: a failure is detected some seconds
     * late, and a stalled replica is taken for dead.
     */
    private boolean isSeenAlive(int replica) {
        Replica one = all.get(replica);
        return one.live && !one.stalled || now - one.diedAt < 3 * SECOND;
    }

    private void propose(byte[] command) {
        long delay = random.nextLong(400 * MILLI);
        int proposedUnder = leaders;
        // If the leader is replaced meanwhile, the command may be committed or lost.
        at(
                now + delay,
                () -> {
                    if (proposedUnder == leaders || random.nextBoolean()) {
                        commit(command);
                    }
                });
    }

    private void commit(byte[] command) {
        log.add(command);
        for (DrainCoordinator.DrainChange each : trueState.apply(command)) {
            checkChange(each);
        }
        states.add(trueState.encode());
        checkInvariants();
        for (Replica replica : all) {
            at(now + random.nextLong(SECOND), replica::applyLog);
        }
    }

    private void checkChange(DrainCoordinator.DrainChange change) {
        begun += change.event() == DrainEvent.BEGUN ? 1 : 0;
        returned += change.event() == DrainEvent.RETURNED ? 1 : 0;
        if (change.after().isOpen() && !change.before().isOpen()) {
            openSince.put(change.node(), now);
        } else if (!change.after().isOpen()) {
            openSince.remove(change.node());
        }
        if (change.event() == DrainEvent.ALARMED) {
            openSince.remove(change.node());
        }
        if (change.after() == DrainState.OUT && removesDrainedNodes) {
            at(
                    now + 3 * SECOND,
                    () -> {
                        if (trueState.state(change.node()) == DrainState.OUT) {
                            nodes.remove(change.node());
                        }
                    });
        }
        if (change.event() == DrainEvent.EMPTY) {
            emptied++;
            for (Replica replica : all) {
                if (replica.live && replica.requestsInFlight(change.node()) > 0) {
                    recordViolation(
                            "node "
                                    + change.node()
                                    + " is committed as empty with requests in flight of replica "
                                    + replica.number);
                }
            }
        }
        if (change.event() == DrainEvent.RETURNED) {
            for (Replica replica : all) {
                if (replica.live && replica.draining.contains(change.node())) {
                    recordViolation(
                            "node "
                                    + change.node()
                                    + " is committed as returned, but replica "
                                    + replica.number
                                    + " still drains it");
                }
            }
        }
    }

    /**
     * Checks that drains make no more nodes unavailable than each policy allows, counting those
     * that some replica still drains, and that no drain stays open past its deadline.
     */
    private void checkInvariants() {
        Set<Long> out = new HashSet<>();
        trueState.drains().stream()
                .filter(drain -> drain.state.isOut())
                .forEach(drain -> out.add(drain.node));
        all.stream()
                .filter(replica -> replica.live)
                .forEach(replica -> out.addAll(replica.draining));
        for (DrainPolicy policy : trueState.policies()) {
            DisruptionCounts counted = new DisruptionCounts(policy);
            for (DrainableNode node : nodes.values()) {
                if (policy.selector().matches(node)
                        && (policy.selector().where().isEmpty()
                                || policy.selector().where().equals(node.kind()))) {
                    counted.add(node, out.contains(node.id()));
                }
            }
            if (counted.isExceeded()) {
                recordViolation(
                        "more nodes are unavailable than " + policy.name() + " allows: " + out);
            }
        }
        openSince.forEach(
                (node, since) -> {
                    if (now - since > 9 * SECOND + leaders * 3 * SECOND + timeWithoutLeader) {
                        recordViolation("node " + node + " is open past its deadline");
                    }
                });
    }

    /** The time without a leader, in nanoseconds. */
    private long timeWithoutLeader;

    private void injectFault() {
        Replica replica = randomReplica();
        switch (random.nextInt(6)) {
            case 0 -> {
                if (replica.live && all.stream().filter(each -> each.live).count() > 2) {
                    replica.live = false;
                    replica.diedAt = now;
                    replica.incarnation++;
                    replica.requests.clear();
                    replica.draining.clear();
                    at(
                            now + 4 * SECOND + random.nextLong(20 * SECOND),
                            () -> {
                                replica.live = true;
                                replica.begin();
                                replica.applyLog();
                            });
                    timeWithoutLeader += replica.number == leader ? 5 * SECOND : 0;
                    replaceLeader();
                }
            }
            case 1 -> {
                replica.stalled = true;
                replica.diedAt = now;
                timeWithoutLeader += 5 * SECOND;
                at(now + 5 * SECOND, () -> replica.stalled = false);
                at(now + 6 * SECOND, replica::applyLog);
                replaceLeader();
            }
            case 2 -> replaceLeader();
            case 3 -> restart(random.nextLong(2) * 100 + random.nextInt(3));
            case 4 -> {
                failing = true;
                at(now + 4 * SECOND, () -> failing = false);
            }
            default -> {
                long id = random.nextLong(2) * 100 + random.nextInt(3);
                DrainableNode node = nodes.get(id);
                if (node != null) {
                    nodes.put(id, node.with(NodeStatus.FAILED));
                    at(
                            now + 6 * SECOND,
                            () ->
                                    nodes.computeIfPresent(
                                            id, (key, one) -> one.with(NodeStatus.SERVING)));
                }
            }
        }
    }

    private void restart(long id) {
        nodes.computeIfPresent(
                id,
                (key, one) ->
                        new DrainableNode(
                                id,
                                one.tier(),
                                one.zone(),
                                one.pod(),
                                one.kind(),
                                one.weight(),
                                one.status(),
                                now / MILLI));
    }

    private void replaceLeader() {
        int previous = leader;
        for (int i = 0;
                i < 10 && (leader == previous || !all.get(leader).live || all.get(leader).stalled);
                i++) {
            leader = random.nextInt(replicas);
        }
        if (leader != previous) {
            leaders++;
            proposedAtLogSize = -1;
            timeWithoutLeader += SECOND;
            all.get(leader).applyLog();
            all.get(previous).drains.onLeadership(now, false);
            all.get(leader).drains.onLeadership(now, true);
        }
    }

    private void heal() {
        failing = false;
        if (!all.get(leader).live) {
            replaceLeader();
        }
    }
}
