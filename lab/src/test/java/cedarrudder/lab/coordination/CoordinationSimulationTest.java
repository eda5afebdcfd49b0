package cedarrudder.lab.coordination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.consensus.ProposalOutcome;
import cedarrudder.consensus.StableStorage;
import cedarrudder.coordination.CoordinatedReplica;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.coordination.DrainCoordination;
import cedarrudder.coordination.TierView;
import cedarrudder.coordination.TrafficCoordination;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.lab.checker.HistoryEvent;
import cedarrudder.lab.checker.Invariant;
import cedarrudder.lab.checker.SingleLeader;
import cedarrudder.lab.checker.SingleTable;
import cedarrudder.lab.consensus.ConsensusSimulation.Network;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Replicas that decide together, with what goes wrong made to go wrong. Seeds are fixed. */
public class CoordinationSimulationTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final Network CALM = new Network(0, 0, 0, 2 * MILLI, 21 * MILLI);
    private static final Network ROUGH = new Network(0.1, 0.05, 0.01, 2 * MILLI, 400 * MILLI);
    private static final ConsensusSettings AGREED = ConsensusSettings.DEFAULT;
    private static final CoordinationSettings SETTINGS =
            new CoordinationSettings(
                    CoordinationSettings.DEFAULT.period(),
                    Long.getLong("fleet.lease_ms", 10_000) * MILLI);
    private static final long LEASE = SETTINGS.lease();

    /** Storms; many more by {@code -Dfleet.seeds}. */
    private static final long SEEDS = Long.getLong("fleet.seeds", 12);

    private final List<HistoryEvent> events = new ArrayList<>();
    private int parts = 1_000;
    private int room = Integer.MAX_VALUE;

    /** A plan that the test changes: this many parts of zone 0 spill into zone 1. */
    private final class Plan implements TrafficCoordination {
        @Override
        public List<byte[]> reportParts(long now) {
            return List.of(new byte[CoordinatedReplica.MAX_PART_BYTES], new byte[50]);
        }

        @Override
        public void onReportPart(long now, int from, byte[] part) {}

        @Override
        public List<ZoneRoute> plan(long now, TierView tier) {
            return List.of(new ZoneRoute(0, 1, RouteReason.SPILLED, parts, 0));
        }

        @Override
        public void onLeadership(long now, boolean leads) {}
    }

    private CoordinatedReplica make(
            int[] zones,
            int self,
            long incarnation,
            StableStorage store,
            RandomGenerator random,
            CoordinatedReplica.Actions outlet,
            long now) {
        return new CoordinatedReplica(
                zones,
                self,
                incarnation,
                AGREED,
                SETTINGS,
                store,
                random,
                new Plan(),
                DrainCoordination.NONE,
                () -> new RouteTableCapacity(self == 3 ? room : Integer.MAX_VALUE, 10, 10),
                outlet,
                now);
    }

    private CoordinationSimulation started(int size, Network network, boolean disks, long seed) {
        events.clear();
        parts = 1_000;
        room = Integer.MAX_VALUE;
        CoordinationSimulation world =
                new CoordinationSimulation(
                        IntStream.range(0, size).map(i -> i % 3).toArray(),
                        network,
                        disks,
                        seed,
                        this::make,
                        events::add);
        world.form(0);
        world.play(15 * SECOND);
        assertTrue(world.agree(), "no table is used by all, seed " + seed);
        return world;
    }

    private static int parts(RouteTable table) {
        return table.routes().get(0).weight();
    }

    private static int other(CoordinationSimulation world) {
        return (world.leader() + 1) % world.size();
    }

    @Test
    public void oneTableIsUsedByAllVotersOrNot() {
        CoordinationSimulation world = started(9, CALM, false, 1);
        long number = world.uses(0).number();
        parts = 2_000;
        world.play(2 * SECOND);
        assertTrue(world.agree());
        assertEquals(parts(world.uses(8)), 2_000);
        assertTrue(world.uses(8).number() > number);
        world.play(60 * SECOND);
        assertTrue(world.agree(), "a lease ran out in calm");
        assertTrue(events.stream().noneMatch(event -> event.what().equals("lapsed")));
    }

    /** Detects one that is cut off using a table for longer than its lease, or for much less. */
    @Test
    public void oneThatIsCutOffKeepsItsTableForTheLeaseAndNoLonger() {
        CoordinationSimulation world = started(7, CALM, false, 2);
        int away = other(world);
        world.cutOff(List.of(away));
        parts = 3_000;
        world.play(LEASE - 3 * SECOND);
        assertNotNull(world.uses(away), "it left its table too early");
        assertEquals(parts(world.uses(away)), 1_000);
        world.play(3 * SECOND);
        assertNull(world.uses(away), "it used its table past the lease");
        world.heal();
        world.play(3 * SECOND);
        assertTrue(world.agree(), "it does not come back");
        assertEquals(parts(world.uses(away)), 3_000);
    }

    /** Detects a leader that has lost its majority keeping its own lease, and those of others. */
    @Test
    public void aLeaderWithoutAMajorityKeepsNobodysLease() {
        for (long seed = 30; seed < 40; seed++) {
            CoordinationSimulation world = started(7, CALM, false, seed);
            int leader = world.leader();
            int follows = (leader + 3) % 7;
            world.cutOff(List.of(leader, follows));
            world.play(LEASE);
            assertNull(world.uses(leader), "seed " + seed);
            assertNull(world.uses(follows), "seed " + seed);
            assertNotEquals(world.leader(), leader);
        }
    }

    /** Detects one that wakes up using what it had, before it has heard of anything. */
    @Test
    public void oneThatStoodStillForLongerThanItsLeaseUsesNothingWhenItWakes() {
        CoordinationSimulation world = started(5, CALM, false, 4);
        int leader = world.leader();
        world.stall(leader, LEASE + SECOND);
        parts = 4_000;
        world.play(LEASE + SECOND - 1);
        assertNull(world.uses(leader), "as one would that is asked in its first moment");
        world.play(5 * SECOND);
        assertTrue(world.agree());
        assertEquals(parts(world.uses(leader)), 4_000);
    }

    /**
     * One small replica holds a table back for all; when it has room, or is gone, the table comes.
     */
    @Test
    public void aTableThatTheSmallestLiveCopyCannotLoadIsNotAgreedOn() {
        CoordinationSimulation world = started(5, CALM, false, 5);
        room = 10;
        world.play(2 * SECOND);
        parts = 5_000;
        world.play(5 * SECOND);
        assertEquals(parts(world.uses(0)), 1_000);
        assertTrue(
                events.stream()
                        .anyMatch(
                                event ->
                                        event.what().equals("held-back")
                                                && event.text("by").equals("3")),
                "nobody is told why");
        room = 1_000;
        world.play(5 * SECOND);
        assertEquals(parts(world.uses(0)), 5_000);
        assertTrue(world.agree());
    }

    /** Detects numbers that begin anew in a group that an operator forms. */
    @Test
    public void numbersRiseOverGroups() {
        CoordinationSimulation world = started(5, CALM, false, 6);
        long number = world.uses(0).number();
        IntStream.of(0, 1, 2).forEach(world::kill);
        world.play(2 * SECOND);
        world.form(4);
        world.restart(0);
        world.restart(1);
        world.play(20 * SECOND);
        assertTrue(world.agree());
        assertTrue(world.uses(4).number() > number);
        assertTrue(world.uses(4).group() > 0);
    }

    private static boolean grant(byte[] datagram) {
        return datagram[0] == (byte) 0xa7 && datagram[1] == 2;
    }

    /** Detects a lease that is drawn out by old answers that come again and again. */
    @Test
    public void anAnswerThatComesAgainGivesNothing() {
        CoordinationSimulation world = started(5, CALM, false, 8);
        int away = other(world);
        int leader = world.leader();
        byte[][] last = new byte[1][];
        world.filter(
                (from, to, datagram) -> {
                    last[0] = to == away && grant(datagram) ? datagram : last[0];
                    return true;
                });
        world.play(2 * SECOND);
        world.cutOff(List.of(away));
        for (long played = 0; played < LEASE; played += 200 * MILLI) {
            world.inject(away, leader, last[0]);
            world.play(200 * MILLI);
        }
        assertNull(world.uses(away));
    }

    /**
     * One that goes on with its life from its disk takes no answer to the process before for its
     * own.
     */
    @Test
    public void answersToTheProcessBeforeGiveNothing() {
        CoordinationSimulation world =
                new CoordinationSimulation(
                        new int[] {0, 1, 2, 0, 1}, CALM, true, 9, this::make, events::add);
        List<byte[]> grants = new ArrayList<>();
        world.filter(
                (from, to, datagram) -> {
                    if (to == 2 && grant(datagram)) {
                        grants.add(datagram);
                    }
                    return true;
                });
        world.form(0);
        for (int i = 0; i < 100; i++) { // until a snapshot has a table
            parts++;
            world.play(800 * MILLI);
        }
        assertNotNull(world.uses(2));
        world.kill(2);
        IntStream.range(0, 5).forEach(to -> world.cut(2, to, true)); // it hears, and is not heard
        world.restart(2);
        for (int i = 0; i < 10; i++) {
            world.play(300 * MILLI);
            assertNotNull(world.view(2).status(0).agreedTable(), "it has no disk");
            grants.subList(0, 20).forEach(each -> world.inject(2, 0, each));
        }
        assertNull(world.uses(2));
    }

    /**
     * The first byte of a message that agreement cuts into one piece; none of another kind has its
     * place.
     */
    private static int kind(byte[] datagram) {
        return datagram[0] == (byte) 0xa6 ? datagram[45] : -1;
    }

    /**
     * A leader that does not know yet what the one before had committed confirms no table: what it
     * holds for the newest may not be.
     */
    @Test
    public void aLeaderThatHasCommittedNothingConfirmsNothing() {
        for (long seed = 40; seed < 50; seed++) {
            CoordinationSimulation world = started(5, CALM, false, seed);
            int leader = world.leader();
            int append = 2;
            world.filter(
                    (from, to, datagram) ->
                            from != leader || kind(datagram) < 0 || kind(datagram) == append);
            parts = 2_000;
            while (parts(world.uses(leader)) != 2_000) {
                world.play(MILLI);
            }
            world.kill(leader);
            long killed = world.now();
            assertTrue(
                    IntStream.range(0, 5)
                            .filter(world::runs)
                            .allMatch(i -> parts(world.uses(i)) == 1_000));
            int empty =
                    80; // with an entry it is longer: its words come, and its first entry doesn't
            world.filter(
                    (from, to, datagram) -> kind(datagram) != append || datagram.length <= empty);
            while (world.leader() < 0) {
                world.play(MILLI);
            }
            world.play(550 * MILLI);
            List<Integer> others =
                    IntStream.range(0, 5)
                            .boxed()
                            .filter(i -> world.runs(i) && i != world.leader())
                            .toList();
            for (int one : others) {
                others.forEach(to -> world.cut(one, to, one != to));
                world.cut(world.leader(), one, true);
            }
            world.filter((from, to, datagram) -> true);
            world.play(killed + LEASE - world.now());
            others.forEach(i -> assertNull(world.uses(i), "copy " + i));
        }
    }

    /** Detects what grows with the number of replicas; more of them by {@code -Dfleet.sizes}. */
    @Test
    public void whatACopySendsAndHowSoonATableCounts() {
        for (String each : System.getProperty("fleet.sizes", "10,30").split(",")) {
            int size = Integer.parseInt(each);
            CoordinationSimulation world = started(size, CALM, false, 60);
            world.play(20 * SECOND);
            long[] before = IntStream.range(0, size).mapToLong(world::bytes).toArray();
            world.play(30 * SECOND);
            long[] sent =
                    IntStream.range(0, size)
                            .mapToLong(i -> (world.bytes(i) - before[i]) / 30)
                            .toArray();
            long[] took = new long[20];
            for (int i = 0; i < took.length; i++) {
                parts++;
                long begun = world.now();
                while (!world.agree() || parts(world.uses(0)) != parts) {
                    world.play(10 * MILLI);
                }
                took[i] = (world.now() - begun) / MILLI;
                world.play(SECOND + i * 37 * MILLI);
            }
            Arrays.sort(took);
            long mean = (long) LongStream.of(sent).average().orElseThrow();
            Reporter.log(
                    size
                            + " copies: bytes a second, mean "
                            + mean
                            + ", most "
                            + LongStream.of(sent).max().orElseThrow()
                            + "; a table counts at all after ms, p50 "
                            + took[10]
                            + ", most "
                            + took[19],
                    true);
            assertTrue(mean < 2_500 && took[19] < 5_000, size + " copies");
            assertTrue(events.stream().noneMatch(event -> event.what().equals("lapsed")));
        }
    }

    /** A command can be proposed at any replica, whether it votes, leads or neither. */
    @Test
    public void whatIsProposedAtAnyCopyComesToAll() {
        CoordinationSimulation world = started(9, CALM, false, 11);
        for (int replica = 0; replica < 9; replica++) {
            assertTrue(world.propose(replica, new byte[] {7}, 5 * SECOND));
        }
        world.play(4 * SECOND);
        for (int replica = 0; replica < 9; replica++) {
            assertEquals(
                    world.settled(replica), List.of(ProposalOutcome.COMMITTED), "copy " + replica);
        }
        world.cutOff(List.of(other(world)));
        world.propose(other(world), new byte[] {7}, 2 * SECOND);
        world.play(3 * SECOND);
        assertNotEquals(world.settled(other(world)).get(1), ProposalOutcome.COMMITTED);
    }

    @Test
    public void garbageAndOldDatagramsChangeNothing() {
        CoordinationSimulation world = started(5, CALM, false, 7);
        SplittableRandom random = new SplittableRandom(7);
        int one = other(world);
        for (int i = 0; i < 3_000; i++) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            if (bytes.length > 0 && i % 2 == 0) {
                bytes[0] = (byte) 0xa7;
            }
            world.inject(one, (one + 1) % 5, bytes);
        }
        world.play(SECOND);
        assertTrue(world.agree());
        assertEquals(world.view(one).counts().malformed(), 1_500, 20.0);
    }

    /**
     * What was agreed on first in one group: no other replica uses an earlier one for longer than
     * its lease.
     */
    private static final class LeaseKept {
        private final Map<Long, Long> firstUsed = new TreeMap<>();

        void look(CoordinationSimulation world, String seed) {
            for (int replica = 0; replica < world.size(); replica++) {
                RouteTable table = world.runs(replica) ? world.uses(replica) : null;
                if (table != null) {
                    firstUsed.putIfAbsent(table.number(), world.now());
                    for (var later : firstUsed.entrySet()) {
                        boolean sameGroup = later.getKey() >>> 28 == table.number() >>> 28;
                        assertTrue(
                                !sameGroup
                                        || later.getKey() <= table.number()
                                        || world.now() - later.getValue() <= LEASE,
                                seed
                                        + ": copy "
                                        + replica
                                        + " uses "
                                        + table.number()
                                        + " while "
                                        + later.getKey()
                                        + " was used "
                                        + (world.now() - later.getValue()) / MILLI
                                        + " ms ago");
                    }
                }
            }
        }
    }

    /**
     * Replicas killed, stalled and cut off while tables change, on a network that delays by up to
     * 400 ms, doubles and loses: what was agreed on is one, and no lease is outlived, however words
     * travel.
     */
    @Test
    public void stormsBreakNoRuleAndNoLease() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 5 + random.nextInt(5);
            CoordinationSimulation world = started(size, CALM, seed % 3 == 0, seed);
            LeaseKept lease = new LeaseKept();
            world.network(ROUGH);
            for (int step = 0; step < 16; step++) {
                int one = random.nextInt(size);
                int leader = world.leader();
                switch (random.nextInt(7)) {
                    case 0 -> world.kill(one);
                    case 1, 2 ->
                            IntStream.range(0, size)
                                    .filter(i -> !world.runs(i))
                                    .forEach(world::restart);
                    case 3 -> world.stall(leader < 0 ? one : leader, random.nextLong(14 * SECOND));
                    case 4 -> world.cutOff(List.of(one, leader < 0 ? one : leader));
                    case 5 -> world.cut(leader < 0 ? one : leader, one, true);
                    default -> world.heal();
                }
                for (int i = random.nextInt(60); i > 0; i--) {
                    parts = i % 4 == 0 ? 1 + random.nextInt(9_000) : parts;
                    world.play(random.nextLong(200 * MILLI));
                    lease.look(world, "seed " + seed);
                }
            }
            world.heal();
            world.network(CALM);
            IntStream.range(0, size).filter(i -> !world.runs(i)).forEach(world::restart);
            for (int i = 0; i < 40 && !(world.leader() >= 0 && world.agree()); i++) {
                world.play(SECOND);
            }
            if (world.leader() < 0) {
                world.form(0); // a majority forgot
                world.play(30 * SECOND);
            }
            assertTrue(world.agree(), "seed " + seed + " does not settle");
            List<Invariant> rules = List.of(new SingleTable(), new SingleLeader());
            events.forEach(event -> rules.forEach(rule -> rule.took(event)));
            for (Invariant rule : rules) {
                assertEquals(rule.breaches(), List.of(), "seed " + seed);
            }
        }
    }
}
