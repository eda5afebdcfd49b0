package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.forwarding.DiscoveryPollSchedule;
import cedarrudder.forwarding.DiscoveryTimeouts;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Tests the schedule of endpoint list requests in virtual time: replicas of a proxy, each with its
 * balancer, and one discovery service.
 */
public class DiscoveryPollScheduleTest {

    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;

    /**
     * Maximum one-way delay of the network; the opening of a connection may be delayed by up to
     * {@link #MAX_DELAY}.
     */
    private static final long WIRE = 21 * MS;

    private static final long MAX_DELAY = S;

    /** Delay of a timer: the event loop handles input before timers. */
    private static final long LOOP_DELAY = MS;

    /**
     * Delays after which the operating system retransmits the first packet of a connection, each
     * longer than the last.
     */
    private static final long[] SYN_RETRANSMIT_DELAYS = {S, 2 * S, 4 * S, 8 * S, 16 * S};

    /**
     * State of discovery. SILENT: it accepts connections and sends nothing; CUT: all packets are
     * lost.
     */
    private enum Discovery {
        WELL,
        SILENT,
        CUT,
        DOWN,
        BUSY
    }

    private static boolean closesWatches(Discovery state) {
        return state == Discovery.DOWN || state == Discovery.BUSY;
    }

    private static final class World {
        private record Due(long at, long order, Runnable task) {}

        private final PriorityQueue<Due> dueTasks =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final SplittableRandom random;
        private final List<Replica> replicas = new ArrayList<>();
        private final int perSecond;
        private final boolean polls;
        private Discovery state = Discovery.WELL;
        private long now = 5 * S;
        private long order;
        private long workerFreeAt;
        private long connectionDelay;
        private boolean randomDelay;
        private int connections;
        private int unanswered;
        private final List<Long> requestTimes = new ArrayList<>();

        World(long seed, int replicas, int perSecond, boolean polls) {
            this.random = new SplittableRandom(seed);
            this.perSecond = perSecond;
            this.polls = polls;
            for (int i = 0; i < replicas; i++) {
                this.replicas.add(new Replica());
            }
        }

        void at(long when, Runnable task) {
            dueTasks.add(new Due(when, order++, task));
        }

        void run(long until) {
            while (!dueTasks.isEmpty() && dueTasks.peek().at <= until) {
                Due next = dueTasks.poll();
                now = next.at;
                next.task.run();
            }
            now = until;
        }

        /**
         * Sets the state of discovery. If it is down or busy, all watches end; otherwise they
         * become silent.
         */
        void setState(Discovery next) {
            state = next;
            for (Replica replica : replicas) {
                List<Integer> open = List.copyOf(replica.open);
                if (closesWatches(next)) {
                    open.forEach(replica::failCall);
                } else if (next != Discovery.WELL) {
                    replica.open.clear(); // nothing arrives on them any more
                }
            }
        }

        /** Counts the requests in consecutive intervals of the given length from an instant on. */
        int[] counts(long from, long each, int times) {
            int[] counts = new int[times];
            requestTimes.stream()
                    .filter(at -> at >= from && at < from + times * each)
                    .forEach(at -> counts[(int) ((at - from) / each)]++);
            return counts;
        }

        /**
         * Returns the time from an instant until every replica has been updated, or -1 if one has
         * not.
         */
        long allUpdatedAfter(long from) {
            return replicas.stream().anyMatch(replica -> replica.lastUpdateAt < from)
                    ? -1
                    : replicas.stream()
                                    .mapToLong(replica -> replica.firstAfter(from))
                                    .max()
                                    .orElseThrow()
                            - from;
        }

        private final class Replica implements DiscoveryPollSchedule.Actions {
            private final SplittableRandom own = random.split();
            private final DiscoveryPollSchedule schedule =
                    new DiscoveryPollSchedule(
                            true,
                            DiscoveryPollSchedule.maxBackoffNanos(settings(polls)),
                            DiscoveryTimeouts.DEFAULT,
                            own.split(),
                            this);
            private final LoadBalancer balancer;
            private final Set<Integer> open = new HashSet<>();
            private final List<Long> updates = new ArrayList<>();
            private long lastUpdateAt = Long.MIN_VALUE;
            private long timerAt;
            private Connection spare;

            /** Number of requests of this replica that a healthy discovery still refuses. */
            private int refusals;

            Replica() {
                LoadBalancer.Actions actions =
                        (LoadBalancer.Actions)
                                Proxy.newProxyInstance(
                                        LoadBalancer.class.getClassLoader(),
                                        new Class<?>[] {LoadBalancer.Actions.class},
                                        (self, method, args) -> {
                                            if (method.getName().equals("scheduleTimer")) {
                                                at((long) args[0], () -> tick((long) args[1]));
                                            } else if (method.getName().equals("watchEndpoints")) {
                                                schedule.poll(now);
                                            }
                                            return null;
                                        });
                balancer = new PrequalBalancer(settings(polls), own.split(), actions);
                at(
                        now,
                        () -> {
                            if (!polls) {
                                schedule.poll(now);
                            }
                            balancer.onEndpoints(now, EndpointListKind.CACHED, List.of());
                        });
            }

            /**
             * Fires a timer of the balancer. Its periodic tick, token 0, is left out: it would only
             * make the test slower.
             */
            private void tick(long token) {
                if (token != 0) {
                    balancer.onTimer(now, token);
                }
            }

            long firstAfter(long from) {
                return updates.stream().filter(at -> at >= from).findFirst().orElseThrow();
            }

            @Override
            public void open(int call) {
                open.add(call);
                Connection connection =
                        spare != null && spare.isUsable() ? spare : new Connection();
                spare = null;
                connection.call = call;
                connection.send();
            }

            @Override
            public void dialSpare(boolean wanted) {
                spare = wanted ? new Connection() : null;
            }

            /** A connection of the client and the request sent on it. */
            private final class Connection {
                private final long openedAt = now;
                private boolean up;
                private boolean failed;
                private int call;

                Connection() {
                    connections++;
                    long delay =
                            randomDelay && connectionDelay > 0
                                    ? random.nextLong(connectionDelay)
                                    : connectionDelay;
                    at(now + delay + WIRE, () -> synArrives(0));
                }

                boolean isUsable() {
                    return !failed && (up || now - openedAt < MAX_DELAY + 50 * MS);
                }

                private void synArrives(int lost) {
                    if (state == Discovery.CUT && lost < SYN_RETRANSMIT_DELAYS.length) {
                        at(now + SYN_RETRANSMIT_DELAYS[lost], () -> synArrives(lost + 1));
                    } else if (state != Discovery.CUT) {
                        boolean refused = state == Discovery.DOWN;
                        at(
                                now + WIRE,
                                () -> {
                                    up = !refused;
                                    failed = refused;
                                    send();
                                });
                    }
                }

                private void send() {
                    if (open.contains(call) && failed) {
                        requestTimes.add(now);
                        failCall(call);
                    } else if (open.contains(call) && up) {
                        schedule.onConnected(call);
                        at(now + WIRE, () -> requestArrives(call));
                    }
                }
            }

            private void requestArrives(int call) {
                requestTimes.add(now);
                if (state == Discovery.SILENT || state == Discovery.CUT || unanswered-- > 0) {
                    return;
                }
                long startsAt = Math.max(now, workerFreeAt);
                if (state != Discovery.WELL || refusals-- > 0) {
                    at(now + WIRE, () -> failCall(call));
                    return;
                }
                if (startsAt - now > S) {
                    at(now + S + WIRE, () -> failCall(call));
                    return;
                }
                workerFreeAt = startsAt + S / perSecond;
                at(workerFreeAt + WIRE, () -> update(call));
            }

            private void failCall(int call) {
                if (open.remove(call)) {
                    schedule.onCallFailed(now, call);
                }
            }

            private void update(int call) {
                if (state == Discovery.SILENT || state == Discovery.CUT || !open.contains(call)) {
                    return;
                }
                if (state != Discovery.WELL) {
                    failCall(call);
                    return;
                }
                schedule.onUpdate(now, call);
                balancer.onEndpoints(now, EndpointListKind.DELTA, List.of());
                lastUpdateAt = now;
                updates.add(now);
                at(now + 2 * S + random.nextLong(MAX_DELAY), () -> heartbeat(call));
            }

            private void heartbeat(int call) {
                if (state == Discovery.WELL && open.contains(call)) {
                    schedule.onHeartbeat(now, call);
                    at(now + 2 * S + random.nextLong(MAX_DELAY), () -> heartbeat(call));
                }
            }

            @Override
            public void drop(int call, DiscoveryPollSchedule.DropReason reason) {
                open.remove(call);
            }

            @Override
            public void scheduleTimer(long at) {
                timerAt = at;
                World.this.at(
                        at + LOOP_DELAY,
                        () -> {
                            if (timerAt == at) {
                                schedule.onTimer(now);
                            }
                        });
            }

            @Override
            public void onUnavailable() {
                balancer.onEndpointsUnavailable(now);
            }
        }
    }

    private static BalancerSettings settings(boolean polls) {
        Site site = new Site();
        site.pollsEndpoints = polls;
        return site.settings();
    }

    /**
     * A healthy watch must not be requested again: heartbeats up to a second late do not count as
     * silence.
     */
    @Test
    public void healthyWatchIsRequestedOnce() {
        for (boolean polls : new boolean[] {true, false}) {
            World world = new World(1, 200, 1000, polls);
            world.run(30 * S);
            int connections =
                    world.connections; // including spare connections, where the start makes
            // replicas wait
            world.run(600 * S);
            assertEquals(world.requestTimes.size(), 200);
            assertEquals(world.connections, connections);
        }
    }

    /**
     * After a watch becomes silent, a replica must be updated again before the update that it
     * missed takes effect, 6 s after the last byte; also where the new watch is silent or refused
     * too, and each connection is delayed.
     */
    @Test
    public void silentWatchIsReopenedInTime() {
        long[] longest = new long[3];
        for (long seed = 0; seed < 2000; seed++) {
            longest[0] = Math.max(longest[0], timeWithoutUpdateAfterSilence(seed, 0, 0, MAX_DELAY));
            longest[1] = Math.max(longest[1], timeWithoutUpdateAfterSilence(seed, 1, 0, MAX_DELAY));
            longest[2] = Math.max(longest[2], timeWithoutUpdateAfterSilence(seed, 0, 1, MAX_DELAY));
        }
        System.out.printf(
                "updated after %.2f s, after %.2f s where the new watch is silent too, after "
                        + "%.2f s where the new watch is refused%n",
                longest[0] / 1e9, longest[1] / 1e9, longest[2] / 1e9);
        assertTrue(longest[0] < 5.3 * S, "once: " + longest[0]);
        assertTrue(longest[1] < 5.6 * S, "silent again: " + longest[1]);
        assertTrue(longest[2] < 5.6 * S, "refused: " + longest[2]);
    }

    /** Returns how long one replica, updated just before, then receives no update. */
    private static long timeWithoutUpdateAfterSilence(
            long seed, int unanswered, int refused, long connectionDelay) {
        World world = new World(seed, 1, 1000, true);
        world.run(20 * S);
        World.Replica replica = world.replicas.get(0);
        int call = replica.open.iterator().next();
        replica.schedule.onUpdate(world.now, call);
        replica.open.remove(call); // nothing arrives on it any more
        long from = world.now;
        world.connectionDelay = connectionDelay;
        world.unanswered = unanswered;
        replica.refusals = refused;
        world.run(from + 30 * S);
        return replica.firstAfter(from) - from;
    }

    /**
     * Failures during an outage must not lengthen the waits after it: whatever the outage was and
     * at whatever phase of a request it ends, all replicas must be updated well before the new list
     * takes effect, 6 s later; also where the first response is a refusal and connections are
     * delayed.
     */
    @Test
    public void replicasAreUpdatedSoonAfterOutage() {
        System.out.println(
                "| outage | 1 replica | connections late | and refused once | 100 replicas | the"
                        + " same three |");
        for (Discovery state :
                new Discovery[] {Discovery.DOWN, Discovery.BUSY, Discovery.SILENT, Discovery.CUT}) {
            StringBuilder row = new StringBuilder("| " + state);
            for (int replicas : new int[] {1, 100}) {
                for (int trouble = 0; trouble < 3; trouble++) {
                    long longest = 0;
                    for (long seed = 0; seed < (replicas == 1 ? 2000 : 200); seed++) {
                        longest =
                                Math.max(
                                        longest,
                                        timeWithoutUpdateAfterOutage(
                                                seed, replicas, state, trouble));
                    }
                    row.append(String.format(" | %.2f", longest / 1e9));
                    assertTrue(longest < 5500 * MS, row.toString());
                }
            }
            System.out.println(row.append(" |"));
        }
    }

    /** Returns how long after an outage the last replica is updated. */
    private static long timeWithoutUpdateAfterOutage(
            long seed, int replicas, Discovery state, int trouble) {
        World world = new World(seed, replicas, replicas / 10 + 60, true);
        world.run(20 * S);
        world.connectionDelay = trouble > 0 ? MAX_DELAY : 0;
        world.randomDelay = seed % 2 == 1;
        world.setState(state);
        world.run(world.now + world.random.nextLong(100 * MS, 20 * S));
        world.setState(Discovery.WELL);
        world.replicas.forEach(replica -> replica.refusals = trouble > 1 ? 1 : 0);
        long from = world.now;
        world.run(from + 30 * S);
        return world.allUpdatedAfter(from);
    }

    /**
     * If discovery ended the watch or refused requests, and the next request hangs, the list must
     * still arrive in time: the silence is noticed only after a full timeout, and no further wait
     * may follow.
     */
    @Test
    public void hangingRequestAfterEndOfWatchIsRepeatedInTime() {
        long[] longest = new long[3];
        for (long seed = 0; seed < 2000; seed++) {
            longest[0] = Math.max(longest[0], timeWithoutUpdateAfterHang(seed, Discovery.WELL));
            longest[1] = Math.max(longest[1], timeWithoutUpdateAfterHang(seed, Discovery.DOWN));
            longest[2] = Math.max(longest[2], timeWithoutUpdateAfterHang(seed, Discovery.BUSY));
        }
        String all =
                String.format(
                        "updated after %.2f s where the new watch hangs, after %.2f s where the"
                            + " first request after an outage does, after %.2f s where the first"
                            + " after refusals does",
                        longest[0] / 1e9, longest[1] / 1e9, longest[2] / 1e9);
        System.out.println(all);
        assertTrue(Arrays.stream(longest).max().orElseThrow() < 5900 * MS, all);
    }

    /**
     * Returns how long after the end of its watch, or of an outage, one replica is updated when the
     * first request then hangs.
     */
    private static long timeWithoutUpdateAfterHang(long seed, Discovery outage) {
        World world = new World(seed, 1, 1000, true);
        world.run(20 * S);
        world.connectionDelay = MAX_DELAY;
        World.Replica replica = world.replicas.get(0);
        if (outage == Discovery.WELL) {
            replica.failCall(replica.open.iterator().next());
        } else {
            world.setState(outage);
            world.run(world.now + world.random.nextLong(100 * MS, 20 * S));
            world.setState(Discovery.WELL);
        }
        world.unanswered = 1;
        long from = world.now;
        world.run(from + 30 * S);
        return replica.firstAfter(from) - from;
    }

    /**
     * Fragments of an object that is never completed must not count as a sign of life of the watch.
     */
    @Test
    public void incompleteObjectDoesNotKeepWatchAlive() {
        List<String> performed = new ArrayList<>();
        DiscoveryPollSchedule schedule = newSchedule(performed, 6 * S);
        schedule.poll(0);
        schedule.onUpdate(0, 1);
        schedule.onObjectStarted(2 * S, 1);
        for (long at = 2 * S; at < 8 * S; at += 50 * MS) {
            schedule.onTimer(at);
        }
        assertEquals(
                calls(performed),
                List.of(
                        "open 1",
                        "dialSpare false",
                        "drop 1 SILENT",
                        "open 2",
                        "dialSpare true",
                        "drop 2 SUPERSEDED",
                        "open 3",
                        "dialSpare true"));
    }

    /**
     * A proxy must not wait after discovery has moved, or where lists are pushed. The list of the
     * new address takes effect 4 s later, also where the first request there fails or hangs.
     */
    @Test
    public void pollsAtOnceAfterAddressChangeAndSoonWithPushedLists() {
        List<String> performed = new ArrayList<>();
        DiscoveryPollSchedule schedule = newSchedule(performed, 1500 * MS);
        schedule.poll(0);
        schedule.onUpdate(1, 1);
        schedule.onAddressChanged(S);
        schedule.onHeartbeat(S + 1, 2);
        schedule.onCallFailed(S + 2, 2);
        schedule.onTimer(S + 2 + 750 * MS);
        schedule.onConnected(3);
        schedule.onTimer(S + 2 + 1000 * MS);
        schedule.onTimer(S + 2 + 2000 * MS);
        schedule.onUpdate(S + 3 + 2000 * MS, 4);
        assertEquals(
                calls(performed),
                List.of(
                        "open 1",
                        "dialSpare false",
                        "open 2",
                        "onUnavailable",
                        "open 3",
                        "dialSpare true",
                        "open 4",
                        "drop 3 SUPERSEDED",
                        "drop 1 SUPERSEDED",
                        "dialSpare false"));
        performed.clear();
        DiscoveryPollSchedule pushSchedule =
                newSchedule(performed, DiscoveryPollSchedule.maxBackoffNanos(settings(false)));
        pushSchedule.poll(0);
        pushSchedule.onCallFailed(0, 1);
        pushSchedule.onTimer(750 * MS);
        pushSchedule.onCallFailed(750 * MS, 2);
        pushSchedule.onTimer(1500 * MS);
        assertEquals(calls(performed), List.of("open 1", "onUnavailable", "open 2", "open 3"));
    }

    /**
     * A hanging request to a new address must not wait for its full timeout before it is repeated
     * because discovery had ended a watch at the former address: 4 s are allowed after the move.
     */
    @Test
    public void hedgesRequestToNewAddressDespiteAnswersOfFormerOne() {
        for (boolean endsAfterwards : new boolean[] {false, true}) {
            List<String> performed = new ArrayList<>();
            DiscoveryPollSchedule schedule = newSchedule(performed, 1500 * MS);
            schedule.poll(0);
            schedule.onUpdate(0, 1);
            schedule.onCallFailed(2 * S, 1);
            schedule.onTimer(3 * S);
            schedule.onUpdate(3 * S, 2);
            performed.clear();
            schedule.onAddressChanged(4 * S);
            if (endsAfterwards) {
                schedule.onCallFailed(4 * S + 1, 2);
            }
            schedule.onConnected(3);
            schedule.onTimer(4 * S + 250 * MS);
            schedule.onTimer(4 * S + 1250 * MS);
            assertEquals(
                    calls(performed),
                    List.of("open 3", "dialSpare true", "open 4"),
                    "former watch ends: " + endsAfterwards);
        }
    }

    /**
     * Requests must not be hedged at a discovery that is available but serves few per second: a
     * queued request is sent once, until discovery was silent for the full timeout of a request.
     */
    @Test
    public void doesNotHedgeWhileDiscoveryAnswers() {
        List<String> performed = new ArrayList<>();
        DiscoveryPollSchedule schedule = newSchedule(performed, 1500 * MS);
        schedule.poll(0);
        schedule.onUpdate(0, 1);
        schedule.onCallFailed(S, 1);
        schedule.onTimer(2 * S);
        schedule.onConnected(2);
        schedule.onTimer(2 * S + 250 * MS);
        schedule.onTimer(2 * S + 1250 * MS);
        schedule.onCallFailed(4 * S, 2);
        schedule.onTimer(6 * S);
        schedule.onConnected(3);
        schedule.onTimer(6 * S + 250 * MS);
        schedule.onTimer(6 * S + 1250 * MS);
        assertEquals(
                calls(performed),
                List.of(
                        "open 1",
                        "dialSpare false",
                        "onUnavailable",
                        "open 2",
                        "dialSpare false",
                        "open 3",
                        "dialSpare false"));
        performed.clear();
        schedule.onTimer(9 * S);
        schedule.onTimer(11 * S);
        schedule.onConnected(4);
        schedule.onTimer(11 * S + 1250 * MS);
        assertEquals(calls(performed), List.of("drop 3 SILENT", "open 4", "open 5"));
    }

    /**
     * The balancer and the schedule must not both control one wait: polls of the balancer during a
     * wait cause no request, neither at once nor later.
     */
    @Test
    public void pollsOfTheBalancerChangeNothing() {
        List<String> alone = new ArrayList<>();
        List<String> polled = new ArrayList<>();
        for (List<String> performed : List.of(alone, polled)) {
            DiscoveryPollSchedule schedule = newSchedule(performed, 1500 * MS);
            schedule.poll(0);
            for (int call = 1; call < 20; call++) {
                schedule.onCallFailed(call * 2 * S, call);
                for (long at = call * 2 * S; at < (call + 1) * 2 * S; at += 10 * MS) {
                    if (performed == polled) {
                        schedule.poll(at);
                    }
                    if (performed.lastIndexOf("open " + (call + 1)) < 0) {
                        schedule.onTimer(at);
                    }
                }
            }
        }
        assertEquals(polled, alone);
        assertTrue(alone.contains("open 19"), alone.toString());
    }

    /**
     * A discovery that ends each watch right after its update must not be polled without a pause.
     */
    @Test
    public void endedWatchIsReopenedSoonUnlessItEndedAtOnce() {
        List<String> performed = new ArrayList<>();
        DiscoveryPollSchedule schedule = newSchedule(performed, 1500 * MS);
        schedule.poll(0);
        schedule.onUpdate(0, 1);
        schedule.onCallFailed(1500 * MS, 1);
        schedule.onTimer(2500 * MS);
        schedule.onUpdate(2500 * MS, 2);
        schedule.onCallFailed(2600 * MS, 2);
        schedule.onTimer(3599 * MS);
        assertEquals(performed.lastIndexOf("open 3"), -1, "not yet");
        schedule.onTimer(4100 * MS);
        schedule.onUpdate(4100 * MS, 3);
        schedule.onCallFailed(5600 * MS, 3);
        schedule.onTimer(6600 * MS);
        assertEquals(
                calls(performed),
                List.of(
                        "open 1",
                        "dialSpare false",
                        "onUnavailable",
                        "open 2",
                        "dialSpare false",
                        "onUnavailable",
                        "open 3",
                        "dialSpare false",
                        "onUnavailable",
                        "open 4"));
    }

    private static List<String> calls(List<String> performed) {
        return performed.stream()
                .filter(heartbeat -> !heartbeat.startsWith("scheduleTimer"))
                .toList();
    }

    private static DiscoveryPollSchedule newSchedule(List<String> performed, long longest) {
        return new DiscoveryPollSchedule(
                true,
                longest,
                DiscoveryTimeouts.DEFAULT,
                new SplittableRandom(1),
                (DiscoveryPollSchedule.Actions)
                        Proxy.newProxyInstance(
                                DiscoveryPollSchedule.class.getClassLoader(),
                                new Class<?>[] {DiscoveryPollSchedule.Actions.class},
                                (self, method, args) -> {
                                    performed.add(
                                            method.getName()
                                                    + (args == null
                                                            ? ""
                                                            : " "
                                                                    + args[0]
                                                                    + (args.length > 1
                                                                            ? " " + args[1]
                                                                            : "")));
                                    return null;
                                }));
    }

    /**
     * Limits the load on discovery: no second has more requests than there are replicas, and no 100
     * ms more than a fifth of that. Once discovery can answer, all replicas must be updated before
     * the list takes effect, 6 s later; where there are more replicas than it can serve by then,
     * within the 10 s after which a list takes effect again, plus 2 s to act on it. Discovery
     * serves 60 requests per second plus a tenth of the replicas.
     */
    @Test
    public void manyReplicasDoNotOverloadDiscovery() {
        System.out.println(
                "| replicas | trouble | max requests in 1 s | in 10 s | in 60 s | updated after |");
        for (int replicas : new int[] {1, 100, 500}) {
            simulate(replicas, "all watches silent", Discovery.WELL, 0);
            simulate(replicas, "the same, after one update for all", Discovery.WELL, 0);
            simulate(replicas, "discovery down for 8 s", Discovery.DOWN, 8);
            simulate(replicas, "discovery down for 30 s", Discovery.DOWN, 30);
            simulate(replicas, "discovery silent for 8 s", Discovery.SILENT, 8);
            simulate(replicas, "discovery silent for 30 s", Discovery.SILENT, 30);
            simulate(replicas, "discovery refuses for 8 s", Discovery.BUSY, 8);
            simulate(replicas, "discovery refuses for 30 s", Discovery.BUSY, 30);
            simulate(replicas, "discovery cut off for 8 s", Discovery.CUT, 8);
            simulate(replicas, "discovery cut off for 30 s", Discovery.CUT, 30);
        }
    }

    private static void simulate(int replicas, String trouble, Discovery state, int seconds) {
        World world = new World(7, replicas, replicas / 10 + 60, true);
        world.run(30 * S);
        long from = world.now;
        if (trouble.endsWith("for all")) {
            world.replicas.forEach(
                    replica ->
                            replica.schedule.onUpdate(world.now, replica.open.iterator().next()));
        }
        world.setState(state == Discovery.WELL ? Discovery.SILENT : state);
        world.run(from + seconds * S);
        world.setState(Discovery.WELL);
        world.run(from + 100 * S);
        int[] each = world.counts(from, S, 60);
        int max = Arrays.stream(each).max().orElseThrow();
        int maxIn100Ms = Arrays.stream(world.counts(from, 100 * MS, 600)).max().orElseThrow();
        double updatedAfter = world.allUpdatedAfter(from + seconds * S) / 1e9;
        System.out.printf(
                "| %d | %s | %d | %d | %d | %.1f s |%n",
                replicas,
                trouble,
                max,
                Arrays.stream(each, 0, 10).sum(),
                Arrays.stream(each).sum(),
                updatedAfter);
        assertTrue(
                max <= replicas && maxIn100Ms <= 3 + replicas / 5,
                trouble
                        + " and "
                        + replicas
                        + " replicas: "
                        + max
                        + " requests in 1 s, "
                        + maxIn100Ms
                        + " in 100 ms");
        assertTrue(
                updatedAfter > 0 && updatedAfter < (replicas > 100 ? 12 : 6),
                trouble + ": updated after " + updatedAfter + " s");
    }
}
