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

/** Tests coordinated replicas in simulation, with provoked failures. Seeds are fixed. */
public class CoordinationSimulationTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final Network CALM = new Network(0, 0, 0, 2 * MILLI, 21 * MILLI);
    private static final Network ROUGH = new Network(0.1, 0.05, 0.01, 2 * MILLI, 400 * MILLI);
    private static final ConsensusSettings CONSENSUS = ConsensusSettings.DEFAULT;
    private static final CoordinationSettings SETTINGS =
            new CoordinationSettings(
                    CoordinationSettings.DEFAULT.period(),
                    Long.getLong("fleet.lease_ms", 10_000) * MILLI);
    private static final long LEASE = SETTINGS.lease();

    /** The number of seeds of the fault storms; set by {@code -Dfleet.seeds}. */
    private static final long SEEDS = Long.getLong("fleet.seeds", 12);

    private final List<HistoryEvent> events = new ArrayList<>();
    private int parts = 1_000;
    private int routeCapacity = Integer.MAX_VALUE;

    /**
     * A traffic split that the test changes: zone 0 spills {@code parts} parts of its traffic into
     * zone 1.
     */
    private final class SpillPlan implements TrafficCoordination {
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

    private CoordinatedReplica createReplica(
            int[] zones,
            int self,
            long incarnation,
            StableStorage store,
            RandomGenerator random,
            CoordinatedReplica.Actions actions,
            long now) {
        return new CoordinatedReplica(
                zones,
                self,
                incarnation,
                CONSENSUS,
                SETTINGS,
                store,
                random,
                new SpillPlan(),
                DrainCoordination.NONE,
                () -> new RouteTableCapacity(self == 3 ? routeCapacity : Integer.MAX_VALUE, 10, 10),
                actions,
                now);
    }

    private CoordinationSimulation started(int size, Network network, boolean disks, long seed) {
        events.clear();
        parts = 1_000;
        routeCapacity = Integer.MAX_VALUE;
        CoordinationSimulation simulation =
                new CoordinationSimulation(
                        IntStream.range(0, size).map(i -> i % 3).toArray(),
                        network,
                        disks,
                        seed,
                        this::createReplica,
                        events::add);
        simulation.form(0);
        simulation.play(15 * SECOND);
        assertTrue(simulation.agree(), "the replicas do not all use one table, seed " + seed);
        return simulation;
    }

    private static int parts(RouteTable table) {
        return table.routes().get(0).weight();
    }

    private static int nonLeader(CoordinationSimulation simulation) {
        return (simulation.leader() + 1) % simulation.size();
    }

    @Test
    public void allReplicasUseOneTableWhetherTheyVoteOrNot() {
        CoordinationSimulation simulation = started(9, CALM, false, 1);
        long number = simulation.uses(0).number();
        parts = 2_000;
        simulation.play(2 * SECOND);
        assertTrue(simulation.agree());
        assertEquals(parts(simulation.uses(8)), 2_000);
        assertTrue(simulation.uses(8).number() > number);
        simulation.play(60 * SECOND);
        assertTrue(simulation.agree(), "a lease expired without any fault");
        assertTrue(events.stream().noneMatch(event -> event.what().equals("lapsed")));
    }

    /**
     * A replica that is cut off must not use its table for longer than its lease, nor stop using it
     * much earlier.
     */
    @Test
    public void aReplicaThatIsCutOffUsesItsTableUntilItsLeaseExpires() {
        CoordinationSimulation simulation = started(7, CALM, false, 2);
        int isolated = nonLeader(simulation);
        simulation.cutOff(List.of(isolated));
        parts = 3_000;
        simulation.play(LEASE - 3 * SECOND);
        assertNotNull(simulation.uses(isolated), "it stopped using its table too early");
        assertEquals(parts(simulation.uses(isolated)), 1_000);
        simulation.play(3 * SECOND);
        assertNull(simulation.uses(isolated), "it used its table past the lease");
        simulation.heal();
        simulation.play(3 * SECOND);
        assertTrue(simulation.agree(), "it does not use the table of the others again");
        assertEquals(parts(simulation.uses(isolated)), 3_000);
    }

    /** A leader that has lost its majority must not extend its own lease or those of others. */
    @Test
    public void aLeaderWithoutAMajorityExtendsNoLease() {
        for (long seed = 30; seed < 40; seed++) {
            CoordinationSimulation simulation = started(7, CALM, false, seed);
            int leader = simulation.leader();
            int follower = (leader + 3) % 7;
            simulation.cutOff(List.of(leader, follower));
            simulation.play(LEASE);
            assertNull(simulation.uses(leader), "seed " + seed);
            assertNull(simulation.uses(follower), "seed " + seed);
            assertNotEquals(simulation.leader(), leader);
        }
    }

    /**
     * A replica that resumes after a pause must not use its old table before it has received
     * anything.
     */
    @Test
    public void aReplicaPausedForLongerThanItsLeaseUsesNoTableWhenItResumes() {
        CoordinationSimulation simulation = started(5, CALM, false, 4);
        int leader = simulation.leader();
        simulation.stall(leader, LEASE + SECOND);
        parts = 4_000;
        simulation.play(LEASE + SECOND - 1);
        assertNull(
                simulation.uses(leader),
                "a request that arrives as it resumes must not use the old table");
        simulation.play(5 * SECOND);
        assertTrue(simulation.agree());
        assertEquals(parts(simulation.uses(leader)), 4_000);
    }

    /**
     * A table that exceeds the capacity of one live replica is held back for all; it is agreed on
     * once that replica has the capacity or is gone.
     */
    @Test
    public void aTableThatExceedsTheCapacityOfALiveReplicaIsHeldBack() {
        CoordinationSimulation simulation = started(5, CALM, false, 5);
        routeCapacity = 10;
        simulation.play(2 * SECOND);
        parts = 5_000;
        simulation.play(5 * SECOND);
        assertEquals(parts(simulation.uses(0)), 1_000);
        assertTrue(
                events.stream()
                        .anyMatch(
                                event ->
                                        event.what().equals("held-back")
                                                && event.text("by").equals("3")),
                "the reason is not recorded");
        routeCapacity = 1_000;
        simulation.play(5 * SECOND);
        assertEquals(parts(simulation.uses(0)), 5_000);
        assertTrue(simulation.agree());
    }

    /** Table numbers must not start again in a group that an operator forms. */
    @Test
    public void tableNumbersIncreaseAcrossGroups() {
        CoordinationSimulation simulation = started(5, CALM, false, 6);
        long number = simulation.uses(0).number();
        IntStream.of(0, 1, 2).forEach(simulation::kill);
        simulation.play(2 * SECOND);
        simulation.form(4);
        simulation.restart(0);
        simulation.restart(1);
        simulation.play(20 * SECOND);
        assertTrue(simulation.agree());
        assertTrue(simulation.uses(4).number() > number);
        assertTrue(simulation.uses(4).group() > 0);
    }

    private static boolean isLeaseGrant(byte[] datagram) {
        return datagram[0] == (byte) 0xa7 && datagram[1] == 2;
    }

    /** A lease must not be extended by old answers that are delivered repeatedly. */
    @Test
    public void aRepeatedAnswerExtendsNoLease() {
        CoordinationSimulation simulation = started(5, CALM, false, 8);
        int isolated = nonLeader(simulation);
        int leader = simulation.leader();
        byte[][] last = new byte[1][];
        simulation.filter(
                (from, to, datagram) -> {
                    last[0] = to == isolated && isLeaseGrant(datagram) ? datagram : last[0];
                    return true;
                });
        simulation.play(2 * SECOND);
        simulation.cutOff(List.of(isolated));
        for (long played = 0; played < LEASE; played += 200 * MILLI) {
            simulation.inject(isolated, leader, last[0]);
            simulation.play(200 * MILLI);
        }
        assertNull(simulation.uses(isolated));
    }

    /**
     * A replica that restarts with its incarnation from disk must not accept answers that were sent
     * to the process before.
     */
    @Test
    public void answersToThePreviousProcessExtendNoLease() {
        CoordinationSimulation simulation =
                new CoordinationSimulation(
                        new int[] {0, 1, 2, 0, 1}, CALM, true, 9, this::createReplica, events::add);
        List<byte[]> grants = new ArrayList<>();
        simulation.filter(
                (from, to, datagram) -> {
                    if (to == 2 && isLeaseGrant(datagram)) {
                        grants.add(datagram);
                    }
                    return true;
                });
        simulation.form(0);
        for (int i = 0; i < 100; i++) { // until a snapshot contains a table
            parts++;
            simulation.play(800 * MILLI);
        }
        assertNotNull(simulation.uses(2));
        simulation.kill(2);
        IntStream.range(0, 5)
                .forEach(
                        to ->
                                simulation.cut(
                                        2, to, true)); // it receives datagrams, but none of its own
        // arrives
        simulation.restart(2);
        for (int i = 0; i < 10; i++) {
            simulation.play(300 * MILLI);
            assertNotNull(
                    simulation.view(2).status(0).agreedTable(),
                    "the replica did not restore a table from its disk");
            grants.subList(0, 20).forEach(each -> simulation.inject(2, 0, each));
        }
        assertNull(simulation.uses(2));
    }

    /**
     * Returns the type byte of a consensus message that fits in one fragment, or -1 for any other
     * datagram.
     */
    private static int messageType(byte[] datagram) {
        return datagram[0] == (byte) 0xa6 ? datagram[45] : -1;
    }

    /**
     * A leader that does not yet know what its predecessor committed must not confirm a table: the
     * newest one that it knows may be outdated.
     */
    @Test
    public void aLeaderThatHasCommittedNothingConfirmsNoTable() {
        for (long seed = 40; seed < 50; seed++) {
            CoordinationSimulation simulation = started(5, CALM, false, seed);
            int leader = simulation.leader();
            int appendType = 2;
            simulation.filter(
                    (from, to, datagram) ->
                            from != leader
                                    || messageType(datagram) < 0
                                    || messageType(datagram) == appendType);
            parts = 2_000;
            while (parts(simulation.uses(leader)) != 2_000) {
                simulation.play(MILLI);
            }
            simulation.kill(leader);
            long killed = simulation.now();
            assertTrue(
                    IntStream.range(0, 5)
                            .filter(simulation::runs)
                            .allMatch(i -> parts(simulation.uses(i)) == 1_000));
            int emptyAppendBytes =
                    80; // messages with an entry are longer: heartbeats pass, its first entry does
            // not
            simulation.filter(
                    (from, to, datagram) ->
                            messageType(datagram) != appendType
                                    || datagram.length <= emptyAppendBytes);
            while (simulation.leader() < 0) {
                simulation.play(MILLI);
            }
            simulation.play(550 * MILLI);
            List<Integer> others =
                    IntStream.range(0, 5)
                            .boxed()
                            .filter(i -> simulation.runs(i) && i != simulation.leader())
                            .toList();
            for (int one : others) {
                others.forEach(to -> simulation.cut(one, to, one != to));
                simulation.cut(simulation.leader(), one, true);
            }
            simulation.filter((from, to, datagram) -> true);
            simulation.play(killed + LEASE - simulation.now());
            others.forEach(i -> assertNull(simulation.uses(i), "replica " + i));
        }
    }

    /**
     * Bytes sent per replica and the time until a table is used everywhere must not grow with the
     * number of replicas; other sizes are set by {@code -Dfleet.sizes}.
     */
    @Test
    public void bytesSentAndTableDelayStayBounded() {
        for (String each : System.getProperty("fleet.sizes", "10,30").split(",")) {
            int size = Integer.parseInt(each);
            CoordinationSimulation simulation = started(size, CALM, false, 60);
            simulation.play(20 * SECOND);
            long[] before = IntStream.range(0, size).mapToLong(simulation::bytes).toArray();
            simulation.play(30 * SECOND);
            long[] sent =
                    IntStream.range(0, size)
                            .mapToLong(i -> (simulation.bytes(i) - before[i]) / 30)
                            .toArray();
            long[] took = new long[20];
            for (int i = 0; i < took.length; i++) {
                parts++;
                long begun = simulation.now();
                while (!simulation.agree() || parts(simulation.uses(0)) != parts) {
                    simulation.play(10 * MILLI);
                }
                took[i] = (simulation.now() - begun) / MILLI;
                simulation.play(SECOND + i * 37 * MILLI);
            }
            Arrays.sort(took);
            long mean = (long) LongStream.of(sent).average().orElseThrow();
            Reporter.log(
                    size
                            + " replicas: bytes per second, mean "
                            + mean
                            + ", max "
                            + LongStream.of(sent).max().orElseThrow()
                            + "; ms until all use a new table, p50 "
                            + took[10]
                            + ", max "
                            + took[19],
                    true);
            assertTrue(mean < 2_500 && took[19] < 5_000, size + " replicas");
            assertTrue(events.stream().noneMatch(event -> event.what().equals("lapsed")));
        }
    }

    /** A command can be proposed at any replica, whether it votes, leads or neither. */
    @Test
    public void aCommandProposedAtAnyReplicaIsCommitted() {
        CoordinationSimulation simulation = started(9, CALM, false, 11);
        for (int replica = 0; replica < 9; replica++) {
            assertTrue(simulation.propose(replica, new byte[] {7}, 5 * SECOND));
        }
        simulation.play(4 * SECOND);
        for (int replica = 0; replica < 9; replica++) {
            assertEquals(
                    simulation.settled(replica),
                    List.of(ProposalOutcome.COMMITTED),
                    "replica " + replica);
        }
        simulation.cutOff(List.of(nonLeader(simulation)));
        simulation.propose(nonLeader(simulation), new byte[] {7}, 2 * SECOND);
        simulation.play(3 * SECOND);
        assertNotEquals(
                simulation.settled(nonLeader(simulation)).get(1), ProposalOutcome.COMMITTED);
    }

    @Test
    public void malformedDatagramsChangeNothing() {
        CoordinationSimulation simulation = started(5, CALM, false, 7);
        SplittableRandom random = new SplittableRandom(7);
        int one = nonLeader(simulation);
        for (int i = 0; i < 3_000; i++) {
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            if (bytes.length > 0 && i % 2 == 0) {
                bytes[0] = (byte) 0xa7;
            }
            simulation.inject(one, (one + 1) % 5, bytes);
        }
        simulation.play(SECOND);
        assertTrue(simulation.agree());
        assertEquals(simulation.view(one).counts().malformed(), 1_500, 20.0);
    }

    /**
     * Checks, in each group, that no replica uses a table for longer than a lease after another
     * replica first used a later one.
     */
    private static final class LeaseInvariant {
        private final Map<Long, Long> firstUsed = new TreeMap<>();

        void check(CoordinationSimulation simulation, String seed) {
            for (int replica = 0; replica < simulation.size(); replica++) {
                RouteTable table = simulation.runs(replica) ? simulation.uses(replica) : null;
                if (table != null) {
                    firstUsed.putIfAbsent(table.number(), simulation.now());
                    for (var later : firstUsed.entrySet()) {
                        boolean sameGroup = later.getKey() >>> 28 == table.number() >>> 28;
                        assertTrue(
                                !sameGroup
                                        || later.getKey() <= table.number()
                                        || simulation.now() - later.getValue() <= LEASE,
                                seed
                                        + ": replica "
                                        + replica
                                        + " uses "
                                        + table.number()
                                        + " while "
                                        + later.getKey()
                                        + " was used "
                                        + (simulation.now() - later.getValue()) / MILLI
                                        + " ms ago");
                    }
                }
            }
        }
    }

    /**
     * Replicas are killed, paused and cut off while tables change, on a network that delays by up
     * to 400 ms, duplicates and loses datagrams: there is only one sequence of agreed tables, and
     * no replica uses a table past its lease.
     */
    @Test
    public void faultStormsViolateNoInvariantAndNoLease() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 5 + random.nextInt(5);
            CoordinationSimulation simulation = started(size, CALM, seed % 3 == 0, seed);
            LeaseInvariant lease = new LeaseInvariant();
            simulation.network(ROUGH);
            for (int step = 0; step < 16; step++) {
                int one = random.nextInt(size);
                int leader = simulation.leader();
                switch (random.nextInt(7)) {
                    case 0 -> simulation.kill(one);
                    case 1, 2 ->
                            IntStream.range(0, size)
                                    .filter(i -> !simulation.runs(i))
                                    .forEach(simulation::restart);
                    case 3 ->
                            simulation.stall(
                                    leader < 0 ? one : leader, random.nextLong(14 * SECOND));
                    case 4 -> simulation.cutOff(List.of(one, leader < 0 ? one : leader));
                    case 5 -> simulation.cut(leader < 0 ? one : leader, one, true);
                    default -> simulation.heal();
                }
                for (int i = random.nextInt(60); i > 0; i--) {
                    parts = i % 4 == 0 ? 1 + random.nextInt(9_000) : parts;
                    simulation.play(random.nextLong(200 * MILLI));
                    lease.check(simulation, "seed " + seed);
                }
            }
            simulation.heal();
            simulation.network(CALM);
            IntStream.range(0, size).filter(i -> !simulation.runs(i)).forEach(simulation::restart);
            for (int i = 0; i < 40 && !(simulation.leader() >= 0 && simulation.agree()); i++) {
                simulation.play(SECOND);
            }
            if (simulation.leader() < 0) {
                simulation.form(0); // a majority lost its state
                simulation.play(30 * SECOND);
            }
            assertTrue(simulation.agree(), "seed " + seed + " did not settle");
            List<Invariant> rules = List.of(new SingleTable(), new SingleLeader());
            events.forEach(event -> rules.forEach(rule -> rule.took(event)));
            for (Invariant rule : rules) {
                assertEquals(rule.breaches(), List.of(), "seed " + seed);
            }
        }
    }
}
