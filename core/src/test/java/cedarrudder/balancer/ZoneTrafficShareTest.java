package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Calls keep to the zones that have shares. The replica is in zone 0; endpoint 10 z + i is in zone
 * z.
 */
public class ZoneTrafficShareTest {

    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;
    private static final int ZONES = 3;
    private static final int EACH = 8;

    private static final RequestClass WORTHY =
            new RequestClass(
                    "worthy",
                    Site.SAFE.idempotency(),
                    Site.SAFE.keyScope(),
                    Site.SAFE.latencyObjectiveNanos(),
                    Site.SAFE.deadlineNanos(),
                    9,
                    0,
                    0,
                    false);

    private final Site site = new Site();
    private Recorder did;
    private PrequalBalancer decide;
    private long now;
    private long last;

    @BeforeMethod
    public void begin() {
        site.classes = List.of(Site.SAFE, WORTHY, Site.KEYED_IN_ZONE);
        site.maxAttempts = 4;
        did = new Recorder();
        now = 100 * SECOND;
        last = 0;
        decide = new PrequalBalancer(site.settings(), new SplittableRandom(7), did);
        List<Endpoint> all = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            all.addAll(zone(zone, EndpointStatus.READY));
        }
        decide.onEndpoints(now, EndpointListKind.CACHED, all);
    }

    private static List<Endpoint> zone(int zone, EndpointStatus state) {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < EACH; i++) {
            all.add(Site.endpoint(10 * zone + i, zone, 0, state, 0));
        }
        return all;
    }

    private void shares(ZoneTrafficShare... shares) {
        decide.onZoneShares(now, List.of(shares));
    }

    private static ZoneTrafficShare share(int zone, int parts) {
        return new ZoneTrafficShare(zone, parts, 0);
    }

    private long ask(int kind) {
        decide.onRequest(now, new Request(++last, kind, 0, now + SECOND, 0, false, false, 0));
        return last;
    }

    /** Ends the last attempt of a request. */
    private void end(long id, Outcome outcome) {
        List<Recorder.Sent> sent = did.sent.stream().filter(s -> s.request() == id).toList();
        decide.onAttemptEnded(
                now,
                id,
                sent.size() - 1,
                sent.get(sent.size() - 1).endpoint(),
                outcome,
                MS,
                outcome == Outcome.OK,
                null);
    }

    /** Answers the probes that are out, those of some endpoints with a report. */
    private void answerProbes(LongPredicate sound) {
        List<Long> out = List.copyOf(did.probed);
        did.probed.clear();
        for (long endpoint : out) {
            boolean good = sound.test(endpoint);
            decide.onProbeEnded(
                    now,
                    endpoint,
                    good ? Outcome.OK : Outcome.TIMEOUT,
                    0,
                    good ? Site.load(1, 5) : null);
        }
    }

    /** This many calls, one in so long, each served at once; how many went to each zone. */
    private int[] serve(int calls, long every) {
        int[] zones = new int[ZONES];
        for (int i = 0; i < calls; i++) {
            now += every;
            did.sent.clear();
            long id = ask(0);
            answerProbes(endpoint -> true);
            if (!did.sent.isEmpty()) {
                zones[zoneOf(0)]++;
                end(id, Outcome.OK);
            }
        }
        return zones;
    }

    private int zoneOf(int sent) {
        return (int) did.sent.get(sent).endpoint() / 10;
    }

    // ---- without shares ----

    /**
     * Detects shares that cost a replica without a table anything: all that it does, with every
     * argument, is what the build before them did. The figures are that build's. Whoever changes
     * decisions on purpose puts his own here, and says so.
     */
    @Test
    public void withoutSharesEachActionIsThatOfTheBuildBefore() {
        long[] before = {3871831610L, 4052922298L, 2420951006L, 1174658731L};
        for (int seed = 1; seed <= before.length; seed++) {
            Steps steps = new Steps(seed);
            steps.play(5_000);
            assertEquals(steps.digest(), before[seed - 1], "seed " + seed);
        }
    }

    /** Detects an empty list that draws from the random source, or unsettles the roster. */
    @Test
    public void anEmptyListChangesNothing() {
        for (int seed = 1; seed <= 3; seed++) {
            Steps untold = new Steps(seed);
            Steps told = new Steps(seed);
            for (int i = 0; i < 100; i++) {
                told.decide.onZoneShares(told.now, List.of());
                untold.play(30);
                told.play(30);
                assertEquals(told.digest(), untold.digest(), "seed " + seed + ", step " + 30 * i);
            }
        }
    }

    @Test
    public void afterAnEmptyListCallsAreAtHomeAgain() {
        shares(share(2, 10_000));
        assertEquals(serve(200, 10 * MS), new int[] {0, 0, 200});
        shares();
        int[] zones = serve(200, 10 * MS);
        assertTrue(zones[0] > 100 && zones[2] < 60, Arrays.toString(zones));
    }

    // ---- parts ----

    @Test
    public void eachZoneGetsItsParts() {
        shares(share(0, 9_900), share(1, 100));
        for (int window = 0; window < 10; window++) {
            int[] zones = serve(1_000, 2 * MS);
            assertEquals(zones[1], 10, 2, "window " + window);
            assertEquals(zones[0] + zones[1], 1_000);
        }
        shares(share(0, 2_500), share(1, 2_500), share(2, 5_000));
        int[] zones = serve(1_000, 2 * MS);
        assertEquals(zones[0], 250, 3);
        assertEquals(zones[1], 250, 3);
    }

    /** Detects probes, connections and entries of the pool that stay where nothing may be sent. */
    @Test
    public void probesAndConnectionsMoveAtOnce() {
        serve(300, 5 * MS);
        did.lines.clear();
        shares(share(1, 10_000));
        int before = 0;
        for (int i = 0; i < 300; i++) {
            now += 5 * MS;
            long id = ask(0);
            before += zoneOf(did.sent.size() - 1) == 1 ? 0 : 1;
            end(id, Outcome.OK);
            assertTrue(did.probed.stream().allMatch(e -> e / 10 == 1), did.probed.toString());
            answerProbes(endpoint -> true);
        }
        assertEquals(before, 0);
        assertTrue(
                did.lines.stream().filter(line -> line.matches("close \\d")).count() >= 6,
                did.lines.toString());
    }

    @Test
    public void theLeastWorthyOfWhatFitsNowhereAreRefusedAtOnce() {
        shares(share(0, 7_000));
        int[] refused = new int[2];
        end(ask(2), Outcome.OK); // what was never served counts as worth most
        for (int i = 0; i < 2_000; i++) {
            now += 5 * MS;
            did.refused.clear();
            long id = ask(i % 2);
            refused[i % 2] += did.refused.size();
            if (did.refused.isEmpty()) {
                end(id, Outcome.OK);
            }
        }
        assertEquals(refused[1], 0);
        assertEquals(refused[0], 600, 20);
    }

    // ---- zones that can't serve ----

    @Test
    public void theOwnZoneStandsInForOneThatDrainsThenTheOthers() {
        shares(share(1, 5_000), share(2, 4_000), share(0, 1_000));
        decide.onEndpoints(now, EndpointListKind.DELTA, zone(1, EndpointStatus.DRAINING));
        int[] zones = serve(500, 5 * MS);
        assertEquals(zones[0], 300, 5, Arrays.toString(zones));
        assertEquals(zones[2], 200, 5, Arrays.toString(zones));
        decide.onEndpoints(now, EndpointListKind.DELTA, zone(0, EndpointStatus.REMOVED));
        assertEquals(serve(100, 5 * MS), new int[] {0, 0, 100});
    }

    @Test
    public void whereNoZoneOfTheTableHasANodeItIsAsWithoutOne() {
        shares(share(9, 10_000));
        int[] zones = serve(300, 5 * MS);
        assertEquals(zones[0] + zones[1] + zones[2], 300);
        assertTrue(zones[0] > 60 && zones[1] > 60, Arrays.toString(zones));
        assertTrue(did.lines.stream().filter(line -> line.startsWith("probe")).count() > 20);
        decide.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(90, 9, 0, EndpointStatus.READY, 0)));
        long id = ask(0);
        assertEquals(did.sent.get(did.sent.size() - 1), new Recorder.Sent(id, 90));
    }

    /**
     * Detects overload of one zone that pulls down the next: its endpoints are full, and not
     * unsound.
     */
    @Test
    public void aZoneThatIsFullSendsNothingToOthers() {
        shares(share(1, 10_000));
        for (int i = 0; i < 100; i++) {
            decide.onRequest(
                    now, new Request(++last, 0, 0, now + SECOND, 0, false, false, 20 * MS));
        }
        assertEquals(did.sent.size(), EACH * 4, "each holds four");
        assertTrue(did.sent.stream().allMatch(s -> s.endpoint() / 10 == 1));
        now += 100 * MS;
        List.copyOf(did.timers).forEach(timer -> decide.onTimer(now, timer.token()));
        assertEquals(did.refused.size(), 100 - EACH * 4);
    }

    /** Detects a table that holds calls in a zone which is dead, as this replica can see. */
    @Test
    public void aDeadZoneIsLeftBeforeTheTableSaysSo() {
        shares(share(1, 10_000));
        int lost = 0;
        for (int i = 0; i < 100; i++) {
            now += 5 * MS;
            answerProbes(endpoint -> endpoint / 10 != 1);
            long id = ask(0);
            for (int tries = 0;
                    zoneOf(did.sent.size() - 1) == 1 && did.refused.isEmpty();
                    tries++) {
                assertTrue(tries < 4);
                end(id, Outcome.CONNECT_FAILED);
            }
            lost += did.refused.size();
            if (did.refused.isEmpty()) {
                end(id, Outcome.OK);
            }
            did.refused.clear();
        }
        assertTrue(lost <= 3, "lost " + lost);
    }

    /**
     * The same where nothing comes back at all: probes tell it, before calls do by their deadline.
     */
    @Test
    public void aSilentZoneIsLeftOnceProbesFail() {
        shares(share(1, 10_000));
        List<Long> inside = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            now += 5 * MS;
            long id = ask(0);
            if (zoneOf(did.sent.size() - 1) == 1) {
                inside.add(id);
            } else {
                end(id, Outcome.OK);
            }
            if (i % 10 == 9) {
                answerProbes(endpoint -> endpoint / 10 != 1);
            }
        }
        assertTrue(inside.size() < 60, "calls into the silent zone: " + inside);
        now += SECOND;
        inside.forEach(id -> end(id, Outcome.TIMEOUT));
        serve(200, 20 * MS);
        assertEquals(serve(100, 10 * MS)[1], 100, "it is found again");
    }

    // ---- bounds a second ----

    @Test
    public void whatIsOverABoundGoesToTheNextZone() {
        decide.onZoneShares(now, List.of(new ZoneTrafficShare(1, 9_000, 50), share(2, 1_000)));
        int[] zones = serve(2_000, 5 * MS);
        assertEquals(zones[1], 50 * 10 + 15, 10);
        assertEquals(zones[2], 2_000 - zones[1]);
    }

    /** Detects a bound that holds only until the other zones are full. */
    @Test
    public void aBoundHoldsWhereTheOtherZonesAreFull() {
        decide.onZoneShares(now, List.of(new ZoneTrafficShare(1, 5_000, 2), share(2, 5_000)));
        for (int i = 0; i < 100; i++) {
            decide.onRequest(
                    now, new Request(++last, 0, 0, now + SECOND, 0, false, false, 20 * MS));
        }
        assertEquals(did.sent.stream().filter(sent -> sent.endpoint() / 10 == 1).count(), 1);
        assertEquals(did.sent.size(), 1 + EACH * 4, "each holds four");
    }

    /** Detects calls that wait for a bound: they are refused at once, and none that may run is. */
    @Test
    public void whatIsOverAllBoundsIsRefusedAtOnce() {
        int served = 0;
        for (int i = 0; i < 2_000; i++) {
            if (i % 100 == 0) { // replaced under load, with no new savings
                decide.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 50)));
            }
            now += 5 * MS;
            did.sent.clear();
            did.refused.clear();
            long id = ask(0);
            assertEquals(did.sent.size() + did.refused.size(), 1, "call " + i);
            served += did.sent.size();
            if (!did.sent.isEmpty()) {
                end(id, Outcome.OK);
            }
        }
        assertEquals(served, 50 * 10 + 15, 10);
    }

    @Test
    public void repeatsCountInTheBound() {
        decide.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 2)));
        end(ask(0), Outcome.REJECTED);
        assertEquals(did.sent.size(), 1, "no second one within half a second");
        assertEquals(did.refused.size(), 1);
        now += SECOND;
        decide.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 10)));
        int sends = 0;
        for (int i = 0; i < 200; i++) {
            now += 50 * MS;
            did.sent.clear();
            long id = ask(0);
            for (int of = 0; of < did.sent.size(); of++) {
                sends++;
                decide.onAttemptEnded(
                        now,
                        id,
                        of,
                        did.sent.get(of).endpoint(),
                        Outcome.REJECTED,
                        MS,
                        false,
                        null);
            }
        }
        assertTrue(sends <= 10 * 10 + 5 + 1, "sends " + sends);
    }

    // ---- effects stand above ----

    @Test
    public void aRepeatGoesWhereItsClassAllowsItAndToZonesOfTheTableIfItMay() {
        shares(share(1, 10_000));
        long keyed = ask(2);
        long safe = ask(0);
        shares(share(2, 10_000));
        end(keyed, Outcome.ERROR);
        assertEquals(zoneOf(2), 1, "its key is known there alone");
        end(safe, Outcome.ERROR);
        assertEquals(zoneOf(3), 2);
    }

    // ---- what is wrong ----

    @Test
    public void whatIsWrongIsNamedAndTheFormerSharesStand() {
        shares(share(2, 10_000));
        assertThrows(
                IllegalArgumentException.class, () -> shares(share(1, 6_000), share(0, 6_000)));
        assertThrows(IllegalArgumentException.class, () -> shares(share(1, 10), share(1, 10)));
        assertEquals(serve(20, 5 * MS)[2], 20);
        for (int[] bad :
                new int[][] {{-1, 1, 0}, {64, 1, 0}, {0, 0, 0}, {0, 10_001, 0}, {0, 1, -1}}) {
            String said = "";
            try {
                new ZoneTrafficShare(bad[0], bad[1], bad[2]);
            } catch (IllegalArgumentException e) {
                said = e.getMessage();
            }
            assertTrue(said.matches("share\\.\\w+: found -?\\d+; allowed: \\d+ to \\d+"), said);
        }
    }

    /** Detects a table that is wrong taking the place of none. */
    @Test
    public void whatIsWrongAtFirstHoldsNothing() {
        assertThrows(
                IllegalArgumentException.class, () -> shares(share(1, 6_000), share(2, 6_000)));
        assertTrue(serve(100, 5 * MS)[0] > 20);
    }
}
