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
 * What many replicas' evidence comes to, and what is planned upon it. Zones 0 to 2 are one region,
 * 3 and 4 another.
 */
public class TrafficSplitPlannerTest {

    private static final long MILLI = 1_000_000L;
    private static final long PERIOD = 500 * MILLI;
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    private static final int ZONES = 5;
    private static final int REPLICAS = 4;
    private static final int FLAPS = 3;
    private static final double CAPACITY = 480;
    private static final double DEMAND = 240;
    private static final FailoverSettings SETTINGS =
            FailoverSettings.DEFAULT.regions(
                    new Regions(
                            List.of(
                                    new Region("east", List.of("a", "b", "c"), List.of()),
                                    new Region("west", List.of("d", "e"), List.of()))));

    /** What is true, seen by replicas without any noise; calls go where the table says. */
    private static final class Play {
        final int[] zoneOf = new int[ZONES * REPLICAS];
        final ZoneHealthAggregator assessment;
        final TrafficSplitPlanner planner;
        final boolean[] lost = new boolean[ZONES];
        final double[] able = new double[ZONES];
        final double[] demand = new double[ZONES];

        /** Endpoints there have just started, which the list tells. */
        final boolean[] cold = new boolean[ZONES];

        final Set<Integer> broken = new TreeSet<>();
        final Set<Integer> silent = new TreeSet<>();
        final Set<Integer> evacuated = new TreeSet<>();
        final List<Long> moves = new ArrayList<>();

        /** Those of the zone that comes and goes. */
        final List<Long> flapping = new ArrayList<>();

        final Random random = new Random(4);
        final ZoneObservation[][] last = new ZoneObservation[ZONES * REPLICAS][ZONES];
        double loss;
        RouteTable table;
        long now;
        long sequence;

        Play() {
            this(SETTINGS);
        }

        Play(FailoverSettings settings) {
            planner = new TrafficSplitPlanner(settings, settings.regions().ranks(NAMES), 0);
            Arrays.setAll(zoneOf, replica -> replica / REPLICAS);
            Arrays.fill(able, 1);
            Arrays.fill(demand, DEMAND);
            assessment = new ZoneHealthAggregator(SETTINGS, zoneOf, ZONES);
        }

        int parts(int from, int to) {
            return table.routes().stream()
                    .filter(share -> share.from() == from && share.to() == to)
                    .mapToInt(ZoneRoute::weight)
                    .sum();
        }

        double load(int to) {
            double load = 0;
            for (int from = 0; from < ZONES; from++) {
                load += demand[from] * (table == null ? from == to ? 1 : 0 : parts(from, to) / 1e4);
            }
            return load;
        }

        int units(int zone) {
            return cold[zone] ? (int) (600 * able[zone]) : 600;
        }

        void period() {
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
                                    : parts(zoneOf[replica], zone) / 1e4;
                    double calls = demand[zoneOf[replica]] / REPLICAS / 2 * part;
                    int ended = (int) (calls + random.nextDouble());
                    double capacity = CAPACITY * able[zone];
                    int served =
                            lost[zone] || broken.contains(replica)
                                    ? 0
                                    : (int) Math.round(ended * Math.min(1, capacity / loads[zone]));
                    int refused = lost[zone] || broken.contains(replica) ? 0 : ended - served;
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
                                            units(zone))
                                    : new ZoneObservation(
                                            zone,
                                            0,
                                            served,
                                            0,
                                            ended - served - refused,
                                            refused,
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
                                            units(zone));
                    last[replica][zone] = now;
                    seen.add(now);
                }
                ZoneObservations evidence =
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
                for (byte[] part : evidence.encode(136)) {
                    if (!silent.contains(replica) && random.nextDouble() >= loss) {
                        assessment.onObservations(now, ZoneObservations.decode(part));
                    }
                }
            }
            List<ZoneRoute> shares = planner.plan(now, table, assessment.snapshot(now), evacuated);
            if (table == null || !shares.equals(table.routes())) {
                if (table != null) {
                    moves.add(now);
                }
                if (table != null && !row(shares, FLAPS).equals(row(table.routes(), FLAPS))) {
                    flapping.add(now);
                }
                table =
                        new RouteTable(
                                table == null ? 1 : table.number() + 1,
                                1,
                                1,
                                1,
                                shares,
                                List.of(),
                                List.of());
                planner.onTableLoaded(now, table);
            }
        }

        private static List<ZoneRoute> row(List<ZoneRoute> shares, int from) {
            return shares.stream().filter(share -> share.from() == from).toList();
        }

        void seconds(double seconds) {
            for (int i = 0; i < 2 * seconds; i++) {
                period();
            }
        }
    }

    private static Play calm() {
        Play play = new Play();
        play.seconds(70);
        return play;
    }

    /** Detects calls that leave their zone for nothing. */
    /** Detects refusing what is lost at night: of zones that are nearly idle nothing is learned. */
    @Test
    public void zonesThatAreNearlyIdleTakeAllThatIsLost() {
        Play play = new Play();
        Arrays.fill(play.demand, CAPACITY / 12);
        play.seconds(30);
        play.lost[0] = true;
        play.seconds(15);
        assertTrue(play.parts(0, 0) < 200, "it was not left: " + play.table);
        int served = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            served += play.parts(0, zone);
        }
        assertTrue(served > 9_800, "only " + served + " of 10000 are served: " + play.table);
    }

    @Test
    public void onACalmDayNothingMoves() {
        Play play = calm();
        play.loss = 0.1;
        play.seconds(300);
        assertEquals(play.moves, List.of());
        for (int zone = 0; zone < ZONES; zone++) {
            assertTrue(play.parts(zone, zone) > 9_900, play.table.toString());
        }
    }

    /**
     * A zone is left for its region at once, no target goes past its share, and it comes back by
     * steps.
     */
    @Test
    public void aLostZoneIsLeftAndComesBackByStepsWithinItsTargetsRoom() {
        Play play = calm();
        play.lost[1] = true;
        play.seconds(4);
        assertTrue(play.parts(1, 1) <= 80, play.table.toString());
        assertTrue(play.parts(1, 0) + play.parts(1, 2) > 9_000, play.table.toString());
        assertEquals(
                play.table.routes().stream()
                        .filter(s -> s.from() == 1 && s.to() == 0)
                        .findFirst()
                        .orElseThrow()
                        .reason(),
                RouteReason.MOVED);
        for (int zone = 0; zone < ZONES; zone++) {
            assertTrue(play.load(zone) < 0.87 * CAPACITY, zone + ": " + play.load(zone));
        }
        play.seconds(20);
        play.lost[1] = false;
        play.able[1] = 0.08;
        play.cold[1] = true;
        int last = play.parts(1, 1);
        for (int i = 0; i < 120; i++) {
            play.period();
            assertTrue(play.parts(1, 1) - last <= 2_600, "a step of " + (play.parts(1, 1) - last));
            assertTrue(
                    play.load(1) < 0.97 * CAPACITY * play.able[1],
                    "cold, and gets " + play.load(1));
            last = play.parts(1, 1);
            play.able[1] = Math.min(1, play.able[1] + 0.01);
        }
        assertTrue(last > 9_900, play.table.toString());
    }

    /** Detects the second zone falling over what the first one lost. */
    @Test
    public void whatFitsNowhereStaysUnserved() {
        Play play = calm();
        Arrays.fill(play.demand, 0.8 * CAPACITY);
        play.seconds(10);
        play.lost[0] = true;
        play.seconds(10);
        int sum = 0;
        for (int zone = 1; zone < ZONES; zone++) {
            assertTrue(play.load(zone) < 0.94 * CAPACITY, zone + ": " + play.load(zone));
            sum += play.parts(0, zone);
        }
        assertTrue(sum > 5_000 && sum < 7_000, play.table.toString());
        assertTrue(
                play.parts(0, 3) > 0 && play.parts(0, 1) > play.parts(0, 3) / 2,
                play.table.toString());
    }

    /** Calls leave a slow zone in the share that it can't serve, not all of them. */
    @Test
    public void aSlowZoneKeepsWhatItCanServe() {
        Play play = calm();
        play.able[2] = 0.33;
        play.seconds(15);
        assertTrue(play.parts(2, 2) > 4_000 && play.parts(2, 2) < 7_000, play.table.toString());
        play.able[2] = 1;
        play.seconds(60);
        assertTrue(play.parts(2, 2) > 9_900, play.table.toString());
    }

    /**
     * F1. Detects one replica's broken link, and one zone's replicas, moving what others are
     * served.
     */
    @Test
    public void theWordOfOneCopyOrOfOneZoneIsNoGround() {
        Play play = calm();
        play.broken.add(5);
        play.seconds(60);
        assertEquals(play.moves, List.of());
        play.broken.addAll(List.of(4, 6, 7)); // all replicas of zone 1: the others are served there
        play.seconds(60);
        assertEquals(play.moves, List.of());
    }

    /** Detects a zone that comes and goes taking the traffic with it each time. */
    @Test
    public void aZoneThatComesAndGoesMovesABoundedNumberOfTimes() {
        for (int half : new int[] {3, 10, 20}) {
            Play play = calm();
            for (int i = 0; i < 600 / half; i++) {
                play.lost[3] = i % 2 == 0;
                play.seconds(half / 2.0);
            }
            for (int i = 0; i + SETTINGS.movesPerMinute() < play.moves.size(); i++) {
                assertTrue(
                        play.moves.get(i + SETTINGS.movesPerMinute()) - play.moves.get(i)
                                > 60_000 * MILLI,
                        "half a period of " + half + " halves of a second, moves at " + play.moves);
            }
            assertFalse(play.moves.isEmpty());
            assertTrue(play.moves.size() < 40, play.moves.size() + " moves in 300 s");
        }
    }

    /** The bound by itself, where no hold helps: detects moves without end. */
    @Test
    public void theBoundOnMovesHoldsWithoutAnyHold() {
        FailoverSettings hasty =
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
        Play play = new Play(hasty);
        play.seconds(70);
        for (int i = 0; i < 60; i++) {
            play.lost[FLAPS] = i % 2 == 0;
            play.seconds(4);
        }
        assertTrue(play.flapping.size() > 20, play.flapping.size() + " moves");
        for (int i = 0; i + 8 < play.flapping.size(); i++) {
            assertTrue(
                    play.flapping.get(i + 8) - play.flapping.get(i) > 60_000 * MILLI,
                    "moves at " + play.flapping);
        }
    }

    private static ZoneObservations says(int replica, Integer... bad) {
        List<ZoneObservation> seen = new ArrayList<>();
        for (int zone = 0; zone < ZONES && bad.length > 0; zone++) {
            boolean ill = Arrays.asList(bad).contains(zone);
            seen.add(
                    new ZoneObservation(
                            zone, 0, ill ? 0 : 9, 0, ill ? 9 : 0, 0, 0, 0, 0, 6, 0, 600));
        }
        return new ZoneObservations(replica, replica / REPLICAS, 1, 1, 0, 500, 30, 0, seen);
    }

    /** Detects a zone's word that is one replica's, or that of replicas with a broken link. */
    @Test
    public void oneCopyAndBrokenLinksAreNoWordOfTheirZone() {
        Play play = new Play();
        play.assessment.onObservations(0, says(4, 1));
        play.assessment.onObservations(0, says(5));
        play.assessment.onObservations(0, says(6));
        assertFalse(
                play.assessment.snapshot(0).zones().get(1).unhealthyFor().contains(1),
                "one copy's word");
        play.assessment.onObservations(0, says(7, 1));
        assertTrue(
                play.assessment.snapshot(0).zones().get(1).unhealthyFor().contains(1),
                "two copies' word");
        play = new Play();
        for (int replica = 4; replica < 8; replica++) {
            play.assessment.onObservations(0, says(replica, 0, 1, 2, 3, 4));
        }
        assertEquals(
                play.assessment.snapshot(0).zones().get(1).unhealthyFor(),
                Set.of(),
                "served nowhere");
    }

    /** What an operator leaves goes as a loss does, but nothing of it is rejected. */
    @Test
    public void anEvacuatedZoneServesWhatFitsNowhereElse() {
        Play play = calm();
        Arrays.fill(play.demand, 0.75 * CAPACITY);
        play.seconds(10);
        play.evacuated.add(4);
        play.seconds(10);
        assertTrue(play.parts(4, 4) > 3_000 && play.parts(4, 4) < 7_000, play.table.toString());
        int sum = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            sum += play.parts(4, zone);
        }
        assertTrue(sum > 9_990, play.table.toString());
    }

    /** Detects words that are old, of a former life, or of replicas that are cut off. */
    @Test
    public void oldWordsCountNothing() {
        Play play = calm();
        long then = play.now;
        ZoneObservations stale =
                new ZoneObservations(4, 1, 0, 1L << 40, 0, 500, 9_000, 9_000, List.of());
        play.assessment.onObservations(then, stale);
        assertEquals(play.assessment.snapshot(then).zones().get(1).demand(), DEMAND, 5);
        play.silent.addAll(List.of(4, 5, 6, 7));
        play.seconds(4);
        ZoneHealthSnapshot picture = play.assessment.snapshot(play.now);
        assertEquals(picture.zones().get(1).freshReplicas(), 0);
        assertEquals(picture.unreachable().size(), REPLICAS);
        assertEquals(picture.zones().get(1).state(), ZoneState.HEALTHY, "others are served there");
        assertEquals(play.moves, List.of());
        play.assessment.lapse(play.now, replica -> play.now - 1);
        assertEquals(play.assessment.snapshot(play.now).unreachable(), List.of());
    }
}
