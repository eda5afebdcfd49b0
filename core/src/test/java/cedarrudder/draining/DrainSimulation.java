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
 * Replicas in virtual time over a log that orders what they propose, and loses some of it with its
 * leader. It judges by what is true: which replica sends where, and who has calls at whom.
 */
final class DrainSimulation {

    static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final long PERIOD = 500 * MILLI;
    private static final long START = 1_000_000_000_000L;

    /** Tests read conditions of two forms: failed&gt;0.1, and one that throws. */
    static final ConditionCompiler CONDITIONS =
            new ConditionCompiler() {
                @Override
                public PolicyCondition compilePolicyCondition(String text) {
                    return figures -> {
                        if (text.equals("throws")) {
                            throw new IllegalStateException(text);
                        }
                        return text.equals("true")
                                || text.equals("failed") && figures.failed() > 0.1;
                    };
                }

                @Override
                public NodeCondition compileNodeCondition(String text) {
                    return node -> node.kind().equals(text);
                }
            };

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final class Copy implements DrainCoordinator.LocalState, DrainCoordinator.Actions {
        private final int number;
        private DrainCoordinator drains;
        private boolean live = true;
        private boolean stalled;
        private long diedAt;
        private int applied;
        private long incarnation;
        private Set<Long> leaving = new HashSet<>();
        private final Map<Long, Integer> calls = new HashMap<>();
        private final Set<Long> disabled = new HashSet<>();

        Copy(int number) {
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
            calls.clear();
            leaving.clear();
        }

        void catchUp() {
            while (live && !stalled && applied < log.size()) {
                drains.apply(now, log.get(applied++));
                shown();
                if (!Arrays.equals(drains.state(), states.get(applied - 1))) {
                    wrong("copy " + number + " has another state after " + applied);
                }
            }
        }

        void shown() {
            leaving = new HashSet<>();
            drains.drainingNodes().forEach(each -> leaving.add(each.node()));
        }

        void call(DrainableNode node) {
            if (!live || stalled || applied == 0 && !log.isEmpty() || leaving.contains(node.id())) {
                return;
            }
            calls.merge(node.id(), 1, Integer::sum);
            long begun = incarnation;
            long takes = random.nextInt(50) == 0 ? 20 * SECOND : random.nextLong(2 * SECOND);
            at(
                    now + takes,
                    () -> {
                        if (incarnation == begun && live) {
                            calls.merge(node.id(), -1, Integer::sum);
                        }
                    });
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
            return new TrafficSample(100, 0, failing ? 50 : 0, 0);
        }

        @Override
        public void onDrainChange(DrainCoordinator.DrainChange happened) {}
    }

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final int replicas;
    private final List<Copy> all = new ArrayList<>();
    private final Map<Long, DrainableNode> nodes = new HashMap<>();
    private final List<byte[]> log = new ArrayList<>();
    private final List<byte[]> states = new ArrayList<>();
    private final DrainStateMachine truth = new DrainStateMachine();
    private final Map<Long, Long> openSince = new HashMap<>();
    final List<DrainPolicy> policies;
    private final double loss;

    /** Nodes that are drained are taken off the list. */
    private final boolean removes;

    private long now = START;
    private long order;
    private int leader;
    private int leaders;
    private int waitsFor = -1;
    private boolean failing;
    private String wrong;
    int begun;
    int emptied;
    int returned;

    DrainSimulation(long seed) {
        random = new SplittableRandom(seed);
        removes = random.nextBoolean();
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
        OnDeadline atEnd = OnDeadline.values()[random.nextInt(3)];
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
                        atEnd,
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
                        atEnd,
                        OnRestart.BACK,
                        List.of());
        policies = random.nextBoolean() ? List.of(wide) : List.of(wide, narrow);
        for (int i = 0; i < replicas; i++) {
            all.add(new Copy(i));
        }
    }

    private void at(long time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    private void wrong(String what) {
        wrong = wrong == null ? what + " at " + (now - START) / MILLI + " ms" : wrong;
    }

    /** A digest of all that was committed, and of the state that replicas had after each. */
    Golden.Digest history() {
        Golden.Digest digest = new Golden.Digest();
        log.forEach(digest::add);
        states.forEach(digest::add);
        return digest;
    }

    /** Runs it; what was wrong, or null. */
    String run(long faults, long rest) {
        long end = START + faults;
        for (Copy replica : all) {
            at(now + random.nextLong(PERIOD), () -> reports(replica));
        }
        at(now, this::leads);
        at(now, () -> propose(all.get(0).drains.nextPolicyCommand()));
        at(now, this::sends);
        for (int i = 0; i < 12; i++) {
            at(now + random.nextLong(faults), this::fault);
        }
        for (int i = 0; i < 6; i++) {
            at(
                    now + random.nextLong(faults / 2),
                    () -> {
                        Copy by = any();
                        if (by.live) {
                            List<Long> some =
                                    nodes.keySet().stream()
                                            .sorted()
                                            .filter(id -> random.nextInt(3) == 0)
                                            .limit(13)
                                            .toList();
                            if (!some.isEmpty()) {
                                propose(
                                        DrainCoordinator.drainRequest(
                                                random.nextInt(4) == 0, some));
                            }
                        }
                    });
        }
        at(end, this::heal);
        while (now < end + rest && wrong == null) {
            Event event = events.remove();
            now = event.at;
            event.what.run();
        }
        outs();
        return wrong;
    }

    private Copy any() {
        return all.get(random.nextInt(replicas));
    }

    private void sends() {
        for (Copy replica : all) {
            nodes.values().stream()
                    .sorted((a, b) -> Long.compare(a.id(), b.id()))
                    .forEach(
                            node -> {
                                if (random.nextInt(4) == 0) {
                                    replica.call(node);
                                }
                            });
        }
        at(now + 200 * MILLI, this::sends);
    }

    private void reports(Copy replica) {
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
        at(now + PERIOD, () -> reports(replica));
    }

    private void leads() {
        Copy leads = all.get(leader);
        if (leads.live && !leads.stalled) {
            leads.catchUp();
            if (waitsFor < 0 || log.size() > waitsFor) {
                byte[] command =
                        leads.drains.nextCommand(
                                now, START / MILLI, nodes.values(), this::seenLive);
                if (command != null) {
                    waitsFor = log.size();
                    propose(command);
                }
            }
        }
        at(now + PERIOD, this::leads);
    }

    /**
     * Membership: a death is found some seconds late, and one that stands still is taken for dead.
     */
    private boolean seenLive(int replica) {
        Copy one = all.get(replica);
        return one.live && !one.stalled || now - one.diedAt < 3 * SECOND;
    }

    private void propose(byte[] command) {
        long takes = random.nextLong(400 * MILLI);
        int by = leaders;
        // A leader that is lost meanwhile may have had it committed, or not.
        at(
                now + takes,
                () -> {
                    if (by == leaders || random.nextBoolean()) {
                        commit(command);
                    }
                });
    }

    private void commit(byte[] command) {
        log.add(command);
        for (DrainCoordinator.DrainChange each : truth.apply(command)) {
            judge(each);
        }
        states.add(truth.encode());
        outs();
        for (Copy replica : all) {
            at(now + random.nextLong(SECOND), replica::catchUp);
        }
    }

    private void judge(DrainCoordinator.DrainChange each) {
        begun += each.event() == DrainEvent.BEGUN ? 1 : 0;
        returned += each.event() == DrainEvent.RETURNED ? 1 : 0;
        if (each.after().isOpen() && !each.before().isOpen()) {
            openSince.put(each.node(), now);
        } else if (!each.after().isOpen()) {
            openSince.remove(each.node());
        }
        if (each.event() == DrainEvent.ALARMED) {
            openSince.remove(each.node());
        }
        if (each.after() == DrainState.OUT && removes) {
            at(
                    now + 3 * SECOND,
                    () -> {
                        if (truth.state(each.node()) == DrainState.OUT) {
                            nodes.remove(each.node());
                        }
                    });
        }
        if (each.event() == DrainEvent.EMPTY) {
            emptied++;
            for (Copy replica : all) {
                if (replica.live && replica.requestsInFlight(each.node()) > 0) {
                    wrong(
                            "node "
                                    + each.node()
                                    + " is said empty with calls of copy "
                                    + replica.number);
                }
            }
        }
        if (each.event() == DrainEvent.RETURNED) {
            for (Copy replica : all) {
                if (replica.live && replica.leaving.contains(each.node())) {
                    wrong(
                            "node "
                                    + each.node()
                                    + " counts as back, and copy "
                                    + replica.number
                                    + " knows not");
                }
            }
        }
    }

    /**
     * Never more out by drains than each policy allows, with those that some replica still leaves
     * out.
     */
    private void outs() {
        Set<Long> out = new HashSet<>();
        truth.drains().stream()
                .filter(drain -> drain.state.isOut())
                .forEach(drain -> out.add(drain.node));
        all.stream()
                .filter(replica -> replica.live)
                .forEach(replica -> out.addAll(replica.leaving));
        for (DrainPolicy policy : truth.policies()) {
            DisruptionCounts counted = new DisruptionCounts(policy);
            for (DrainableNode node : nodes.values()) {
                if (policy.selector().matches(node)
                        && (policy.selector().where().isEmpty()
                                || policy.selector().where().equals(node.kind()))) {
                    counted.add(node, out.contains(node.id()));
                }
            }
            if (counted.isExceeded()) {
                wrong("more are out than " + policy.name() + " allows: " + out);
            }
        }
        openSince.forEach(
                (node, since) -> {
                    if (now - since > 9 * SECOND + leaders * 3 * SECOND + late) {
                        wrong("node " + node + " is open past its time");
                    }
                });
    }

    /** Time in which nobody led. */
    private long late;

    private void fault() {
        Copy replica = any();
        switch (random.nextInt(6)) {
            case 0 -> {
                if (replica.live && all.stream().filter(each -> each.live).count() > 2) {
                    replica.live = false;
                    replica.diedAt = now;
                    replica.incarnation++;
                    replica.calls.clear();
                    replica.leaving.clear();
                    at(
                            now + 4 * SECOND + random.nextLong(20 * SECOND),
                            () -> {
                                replica.live = true;
                                replica.begin();
                                replica.catchUp();
                            });
                    late += replica.number == leader ? 5 * SECOND : 0;
                    replace();
                }
            }
            case 1 -> {
                replica.stalled = true;
                replica.diedAt = now;
                late += 5 * SECOND;
                at(now + 5 * SECOND, () -> replica.stalled = false);
                at(now + 6 * SECOND, replica::catchUp);
                replace();
            }
            case 2 -> replace();
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

    private void replace() {
        int old = leader;
        for (int i = 0;
                i < 10 && (leader == old || !all.get(leader).live || all.get(leader).stalled);
                i++) {
            leader = random.nextInt(replicas);
        }
        if (leader != old) {
            leaders++;
            waitsFor = -1;
            late += SECOND;
            all.get(leader).catchUp();
            all.get(old).drains.onLeadership(now, false);
            all.get(leader).drains.onLeadership(now, true);
        }
    }

    private void heal() {
        failing = false;
        if (!all.get(leader).live) {
            replace();
        }
    }
}
