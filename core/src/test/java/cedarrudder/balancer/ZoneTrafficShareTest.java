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
 * Requests are sent only to the zones that have traffic shares. The replica is in zone 0; endpoint
 * 10 z + i is in zone z.
 */
public class ZoneTrafficShareTest {

    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;
    private static final int ZONES = 3;
    private static final int ENDPOINTS_PER_ZONE = 8;

    private static final RequestClass HIGH_PRIORITY =
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
    private Recorder recorder;
    private PrequalBalancer balancer;
    private long now;
    private long lastRequest;

    @BeforeMethod
    public void setUp() {
        site.classes = List.of(Site.SAFE, HIGH_PRIORITY, Site.KEYED_IN_ZONE);
        site.maxAttempts = 4;
        recorder = new Recorder();
        now = 100 * SECOND;
        lastRequest = 0;
        balancer = new PrequalBalancer(site.settings(), new SplittableRandom(7), recorder);
        List<Endpoint> all = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            all.addAll(zone(zone, EndpointStatus.READY));
        }
        balancer.onEndpoints(now, EndpointListKind.CACHED, all);
    }

    private static List<Endpoint> zone(int zone, EndpointStatus state) {
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
            all.add(Site.endpoint(10 * zone + i, zone, 0, state, 0));
        }
        return all;
    }

    private void setShares(ZoneTrafficShare... shares) {
        balancer.onZoneShares(now, List.of(shares));
    }

    private static ZoneTrafficShare share(int zone, int parts) {
        return new ZoneTrafficShare(zone, parts, 0);
    }

    private long sendRequest(int classIndex) {
        balancer.onRequest(
                now, new Request(++lastRequest, classIndex, 0, now + SECOND, 0, false, false, 0));
        return lastRequest;
    }

    /** Ends the last attempt of a request with an outcome. */
    private void endAttempt(long id, Outcome outcome) {
        List<Recorder.Sent> sent = recorder.sent.stream().filter(s -> s.request() == id).toList();
        balancer.onAttemptEnded(
                now,
                id,
                sent.size() - 1,
                sent.get(sent.size() - 1).endpoint(),
                outcome,
                MS,
                outcome == Outcome.OK,
                null);
    }

    /**
     * Answers the outstanding probes: those of healthy endpoints with a load report, the others
     * with a timeout.
     */
    private void answerProbes(LongPredicate isHealthy) {
        List<Long> outstanding = List.copyOf(recorder.probed);
        recorder.probed.clear();
        for (long endpoint : outstanding) {
            boolean healthy = isHealthy.test(endpoint);
            balancer.onProbeEnded(
                    now,
                    endpoint,
                    healthy ? Outcome.OK : Outcome.TIMEOUT,
                    0,
                    healthy ? Site.load(1, 5) : null);
        }
    }

    /**
     * Sends requests at an interval, each served at once; returns how many were sent to each zone.
     */
    private int[] serveRequests(int requests, long interval) {
        int[] zones = new int[ZONES];
        for (int i = 0; i < requests; i++) {
            now += interval;
            recorder.sent.clear();
            long id = sendRequest(0);
            answerProbes(endpoint -> true);
            if (!recorder.sent.isEmpty()) {
                zones[zoneOf(0)]++;
                endAttempt(id, Outcome.OK);
            }
        }
        return zones;
    }

    private int zoneOf(int sent) {
        return (int) recorder.sent.get(sent).endpoint() / 10;
    }

    // ---- without shares ----

    /**
     * Without zone shares, a replica must do exactly what it did before there were any: all
     * actions, with every argument, are compared by digest. The digests are those of the build
     * before zone shares. Whoever changes decisions on purpose updates them here and states so.
     */
    @Test
    public void withoutSharesActionsMatchRecordedDigests() {
        long[] expectedDigests = {3871831610L, 4052922298L, 2420951006L, 1174658731L};
        for (int seed = 1; seed <= expectedDigests.length; seed++) {
            Steps steps = new Steps(seed);
            steps.run(5_000);
            assertEquals(steps.digest(), expectedDigests[seed - 1], "seed " + seed);
        }
    }

    /**
     * An empty share list must neither draw from the random source nor change the endpoint subset.
     */
    @Test
    public void emptyShareListChangesNothing() {
        for (int seed = 1; seed <= 3; seed++) {
            Steps withoutList = new Steps(seed);
            Steps withEmptyList = new Steps(seed);
            for (int i = 0; i < 100; i++) {
                withEmptyList.balancer.onZoneShares(withEmptyList.now, List.of());
                withoutList.run(30);
                withEmptyList.run(30);
                assertEquals(
                        withEmptyList.digest(),
                        withoutList.digest(),
                        "seed " + seed + ", step " + 30 * i);
            }
        }
    }

    @Test
    public void requestsReturnToOwnZoneAfterEmptyShareList() {
        setShares(share(2, 10_000));
        assertEquals(serveRequests(200, 10 * MS), new int[] {0, 0, 200});
        setShares();
        int[] zones = serveRequests(200, 10 * MS);
        assertTrue(zones[0] > 100 && zones[2] < 60, Arrays.toString(zones));
    }

    // ---- fractions ----

    @Test
    public void eachZoneReceivesItsFraction() {
        setShares(share(0, 9_900), share(1, 100));
        for (int window = 0; window < 10; window++) {
            int[] zones = serveRequests(1_000, 2 * MS);
            assertEquals(zones[1], 10, 2, "window " + window);
            assertEquals(zones[0] + zones[1], 1_000);
        }
        setShares(share(0, 2_500), share(1, 2_500), share(2, 5_000));
        int[] zones = serveRequests(1_000, 2 * MS);
        assertEquals(zones[0], 250, 3);
        assertEquals(zones[1], 250, 3);
    }

    /** Probes, connections and pool entries must not stay where nothing may be sent. */
    @Test
    public void probesAndConnectionsFollowSharesAtOnce() {
        serveRequests(300, 5 * MS);
        recorder.lines.clear();
        setShares(share(1, 10_000));
        int sentElsewhere = 0;
        for (int i = 0; i < 300; i++) {
            now += 5 * MS;
            long id = sendRequest(0);
            sentElsewhere += zoneOf(recorder.sent.size() - 1) == 1 ? 0 : 1;
            endAttempt(id, Outcome.OK);
            assertTrue(
                    recorder.probed.stream().allMatch(e -> e / 10 == 1),
                    recorder.probed.toString());
            answerProbes(endpoint -> true);
        }
        assertEquals(sentElsewhere, 0);
        assertTrue(
                recorder.lines.stream().filter(line -> line.matches("close \\d")).count() >= 6,
                recorder.lines.toString());
    }

    @Test
    public void lowestPriorityIsRejectedAtOnceWhenSharesAreUsedUp() {
        setShares(share(0, 7_000));
        int[] rejected = new int[2];
        endAttempt(
                sendRequest(2),
                Outcome.OK); // a class that was never served has the highest priority
        for (int i = 0; i < 2_000; i++) {
            now += 5 * MS;
            recorder.rejected.clear();
            long id = sendRequest(i % 2);
            rejected[i % 2] += recorder.rejected.size();
            if (recorder.rejected.isEmpty()) {
                endAttempt(id, Outcome.OK);
            }
        }
        assertEquals(rejected[1], 0);
        assertEquals(rejected[0], 600, 20);
    }

    // ---- unavailable zones ----

    @Test
    public void ownZoneThenOthersReplaceDrainingZone() {
        setShares(share(1, 5_000), share(2, 4_000), share(0, 1_000));
        balancer.onEndpoints(now, EndpointListKind.DELTA, zone(1, EndpointStatus.DRAINING));
        int[] zones = serveRequests(500, 5 * MS);
        assertEquals(zones[0], 300, 5, Arrays.toString(zones));
        assertEquals(zones[2], 200, 5, Arrays.toString(zones));
        balancer.onEndpoints(now, EndpointListKind.DELTA, zone(0, EndpointStatus.REMOVED));
        assertEquals(serveRequests(100, 5 * MS), new int[] {0, 0, 100});
    }

    @Test
    public void sharesOfZonesWithoutEndpointsAreIgnored() {
        setShares(share(9, 10_000));
        int[] zones = serveRequests(300, 5 * MS);
        assertEquals(zones[0] + zones[1] + zones[2], 300);
        assertTrue(zones[0] > 60 && zones[1] > 60, Arrays.toString(zones));
        assertTrue(recorder.lines.stream().filter(line -> line.startsWith("probe")).count() > 20);
        balancer.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(90, 9, 0, EndpointStatus.READY, 0)));
        long id = sendRequest(0);
        assertEquals(recorder.sent.get(recorder.sent.size() - 1), new Recorder.Sent(id, 90));
    }

    /** Overload of one zone must not spread to the next: its endpoints are full, but healthy. */
    @Test
    public void fullZoneDoesNotOverflowIntoOthers() {
        setShares(share(1, 10_000));
        for (int i = 0; i < 100; i++) {
            balancer.onRequest(
                    now, new Request(++lastRequest, 0, 0, now + SECOND, 0, false, false, 20 * MS));
        }
        assertEquals(
                recorder.sent.size(), ENDPOINTS_PER_ZONE * 4, "each serves at most four at once");
        assertTrue(recorder.sent.stream().allMatch(s -> s.endpoint() / 10 == 1));
        now += 100 * MS;
        List.copyOf(recorder.timers).forEach(timer -> balancer.onTimer(now, timer.token()));
        assertEquals(recorder.rejected.size(), 100 - ENDPOINTS_PER_ZONE * 4);
    }

    /** Shares must not keep requests in a zone that this replica itself finds unreachable. */
    @Test
    public void unreachableZoneIsAvoidedBeforeSharesChange() {
        setShares(share(1, 10_000));
        int lost = 0;
        for (int i = 0; i < 100; i++) {
            now += 5 * MS;
            answerProbes(endpoint -> endpoint / 10 != 1);
            long id = sendRequest(0);
            for (int tries = 0;
                    zoneOf(recorder.sent.size() - 1) == 1 && recorder.rejected.isEmpty();
                    tries++) {
                assertTrue(tries < 4);
                endAttempt(id, Outcome.CONNECT_FAILED);
            }
            lost += recorder.rejected.size();
            if (recorder.rejected.isEmpty()) {
                endAttempt(id, Outcome.OK);
            }
            recorder.rejected.clear();
        }
        assertTrue(lost <= 3, "rejected requests: " + lost);
    }

    /**
     * The same where no response arrives at all: probes reveal it before requests reach their
     * deadlines.
     */
    @Test
    public void unresponsiveZoneIsAvoidedOnceProbesFail() {
        setShares(share(1, 10_000));
        List<Long> sentToZone = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            now += 5 * MS;
            long id = sendRequest(0);
            if (zoneOf(recorder.sent.size() - 1) == 1) {
                sentToZone.add(id);
            } else {
                endAttempt(id, Outcome.OK);
            }
            if (i % 10 == 9) {
                answerProbes(endpoint -> endpoint / 10 != 1);
            }
        }
        assertTrue(sentToZone.size() < 60, "requests sent to the unresponsive zone: " + sentToZone);
        now += SECOND;
        sentToZone.forEach(id -> endAttempt(id, Outcome.TIMEOUT));
        serveRequests(200, 20 * MS);
        assertEquals(serveRequests(100, 10 * MS)[1], 100, "the zone is used again");
    }

    // ---- rate limits ----

    @Test
    public void requestsAboveRateLimitGoToNextZone() {
        balancer.onZoneShares(now, List.of(new ZoneTrafficShare(1, 9_000, 50), share(2, 1_000)));
        int[] zones = serveRequests(2_000, 5 * MS);
        assertEquals(zones[1], 50 * 10 + 15, 10);
        assertEquals(zones[2], 2_000 - zones[1]);
    }

    /** The rate limit of a zone must hold even when the other zones are full. */
    @Test
    public void rateLimitHoldsWhenOtherZonesAreFull() {
        balancer.onZoneShares(now, List.of(new ZoneTrafficShare(1, 5_000, 2), share(2, 5_000)));
        for (int i = 0; i < 100; i++) {
            balancer.onRequest(
                    now, new Request(++lastRequest, 0, 0, now + SECOND, 0, false, false, 20 * MS));
        }
        assertEquals(recorder.sent.stream().filter(sent -> sent.endpoint() / 10 == 1).count(), 1);
        assertEquals(
                recorder.sent.size(),
                1 + ENDPOINTS_PER_ZONE * 4,
                "each serves at most four at once");
    }

    /**
     * Requests must not wait for a rate limit: excess ones are rejected at once, and none that may
     * run is rejected.
     */
    @Test
    public void requestsAboveAllRateLimitsAreRejectedAtOnce() {
        int served = 0;
        for (int i = 0; i < 2_000; i++) {
            if (i % 100 == 0) { // replaced under load, without a fresh burst allowance
                balancer.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 50)));
            }
            now += 5 * MS;
            recorder.sent.clear();
            recorder.rejected.clear();
            long id = sendRequest(0);
            assertEquals(recorder.sent.size() + recorder.rejected.size(), 1, "request " + i);
            served += recorder.sent.size();
            if (!recorder.sent.isEmpty()) {
                endAttempt(id, Outcome.OK);
            }
        }
        assertEquals(served, 50 * 10 + 15, 10);
    }

    @Test
    public void retriesCountTowardsRateLimit() {
        balancer.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 2)));
        endAttempt(sendRequest(0), Outcome.REJECTED);
        assertEquals(recorder.sent.size(), 1, "no second attempt within half a second");
        assertEquals(recorder.rejected.size(), 1);
        now += SECOND;
        balancer.onZoneShares(now, List.of(new ZoneTrafficShare(1, 10_000, 10)));
        int sends = 0;
        for (int i = 0; i < 200; i++) {
            now += 50 * MS;
            recorder.sent.clear();
            long id = sendRequest(0);
            for (int attempt = 0; attempt < recorder.sent.size(); attempt++) {
                sends++;
                balancer.onAttemptEnded(
                        now,
                        id,
                        attempt,
                        recorder.sent.get(attempt).endpoint(),
                        Outcome.REJECTED,
                        MS,
                        false,
                        null);
            }
        }
        assertTrue(sends <= 10 * 10 + 5 + 1, "attempts sent: " + sends);
    }

    // ---- idempotency takes precedence ----

    @Test
    public void retryFollowsKeyScopeFirstAndThenShares() {
        setShares(share(1, 10_000));
        long keyed = sendRequest(2);
        long safe = sendRequest(0);
        setShares(share(2, 10_000));
        endAttempt(keyed, Outcome.ERROR);
        assertEquals(zoneOf(2), 1, "its key is known only in that zone");
        endAttempt(safe, Outcome.ERROR);
        assertEquals(zoneOf(3), 2);
    }

    // ---- invalid shares ----

    @Test
    public void invalidSharesAreNamedAndFormerSharesRemain() {
        setShares(share(2, 10_000));
        assertThrows(
                IllegalArgumentException.class, () -> setShares(share(1, 6_000), share(0, 6_000)));
        assertThrows(IllegalArgumentException.class, () -> setShares(share(1, 10), share(1, 10)));
        assertEquals(serveRequests(20, 5 * MS)[2], 20);
        for (int[] bad :
                new int[][] {{-1, 1, 0}, {64, 1, 0}, {0, 0, 0}, {0, 10_001, 0}, {0, 1, -1}}) {
            String message = "";
            try {
                new ZoneTrafficShare(bad[0], bad[1], bad[2]);
            } catch (IllegalArgumentException e) {
                message = e.getMessage();
            }
            assertTrue(
                    message.matches("share\\.\\w+: found -?\\d+; allowed: \\d+ to \\d+"), message);
        }
    }

    /** An invalid list of shares must not take effect where there was none before. */
    @Test
    public void invalidFirstSharesLimitNothing() {
        assertThrows(
                IllegalArgumentException.class, () -> setShares(share(1, 6_000), share(2, 6_000)));
        assertTrue(serveRequests(100, 5 * MS)[0] > 20);
    }
}
