package cedarrudder.failover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.failover.Regions.Region;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.failover.ZoneObservations.ZoneObservation;
import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

/**
 * Tests the aggregation of many replicas' observations and the plans that follow from it. Zones 0
 * to 2 are one region, 3 and 4 another.
 */
public class TrafficSplitPlannerTest {

    private static final long MILLI = 1_000_000L;
    private static final long PERIOD = 500 * MILLI;
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    private static final int ZONES = 5;
    private static final int REPLICAS = 4;
    private static final int FLAPPING_ZONE = 3;
    private static final double CAPACITY = 480;
    private static final double DEMAND = 240;
    private static final FailoverSettings SETTINGS =
            FailoverSettings.DEFAULT.regions(
                    new Regions(
                            List.of(
                                    new Region("east", List.of("a", "b", "c"), List.of()),
                                    new Region("west", List.of("d", "e"), List.of()))));

    /**
     * Simulated zones, observed by replicas without noise; requests follow the routes of the table.
     */
    private static final class Simulation {
        final int[] zoneOf = new int[ZONES * REPLICAS];
        final ZoneHealthAggregator aggregator;
        final TrafficSplitPlanner planner;
        final boolean[] lost = new boolean[ZONES];
        final double[] capacityFactor = new double[ZONES];
        final double[] demand = new double[ZONES];

        /** Zones whose endpoints have just started, as the endpoint list shows. */
        final boolean[] cold = new boolean[ZONES];

        final Set<Integer> broken = new TreeSet<>();
        final Set<Integer> silent = new TreeSet<>();
        final Set<Integer> evacuated = new TreeSet<>();
        final List<Long> moves = new ArrayList<>();

        /** Moves of the flapping zone. */
        final List<Long> flappingZoneMoves = new ArrayList<>();

        final Random random = new Random(4);
        final ZoneObservation[][] last = new ZoneObservation[ZONES * REPLICAS][ZONES];
        double loss;
        RouteTable table;
        long now;
        long sequence;

        Simulation() {
            this(SETTINGS);
        }

        Simulation(FailoverSettings settings) {
            planner = new TrafficSplitPlanner(settings, settings.regions().ranks(NAMES), 0);
            Arrays.setAll(zoneOf, replica -> replica / REPLICAS);
            Arrays.fill(capacityFactor, 1);
            Arrays.fill(demand, DEMAND);
            aggregator = new ZoneHealthAggregator(SETTINGS, zoneOf, ZONES);
        }

        int weight(int from, int to) {
            return table.routes().stream()
                    .filter(route -> route.from() == from && route.to() == to)
                    .mapToInt(ZoneRoute::weight)
                    .sum();
        }

        double load(int to) {
            double load = 0;
            for (int from = 0; from < ZONES; from++) {
                load +=
                        demand[from]
                                * (table == null ? from == to ? 1 : 0 : weight(from, to) / 1e4);
            }
            return load;
        }

        int usableWeight(int zone) {
            return cold[zone] ? (int) (600 * capacityFactor[zone]) : 600;
        }

        void runPeriod() {
            now += PERIOD;
            sequence++;
            double[] loads = new double[ZONES];
            Arrays.setAll(loads, this::load);
            for (int replica = 0; replica < zoneOf.length; replica++) {
                List<ZoneObservation> seen = new ArrayList<>();
                for (int zone = 0; zone < ZONES; zone++) {
                    double part =
                            table == null
                                    ? zone == zoneOf[replica] ? 1 : 0
                                    : weight(zoneOf[replica], zone) / 1e4;
                    double attempts = demand[zoneOf[replica]] / REPLICAS / 2 * part;
                    int ended = (int) (attempts + random.nextDouble());
                    double capacity = CAPACITY * capacityFactor[zone];
                    int served =
                            lost[zone] || broken.contains(replica)
                                    ? 0
                                    : (int) Math.round(ended * Math.min(1, capacity / loads[zone]));
                    int rejected = lost[zone] || broken.contains(replica) ? 0 : ended - served;
                    ZoneObservation before = last[replica][zone];
                    ZoneObservation now =
                            ended == 0 && before != null && before.age() < ZoneObservations.MAX_AGE
                                    ? new ZoneObservation(
                                            zone,
                                            before.age() + 1,
                                            before.served(),
                                            0,
                                            before.silent(),
                                            before.rejected(),
                                            0,
                                            0,
                                            before.load(),
                                            6,
                                            0,
                                            usableWeight(zone))
                                    : new ZoneObservation(
                                            zone,
                                            0,
                                            served,
                                            0,
                                            ended - served - rejected,
                                            rejected,
                                            0,
                                            0,
                                            ended == 0
                                                    ? 0
                                                    : 1
                                                            + (int)
                                                                    (100
                                                                            * Math.min(
                                                                                    1,
                                                                                    loads[zone]
                                                                                            / capacity)),
                                            6,
                                            0,
                                            usableWeight(zone));
                    last[replica][zone] = now;
                    seen.add(now);
                }
                ZoneObservations observations =
                        new ZoneObservations(
                                replica,
                                zoneOf[replica],
                                1,
                                sequence,
                                0,
                                500,
                                (int) (demand[zoneOf[replica]] / REPLICAS / 2),
                                0,
                                seen);
                for (byte[] part : observations.encode(136)) {
                    if (!silent.contains(replica) && random.nextDouble() >= loss) {
                        aggregator.onObservations(now, ZoneObservations.decode(part));
                    }
                }
            }
            List<ZoneRoute> routes = planner.plan(now, table, aggregator.snapshot(now), evacuated);
            if (table == null || !routes.equals(table.routes())) {
                if (table != null) {
                    moves.add(now);
                }
                if (table != null
                        && !row(routes, FLAPPING_ZONE).equals(row(table.routes(), FLAPPING_ZONE))) {
                    flappingZoneMoves.add(now);
                }
                table =
                        new RouteTable(
                                table == null ? 1 : table.number() + 1,
                                1,
                                1,
                                1,
                                routes,
                                List.of(),
                                List.of());
                planner.onTableLoaded(now, table);
            }
        }

        private static List<ZoneRoute> row(List<ZoneRoute> routes, int from) {
            return routes.stream().filter(route -> route.from() == from).toList();
        }

        void runSeconds(double runSeconds) {
            for (int i = 0; i < 2 * runSeconds; i++) {
                runPeriod();
            }
        }
    }

    private static Simulation steadyState() {
        Simulation simulation = new Simulation();
        simulation.runSeconds(70);
        return simulation;
    }

    /**
     * Nearly idle zones have no learned capacity, which must not lead to rejecting a lost zone's
     * requests at night.
     */
    @Test
    public void nearlyIdleZonesServeAllRequestsOfLostZone() {
        Simulation simulation = new Simulation();
        Arrays.fill(simulation.demand, CAPACITY / 12);
        simulation.runSeconds(30);
        simulation.lost[0] = true;
        simulation.runSeconds(15);
        assertTrue(simulation.weight(0, 0) < 200, "no failover: " + simulation.table);
        int served = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            served += simulation.weight(0, zone);
        }
        assertTrue(served > 9_800, "only " + served + " of 10000 are served: " + simulation.table);
    }

    /** Requests leave their zone only for a reason. */
    @Test
    public void nothingMovesWhileAllZonesAreHealthy() {
        Simulation simulation = steadyState();
        simulation.loss = 0.1;
        simulation.runSeconds(300);
        assertEquals(simulation.moves, List.of());
        for (int zone = 0; zone < ZONES; zone++) {
            assertTrue(simulation.weight(zone, zone) > 9_900, simulation.table.toString());
        }
    }

    /**
     * A lost zone's requests move to its region at once, no target exceeds its target share, and
     * the requests return in steps.
     */
    @Test
    public void lostZoneFailsOverAndReturnsInStepsWithinCapacity() {
        Simulation simulation = steadyState();
        simulation.lost[1] = true;
        simulation.runSeconds(4);
        assertTrue(simulation.weight(1, 1) <= 80, simulation.table.toString());
        assertTrue(
                simulation.weight(1, 0) + simulation.weight(1, 2) > 9_000,
                simulation.table.toString());
        assertEquals(
                simulation.table.routes().stream()
                        .filter(s -> s.from() == 1 && s.to() == 0)
                        .findFirst()
                        .orElseThrow()
                        .reason(),
                RouteReason.MOVED);
        for (int zone = 0; zone < ZONES; zone++) {
            assertTrue(
                    simulation.load(zone) < 0.87 * CAPACITY, zone + ": " + simulation.load(zone));
        }
        simulation.runSeconds(20);
        simulation.lost[1] = false;
        simulation.capacityFactor[1] = 0.08;
        simulation.cold[1] = true;
        int last = simulation.weight(1, 1);
        for (int i = 0; i < 120; i++) {
            simulation.runPeriod();
            assertTrue(
                    simulation.weight(1, 1) - last <= 2_600,
                    "a step of " + (simulation.weight(1, 1) - last));
            assertTrue(
                    simulation.load(1) < 0.97 * CAPACITY * simulation.capacityFactor[1],
                    "cold, with a request rate of " + simulation.load(1));
            last = simulation.weight(1, 1);
            simulation.capacityFactor[1] = Math.min(1, simulation.capacityFactor[1] + 0.01);
        }
        assertTrue(last > 9_900, simulation.table.toString());
    }

    /** The requests of a lost zone must not overload a second zone. */
    @Test
    public void requestsBeyondAllCapacityStayUnserved() {
        Simulation simulation = steadyState();
        Arrays.fill(simulation.demand, 0.8 * CAPACITY);
        simulation.runSeconds(10);
        simulation.lost[0] = true;
        simulation.runSeconds(10);
        int sum = 0;
        for (int zone = 1; zone < ZONES; zone++) {
            assertTrue(
                    simulation.load(zone) < 0.94 * CAPACITY, zone + ": " + simulation.load(zone));
            sum += simulation.weight(0, zone);
        }
        assertTrue(sum > 5_000 && sum < 7_000, simulation.table.toString());
        assertTrue(
                simulation.weight(0, 3) > 0
                        && simulation.weight(0, 1) > simulation.weight(0, 3) / 2,
                simulation.table.toString());
    }

    /** A slow zone's requests move away only as far as it can't serve them. */
    @Test
    public void slowZoneKeepsRequestsThatItCanServe() {
        Simulation simulation = steadyState();
        simulation.capacityFactor[2] = 0.33;
        simulation.runSeconds(15);
        assertTrue(
                simulation.weight(2, 2) > 4_000 && simulation.weight(2, 2) < 7_000,
                simulation.table.toString());
        simulation.capacityFactor[2] = 1;
        simulation.runSeconds(60);
        assertTrue(simulation.weight(2, 2) > 9_900, simulation.table.toString());
    }

    /**
     * F1. Neither one replica's broken network link nor the replicas of one zone cause a failover
     * while others are served.
     */
    @Test
    public void reportsOfOneReplicaOrOneZoneCauseNoFailover() {
        Simulation simulation = steadyState();
        simulation.broken.add(5);
        simulation.runSeconds(60);
        assertEquals(simulation.moves, List.of());
        simulation.broken.addAll(
                List.of(
                        4, 6,
                        7)); // all replicas of zone 1: requests of the others are served there
        simulation.runSeconds(60);
        assertEquals(simulation.moves, List.of());
    }

    /** A flapping zone must not move the traffic each time. */
    @Test
    public void flappingZoneMovesABoundedNumberOfTimes() {
        for (int halfPeriod : new int[] {3, 10, 20}) {
            Simulation simulation = steadyState();
            for (int i = 0; i < 600 / halfPeriod; i++) {
                simulation.lost[3] = i % 2 == 0;
                simulation.runSeconds(halfPeriod / 2.0);
            }
            for (int i = 0; i + SETTINGS.movesPerMinute() < simulation.moves.size(); i++) {
                assertTrue(
                        simulation.moves.get(i + SETTINGS.movesPerMinute())
                                        - simulation.moves.get(i)
                                > 60_000 * MILLI,
                        "half a period of "
                                + halfPeriod
                                + " half seconds, moves at "
                                + simulation.moves);
            }
            assertFalse(simulation.moves.isEmpty());
            assertTrue(simulation.moves.size() < 40, simulation.moves.size() + " moves in 300 s");
        }
    }

    /**
     * Tests the limit on moves alone, without hold times that would delay moves; a fault here shows
     * as moves without end.
     */
    @Test
    public void moveLimitHoldsWithoutHoldTimes() {
        FailoverSettings withoutHolds =
                new FailoverSettings(
                        SETTINGS.regions(),
                        List.of(),
                        PERIOD,
                        5 * PERIOD,
                        2,
                        0.5,
                        0.85,
                        0.92,
                        0,
                        1,
                        PERIOD + 1,
                        PERIOD + 1,
                        8,
                        0.05);
        Simulation simulation = new Simulation(withoutHolds);
        simulation.runSeconds(70);
        for (int i = 0; i < 60; i++) {
            simulation.lost[FLAPPING_ZONE] = i % 2 == 0;
            simulation.runSeconds(4);
        }
        assertTrue(
                simulation.flappingZoneMoves.size() > 20,
                simulation.flappingZoneMoves.size() + " moves");
        for (int i = 0; i + 8 < simulation.flappingZoneMoves.size(); i++) {
            assertTrue(
                    simulation.flappingZoneMoves.get(i + 8) - simulation.flappingZoneMoves.get(i)
                            > 60_000 * MILLI,
                    "moves at " + simulation.flappingZoneMoves);
        }
    }

    private static ZoneObservations report(int replica, Integer... unhealthyZones) {
        List<ZoneObservation> seen = new ArrayList<>();
        for (int zone = 0; zone < ZONES && unhealthyZones.length > 0; zone++) {
            boolean isUnhealthy = Arrays.asList(unhealthyZones).contains(zone);
            seen.add(
                    new ZoneObservation(
                            zone,
                            0,
                            isUnhealthy ? 0 : 9,
                            0,
                            isUnhealthy ? 9 : 0,
                            0,
                            0,
                            0,
                            0,
                            6,
                            0,
                            600));
        }
        return new ZoneObservations(replica, replica / REPLICAS, 1, 1, 0, 500, 30, 0, seen);
    }

    /**
     * The verdict of a zone must not come from a single replica, nor from replicas with a broken
     * network link.
     */
    @Test
    public void oneReplicaAndBrokenLinksGiveNoVerdictOfTheirZone() {
        Simulation simulation = new Simulation();
        simulation.aggregator.onObservations(0, report(4, 1));
        simulation.aggregator.onObservations(0, report(5));
        simulation.aggregator.onObservations(0, report(6));
        assertFalse(
                simulation.aggregator.snapshot(0).zones().get(1).unhealthyFor().contains(1),
                "the report of one replica");
        simulation.aggregator.onObservations(0, report(7, 1));
        assertTrue(
                simulation.aggregator.snapshot(0).zones().get(1).unhealthyFor().contains(1),
                "the reports of two replicas");
        simulation = new Simulation();
        for (int replica = 4; replica < 8; replica++) {
            simulation.aggregator.onObservations(0, report(replica, 0, 1, 2, 3, 4));
        }
        assertEquals(
                simulation.aggregator.snapshot(0).zones().get(1).unhealthyFor(),
                Set.of(),
                "replicas that are served nowhere have no vote");
    }

    /** Requests of an evacuated zone move as after a loss, but none are rejected. */
    @Test
    public void evacuatedZoneServesRequestsThatFitNowhereElse() {
        Simulation simulation = steadyState();
        Arrays.fill(simulation.demand, 0.75 * CAPACITY);
        simulation.runSeconds(10);
        simulation.evacuated.add(4);
        simulation.runSeconds(10);
        assertTrue(
                simulation.weight(4, 4) > 3_000 && simulation.weight(4, 4) < 7_000,
                simulation.table.toString());
        int sum = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            sum += simulation.weight(4, zone);
        }
        assertTrue(sum > 9_990, simulation.table.toString());
    }

    /**
     * Reports that are outdated, of an earlier incarnation, or of replicas that are cut off do not
     * count.
     */
    @Test
    public void outdatedReportsAreIgnored() {
        Simulation simulation = steadyState();
        long then = simulation.now;
        ZoneObservations stale =
                new ZoneObservations(4, 1, 0, 1L << 40, 0, 500, 9_000, 9_000, List.of());
        simulation.aggregator.onObservations(then, stale);
        assertEquals(simulation.aggregator.snapshot(then).zones().get(1).demand(), DEMAND, 5);
        simulation.silent.addAll(List.of(4, 5, 6, 7));
        simulation.runSeconds(4);
        ZoneHealthSnapshot snapshot = simulation.aggregator.snapshot(simulation.now);
        assertEquals(snapshot.zones().get(1).freshReplicas(), 0);
        assertEquals(snapshot.unreachable().size(), REPLICAS);
        assertEquals(
                snapshot.zones().get(1).state(),
                ZoneState.HEALTHY,
                "requests of other zones are served there");
        assertEquals(simulation.moves, List.of());
        simulation.aggregator.forgetExpiredReplicas(simulation.now, replica -> simulation.now - 1);
        assertEquals(simulation.aggregator.snapshot(simulation.now).unreachable(), List.of());
    }
}
