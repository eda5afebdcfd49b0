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
 * The list's clock in virtual time: replicas of a proxy, each with its module, and one discovery.
 */
public class DiscoveryPollScheduleTest {

    private static final long MS = 1_000_000;
    private static final long S = 1000 * MS;

    /** Each way over the wire takes so long at most, and a connection may come up so late. */
    private static final long WIRE = 21 * MS;

    private static final long LATE = S;

    /** The loop reads before it judges. */
    private static final long TURN = MS;

    /**
     * The system sends the first packet of a connection again this long after it was lost, and ever
     * later.
     */
    private static final long[] SENT_AGAIN = {S, 2 * S, 4 * S, 8 * S, 16 * S};

    /**
     * How discovery is; SILENT: it takes connections and says nothing; CUT: all packets are lost.
     */
    private enum Discovery {
        WELL,
        SILENT,
        CUT,
        DOWN,
        BUSY
    }

    private static boolean endsWatches(Discovery state) {
        return state == Discovery.DOWN || state == Discovery.BUSY;
    }

    private static final class World {
        private record Due(long at, long order, Runnable task) {}

        private final PriorityQueue<Due> agenda =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at != b.at
                                        ? Long.compare(a.at, b.at)
                                        : Long.compare(a.order, b.order));
        private final SplittableRandom random;
        private final List<Copy> replicas = new ArrayList<>();
        private final int perSecond;
        private final boolean ask;
        private Discovery state = Discovery.WELL;
        private long now = 5 * S;
        private long order;
        private long workerFreeAt;
        private long late;
        private boolean lateByChance;
        private int dials;
        private int unanswered;
        private final List<Long> calls = new ArrayList<>();

        World(long seed, int replicas, int perSecond, boolean ask) {
            this.random = new SplittableRandom(seed);
            this.perSecond = perSecond;
            this.ask = ask;
            for (int i = 0; i < replicas; i++) {
                this.replicas.add(new Copy());
            }
        }

        void at(long when, Runnable task) {
            agenda.add(new Due(when, order++, task));
        }

        void run(long until) {
            while (!agenda.isEmpty() && agenda.peek().at <= until) {
                Due next = agenda.poll();
                now = next.at;
                next.task.run();
            }
            now = until;
        }

        /**
         * From now on discovery is like this: where it is down or busy all watches end, else they
         * fall silent.
         */
        void become(Discovery next) {
            state = next;
            for (Copy replica : replicas) {
                List<Integer> open = List.copyOf(replica.open);
                if (endsWatches(next)) {
                    open.forEach(replica::broke);
                } else if (next != Discovery.WELL) {
                    replica.open.clear(); // nothing comes on them any more
                }
            }
        }

        /** How many calls came in each such time from an instant on. */
        int[] counts(long from, long each, int times) {
            int[] counts = new int[times];
            calls.stream()
                    .filter(at -> at >= from && at < from + times * each)
                    .forEach(at -> counts[(int) ((at - from) / each)]++);
            return counts;
        }

        /**
         * When the last replica was told for the first time after an instant; -1 where one was not.
         */
        long allTold(long from) {
            return replicas.stream().anyMatch(replica -> replica.toldAt < from)
                    ? -1
                    : replicas.stream()
                                    .mapToLong(replica -> replica.firstAfter(from))
                                    .max()
                                    .orElseThrow()
                            - from;
        }

        private final class Copy implements DiscoveryPollSchedule.Actions {
            private final SplittableRandom own = random.split();
            private final DiscoveryPollSchedule clock =
                    new DiscoveryPollSchedule(
                            true,
                            DiscoveryPollSchedule.maxBackoffNanos(site(ask)),
                            DiscoveryTimeouts.DEFAULT,
                            own.split(),
                            this);
            private final LoadBalancer module;
            private final Set<Integer> open = new HashSet<>();
            private final List<Long> told = new ArrayList<>();
            private long toldAt = Long.MIN_VALUE;
            private long armed;
            private Link spare;

            /** This many calls get a refusal from a discovery that is well. */
            private int refuses;

            Copy() {
                LoadBalancer.Actions hands =
                        (LoadBalancer.Actions)
                                Proxy.newProxyInstance(
                                        LoadBalancer.class.getClassLoader(),
                                        new Class<?>[] {LoadBalancer.Actions.class},
                                        (self, method, args) -> {
                                            if (method.getName().equals("scheduleTimer")) {
                                                at((long) args[0], () -> tick((long) args[1]));
                                            } else if (method.getName().equals("watchEndpoints")) {
                                                clock.poll(now);
                                            }
                                            return null;
                                        });
                module = new PrequalBalancer(site(ask), own.split(), hands);
                at(
                        now,
                        () -> {
                            if (!ask) {
                                clock.poll(now);
                            }
                            module.onEndpoints(now, EndpointListKind.CACHED, List.of());
                        });
            }

            /** Not the balancer's ticks: they would only cost the test its time. */
            private void tick(long token) {
                if (token != 0) {
                    module.onTimer(now, token);
                }
            }

            long firstAfter(long from) {
                return told.stream().filter(at -> at >= from).findFirst().orElseThrow();
            }

            @Override
            public void open(int call) {
                open.add(call);
                Link link = spare != null && spare.serves() ? spare : new Link();
                spare = null;
                link.call = call;
                link.send();
            }

            @Override
            public void dialSpare(boolean wanted) {
                spare = wanted ? new Link() : null;
            }

            /** A connection, and the call on it; as the client has them. */
            private final class Link {
                private final long dialledAt = now;
                private boolean up;
                private boolean over;
                private int call;

                Link() {
                    dials++;
                    long own = lateByChance && late > 0 ? random.nextLong(late) : late;
                    at(now + own + WIRE, () -> reach(0));
                }

                boolean serves() {
                    return !over && (up || now - dialledAt < LATE + 50 * MS);
                }

                private void reach(int lost) {
                    if (state == Discovery.CUT && lost < SENT_AGAIN.length) {
                        at(now + SENT_AGAIN[lost], () -> reach(lost + 1));
                    } else if (state != Discovery.CUT) {
                        boolean refuses = state == Discovery.DOWN;
                        at(
                                now + WIRE,
                                () -> {
                                    up = !refuses;
                                    over = refuses;
                                    send();
                                });
                    }
                }

                private void send() {
                    if (open.contains(call) && over) {
                        calls.add(now);
                        broke(call);
                    } else if (open.contains(call) && up) {
                        clock.onConnected(call);
                        at(now + WIRE, () -> come(call));
                    }
                }
            }

            private void come(int call) {
                calls.add(now);
                if (state == Discovery.SILENT || state == Discovery.CUT || unanswered-- > 0) {
                    return;
                }
                long begins = Math.max(now, workerFreeAt);
                if (state != Discovery.WELL || refuses-- > 0) {
                    at(now + WIRE, () -> broke(call));
                    return;
                }
                if (begins - now > S) {
                    at(now + S + WIRE, () -> broke(call));
                    return;
                }
                workerFreeAt = begins + S / perSecond;
                at(workerFreeAt + WIRE, () -> told(call));
            }

            private void broke(int call) {
                if (open.remove(call)) {
                    clock.onCallFailed(now, call);
                }
            }

            private void told(int call) {
                if (state == Discovery.SILENT || state == Discovery.CUT || !open.contains(call)) {
                    return;
                }
                if (state != Discovery.WELL) {
                    broke(call);
                    return;
                }
                clock.onUpdate(now, call);
                module.onEndpoints(now, EndpointListKind.DELTA, List.of());
                toldAt = now;
                told.add(now);
                at(now + 2 * S + random.nextLong(LATE), () -> line(call));
            }

            private void line(int call) {
                if (state == Discovery.WELL && open.contains(call)) {
                    clock.onHeartbeat(now, call);
                    at(now + 2 * S + random.nextLong(LATE), () -> line(call));
                }
            }

            @Override
            public void drop(int call, DiscoveryPollSchedule.DropReason reason) {
                open.remove(call);
            }

            @Override
            public void scheduleTimer(long at) {
                armed = at;
                World.this.at(
                        at + TURN,
                        () -> {
                            if (armed == at) {
                                clock.onTimer(now);
                            }
                        });
            }

            @Override
            public void onUnavailable() {
                module.onEndpointsUnavailable(now);
            }
        }
    }

    private static BalancerSettings site(boolean ask) {
        Site site = new Site();
        site.ask = ask;
        return site.settings();
    }

    /** Detects calls that nobody needs: lines up to a second late are no silence. */
    @Test
    public void aWatchThatIsWellIsAskedForOnce() {
        for (boolean ask : new boolean[] {true, false}) {
            World world = new World(1, 200, 1000, ask);
            world.run(30 * S);
            int dials = world.dials; // with spare ones, where the start keeps replicas waiting
            world.run(600 * S);
            assertEquals(world.calls.size(), 200);
            assertEquals(world.dials, dials);
        }
    }

    /**
     * Detects a list that is late: a replica is told again before what it missed counts as told, 6
     * s after the last byte, also where the reopening is silent or refused too and each connection
     * is late.
     */
    @Test
    public void aSilentWatchIsOpenedAnewInTime() {
        long[] longest = new long[3];
        for (long seed = 0; seed < 2000; seed++) {
            longest[0] = Math.max(longest[0], silence(seed, 0, 0, LATE));
            longest[1] = Math.max(longest[1], silence(seed, 1, 0, LATE));
            longest[2] = Math.max(longest[2], silence(seed, 0, 1, LATE));
        }
        System.out.printf(
                "told anew after %.2f s, after %.2f s where the reopening is silent too, after "
                        + "%.2f s where it is refused%n",
                longest[0] / 1e9, longest[1] / 1e9, longest[2] / 1e9);
        assertTrue(longest[0] < 5.3 * S, "once: " + longest[0]);
        assertTrue(longest[1] < 5.6 * S, "silent again: " + longest[1]);
        assertTrue(longest[2] < 5.6 * S, "refused: " + longest[2]);
    }

    /** How long one replica, told last an instant before, is without a list. */
    private static long silence(long seed, int unanswered, int refused, long late) {
        World world = new World(seed, 1, 1000, true);
        world.run(20 * S);
        World.Copy replica = world.replicas.get(0);
        int call = replica.open.iterator().next();
        replica.clock.onUpdate(world.now, call);
        replica.open.remove(call); // from now on nothing comes on it
        long from = world.now;
        world.late = late;
        world.unanswered = unanswered;
        replica.refuses = refused;
        world.run(from + 30 * S);
        return replica.firstAfter(from) - from;
    }

    /**
     * Detects a list that is late once discovery is back, since what failed before has made the
     * waits long: whatever the outage was like and at whatever phase of a call it ends, all
     * replicas are told well before what there was to be told counts as told, 6 s later; also where
     * the first answer is a refusal and connections are late.
     */
    @Test
    public void anOutageIsOverAsSoonAsDiscoveryIsBack() {
        System.out.println(
                "| outage | 1 copy | connections late | and refused once | 100 copies | the same"
                        + " three |");
        for (Discovery state :
                new Discovery[] {Discovery.DOWN, Discovery.BUSY, Discovery.SILENT, Discovery.CUT}) {
            StringBuilder row = new StringBuilder("| " + state);
            for (int replicas : new int[] {1, 100}) {
                for (int trouble = 0; trouble < 3; trouble++) {
                    long longest = 0;
                    for (long seed = 0; seed < (replicas == 1 ? 2000 : 200); seed++) {
                        longest = Math.max(longest, outage(seed, replicas, state, trouble));
                    }
                    row.append(String.format(" | %.2f", longest / 1e9));
                    assertTrue(longest < 5500 * MS, row.toString());
                }
            }
            System.out.println(row.append(" |"));
        }
    }

    /** How long after an outage the last replica is told. */
    private static long outage(long seed, int replicas, Discovery state, int trouble) {
        World world = new World(seed, replicas, replicas / 10 + 60, true);
        world.run(20 * S);
        world.late = trouble > 0 ? LATE : 0;
        world.lateByChance = seed % 2 == 1;
        world.become(state);
        world.run(world.now + world.random.nextLong(100 * MS, 20 * S));
        world.become(Discovery.WELL);
        world.replicas.forEach(replica -> replica.refuses = trouble > 1 ? 1 : 0);
        long from = world.now;
        world.run(from + 30 * S);
        return world.allTold(from);
    }

    /**
     * Detects a list that is late where discovery ended the watch, or refused calls, and the first
     * call after that hangs: its silence is known a whole patience later, and no further wait is
     * due then.
     */
    @Test
    public void aCallThatHangsAfterAnEndIsMadeAnewInTime() {
        long[] longest = new long[3];
        for (long seed = 0; seed < 2000; seed++) {
            longest[0] = Math.max(longest[0], hang(seed, Discovery.WELL));
            longest[1] = Math.max(longest[1], hang(seed, Discovery.DOWN));
            longest[2] = Math.max(longest[2], hang(seed, Discovery.BUSY));
        }
        String all =
                String.format(
                        "told after %.2f s where the reopening hangs, after %.2f s where the first"
                                + " call after an outage does, after %.2f s where the first after"
                                + " refusals does",
                        longest[0] / 1e9, longest[1] / 1e9, longest[2] / 1e9);
        System.out.println(all);
        assertTrue(Arrays.stream(longest).max().orElseThrow() < 5900 * MS, all);
    }

    /**
     * How long after the end of its watch, or of an outage, one replica is told; the first call
     * then hangs.
     */
    private static long hang(long seed, Discovery outage) {
        World world = new World(seed, 1, 1000, true);
        world.run(20 * S);
        world.late = LATE;
        World.Copy replica = world.replicas.get(0);
        if (outage == Discovery.WELL) {
            replica.broke(replica.open.iterator().next());
        } else {
            world.become(outage);
            world.run(world.now + world.random.nextLong(100 * MS, 20 * S));
            world.become(Discovery.WELL);
        }
        world.unanswered = 1;
        long from = world.now;
        world.run(from + 30 * S);
        return replica.firstAfter(from) - from;
    }

    /** Detects a watch on which pieces of an object that never ends count as life. */
    @Test
    public void anObjectThatNeverEndsIsNoLife() {
        List<String> done = new ArrayList<>();
        DiscoveryPollSchedule clock = clock(done, 6 * S);
        clock.poll(0);
        clock.onUpdate(0, 1);
        clock.onObjectStarted(2 * S, 1);
        for (long at = 2 * S; at < 8 * S; at += 50 * MS) {
            clock.onTimer(at);
        }
        assertEquals(
                calls(done),
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
     * Detects a proxy that waits while discovery has moved, or lists are pushed; what the new
     * address has counts 4 s later, also where the first call there fails or hangs.
     */
    @Test
    public void itIsAskedAtOnceWhereItMovedAndSoonWhereListsArePushed() {
        List<String> done = new ArrayList<>();
        DiscoveryPollSchedule clock = clock(done, 1500 * MS);
        clock.poll(0);
        clock.onUpdate(1, 1);
        clock.onAddressChanged(S);
        clock.onHeartbeat(S + 1, 2);
        clock.onCallFailed(S + 2, 2);
        clock.onTimer(S + 2 + 750 * MS);
        clock.onConnected(3);
        clock.onTimer(S + 2 + 1000 * MS);
        clock.onTimer(S + 2 + 2000 * MS);
        clock.onUpdate(S + 3 + 2000 * MS, 4);
        assertEquals(
                calls(done),
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
        done.clear();
        DiscoveryPollSchedule pushed =
                clock(done, DiscoveryPollSchedule.maxBackoffNanos(site(false)));
        pushed.poll(0);
        pushed.onCallFailed(0, 1);
        pushed.onTimer(750 * MS);
        pushed.onCallFailed(750 * MS, 2);
        pushed.onTimer(1500 * MS);
        assertEquals(calls(done), List.of("open 1", "onUnavailable", "open 2", "open 3"));
    }

    /**
     * Detects a call at a new address that hangs, and is made anew only after its whole patience,
     * since discovery had ended a watch at its former one: 4 s are owed after it has moved.
     */
    @Test
    public void whatAFormerAddressAnsweredSaysNothingOfTheNewOne() {
        for (boolean endsAfterwards : new boolean[] {false, true}) {
            List<String> done = new ArrayList<>();
            DiscoveryPollSchedule clock = clock(done, 1500 * MS);
            clock.poll(0);
            clock.onUpdate(0, 1);
            clock.onCallFailed(2 * S, 1);
            clock.onTimer(3 * S);
            clock.onUpdate(3 * S, 2);
            done.clear();
            clock.onAddressChanged(4 * S);
            if (endsAfterwards) {
                clock.onCallFailed(4 * S + 1, 2);
            }
            clock.onConnected(3);
            clock.onTimer(4 * S + 250 * MS);
            clock.onTimer(4 * S + 1250 * MS);
            assertEquals(
                    calls(done),
                    List.of("open 3", "dialSpare true", "open 4"),
                    "ends: " + endsAfterwards);
        }
    }

    /**
     * Detects a storm of hedged calls at a discovery that is there and serves few in a second: one
     * that has its place in the queue is made once, until it was silent for a call's whole
     * patience.
     */
    @Test
    public void noCallIsMadeTwiceWhileDiscoveryAnswers() {
        List<String> done = new ArrayList<>();
        DiscoveryPollSchedule clock = clock(done, 1500 * MS);
        clock.poll(0);
        clock.onUpdate(0, 1);
        clock.onCallFailed(S, 1);
        clock.onTimer(2 * S);
        clock.onConnected(2);
        clock.onTimer(2 * S + 250 * MS);
        clock.onTimer(2 * S + 1250 * MS);
        clock.onCallFailed(4 * S, 2);
        clock.onTimer(6 * S);
        clock.onConnected(3);
        clock.onTimer(6 * S + 250 * MS);
        clock.onTimer(6 * S + 1250 * MS);
        assertEquals(
                calls(done),
                List.of(
                        "open 1",
                        "dialSpare false",
                        "onUnavailable",
                        "open 2",
                        "dialSpare false",
                        "open 3",
                        "dialSpare false"));
        done.clear();
        clock.onTimer(9 * S);
        clock.onTimer(11 * S);
        clock.onConnected(4);
        clock.onTimer(11 * S + 1250 * MS);
        assertEquals(calls(done), List.of("drop 3 SILENT", "open 4", "open 5"));
    }

    /**
     * Detects two that own one wait: what the balancer asks for meanwhile makes no call, nor a
     * later one.
     */
    @Test
    public void theModulesOwnWaitsChangeNothing() {
        List<String> alone = new ArrayList<>();
        List<String> asked = new ArrayList<>();
        for (List<String> done : List.of(alone, asked)) {
            DiscoveryPollSchedule clock = clock(done, 1500 * MS);
            clock.poll(0);
            for (int call = 1; call < 20; call++) {
                clock.onCallFailed(call * 2 * S, call);
                for (long at = call * 2 * S; at < (call + 1) * 2 * S; at += 10 * MS) {
                    if (done == asked) {
                        clock.poll(at);
                    }
                    if (done.lastIndexOf("open " + (call + 1)) < 0) {
                        clock.onTimer(at);
                    }
                }
            }
        }
        assertEquals(asked, alone);
        assertTrue(alone.contains("open 19"), alone.toString());
    }

    /** Detects a discovery that ends each watch once it has told being asked without a pause. */
    @Test
    public void aWatchThatEndsIsOpenedAnewSoonUnlessItEndsAtOnce() {
        List<String> done = new ArrayList<>();
        DiscoveryPollSchedule clock = clock(done, 1500 * MS);
        clock.poll(0);
        clock.onUpdate(0, 1);
        clock.onCallFailed(1500 * MS, 1);
        clock.onTimer(2500 * MS);
        clock.onUpdate(2500 * MS, 2);
        clock.onCallFailed(2600 * MS, 2);
        clock.onTimer(3599 * MS);
        assertEquals(done.lastIndexOf("open 3"), -1, "not yet");
        clock.onTimer(4100 * MS);
        clock.onUpdate(4100 * MS, 3);
        clock.onCallFailed(5600 * MS, 3);
        clock.onTimer(6600 * MS);
        assertEquals(
                calls(done),
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

    private static List<String> calls(List<String> done) {
        return done.stream().filter(line -> !line.startsWith("scheduleTimer")).toList();
    }

    private static DiscoveryPollSchedule clock(List<String> done, long longest) {
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
                                    done.add(
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
     * Detects a storm: no second sees more calls than there are replicas, no 100 ms more than a
     * fifth of that, and once discovery can answer all have been told before what it has counts as
     * told, 6 s later; where there are more replicas than it can serve by then, within the 10 s
     * that count anew, and 2 s for acting on it. It serves 60 calls a second, and a tenth of the
     * replicas.
     */
    @Test
    public void manyCopiesDoNotCrowdDiscovery() {
        System.out.println(
                "| copies | trouble | most calls in 1 s | in 10 s | in 60 s | told after |");
        for (int replicas : new int[] {1, 100, 500}) {
            play(replicas, "all watches silent", Discovery.WELL, 0);
            play(replicas, "the same, after one line for all", Discovery.WELL, 0);
            play(replicas, "discovery down for 8 s", Discovery.DOWN, 8);
            play(replicas, "discovery down for 30 s", Discovery.DOWN, 30);
            play(replicas, "discovery silent for 8 s", Discovery.SILENT, 8);
            play(replicas, "discovery silent for 30 s", Discovery.SILENT, 30);
            play(replicas, "discovery refuses for 8 s", Discovery.BUSY, 8);
            play(replicas, "discovery refuses for 30 s", Discovery.BUSY, 30);
            play(replicas, "discovery cut off for 8 s", Discovery.CUT, 8);
            play(replicas, "discovery cut off for 30 s", Discovery.CUT, 30);
        }
    }

    private static void play(int replicas, String trouble, Discovery state, int seconds) {
        World world = new World(7, replicas, replicas / 10 + 60, true);
        world.run(30 * S);
        long from = world.now;
        if (trouble.endsWith("for all")) {
            world.replicas.forEach(
                    replica -> replica.clock.onUpdate(world.now, replica.open.iterator().next()));
        }
        world.become(state == Discovery.WELL ? Discovery.SILENT : state);
        world.run(from + seconds * S);
        world.become(Discovery.WELL);
        world.run(from + 100 * S);
        int[] each = world.counts(from, S, 60);
        int max = Arrays.stream(each).max().orElseThrow();
        int crowd = Arrays.stream(world.counts(from, 100 * MS, 600)).max().orElseThrow();
        double told = world.allTold(from + seconds * S) / 1e9;
        System.out.printf(
                "| %d | %s | %d | %d | %d | %.1f s |%n",
                replicas,
                trouble,
                max,
                Arrays.stream(each, 0, 10).sum(),
                Arrays.stream(each).sum(),
                told);
        assertTrue(
                max <= replicas && crowd <= 3 + replicas / 5,
                trouble
                        + " and "
                        + replicas
                        + " copies: "
                        + max
                        + " calls in 1 s, "
                        + crowd
                        + " in 100 ms");
        assertTrue(
                told > 0 && told < (replicas > 100 ? 12 : 6),
                trouble + ": told after " + told + " s");
    }
}
