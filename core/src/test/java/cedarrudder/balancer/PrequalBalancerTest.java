package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the rule checks of the balancer and its response to failures. */
class PrequalBalancerTest {
    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;

    private final Site site = new Site();
    private final Recorder recorder = new Recorder();
    private long now = 100 * SECOND;

    private PrequalBalancer start(Endpoint... endpoints) {
        PrequalBalancer balancer =
                new PrequalBalancer(site.settings(), new SplittableRandom(7), recorder);
        balancer.onEndpoints(now, EndpointListKind.CACHED, List.of(endpoints));
        return balancer;
    }

    private PrequalBalancer startWith(RequestClass requestClass, Endpoint... endpoints) {
        site.classes = List.of(requestClass);
        return start(endpoints);
    }

    private void sendRequest(PrequalBalancer balancer, long id) {
        balancer.onRequest(now, new Request(id, 0, 0, now + SECOND, 0, false, false, 0));
    }

    private void endAttempt(PrequalBalancer balancer, long id, int attempt, Outcome outcome) {
        long endpoint =
                recorder.sent.stream()
                        .filter(s -> s.request() == id)
                        .skip(attempt)
                        .findFirst()
                        .orElseThrow()
                        .endpoint();
        balancer.onAttemptEnded(
                now, id, attempt, endpoint, outcome, MS, outcome == Outcome.OK, null);
    }

    private static final Endpoint[] THREE = {Site.ready(1), Site.ready(2), Site.ready(3)};

    // ---- hedged requests ----

    /**
     * Starts a balancer that has received twenty responses after 10 ms each for work of 20 ms, and
     * then sends one request that is not answered.
     */
    private PrequalBalancer startWithOverdueRequest(
            RequestClass requestClass, Endpoint... endpoints) {
        PrequalBalancer balancer = startWith(requestClass, endpoints);
        for (int id = 1; id <= 21; id++) {
            balancer.onRequest(now, new Request(id, 0, 0, now + SECOND, 0, false, false, 20 * MS));
            if (id <= 20) {
                balancer.onAttemptEnded(
                        now,
                        id,
                        0,
                        recorder.sent.get(id - 1).endpoint(),
                        Outcome.OK,
                        10 * MS,
                        true,
                        null);
            }
        }
        return balancer;
    }

    private void fireTimers(PrequalBalancer balancer) {
        for (Recorder.Timer timer : List.copyOf(recorder.timers)) {
            now = Math.max(now, timer.at());
            balancer.onTimer(timer.at(), timer.token());
        }
    }

    @Test
    void sendsHedgedRequestWhenResponseIsLateForItsWork() {
        PrequalBalancer balancer = startWithOverdueRequest(Site.SAFE, THREE);
        assertEquals(now + 30 * MS, recorder.timers.get(recorder.timers.size() - 1).at());
        fireTimers(balancer);
        assertEquals(22, recorder.sent.size());
        assertNotEquals(recorder.sent.get(20).endpoint(), recorder.sent.get(21).endpoint());
        endAttempt(balancer, 21, 1, Outcome.OK);
        assertTrue(recorder.lines.contains("cancel 21 0"));
    }

    @Test
    void sendsNoHedgedRequestForUnsafeClassOrOutsideCell() {
        fireTimers(startWithOverdueRequest(Site.UNSAFE, THREE));
        assertEquals(21, recorder.sent.size());
        recorder.clear();
        fireTimers(
                startWithOverdueRequest(
                        Site.KEYED_IN_CELL,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0)));
        assertEquals(21, recorder.sent.size());
    }

    /** Guards against waiting for the rest of a response that may never come. */
    @Test
    void sendsHedgedRequestBesideAPausedResponseWhereTheClassAllowsIt() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onResponsePaused(now, 1, 0);
        balancer.onResponsePaused(now, 1, 0);
        assertEquals(2, recorder.sent.size());
        recorder.clear();
        balancer = startWith(Site.UNSAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onResponsePaused(now, 1, 0);
        assertEquals(1, recorder.sent.size());
    }

    /** Guards against an endpoint whose responses never end and that gets more and more of them. */
    @Test
    void endpointWhosePausedResponsesAreOvertakenIsAvoided() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        long pausing = 1;
        for (int id = 1; id <= 60; id++) {
            sendRequest(balancer, id);
            int first = recorder.sent.size() - 1;
            if (recorder.sent.get(first).endpoint() != pausing) {
                endAttempt(balancer, id, 0, Outcome.OK);
                continue;
            }
            balancer.onResponsePaused(now, id, 0);
            endAttempt(balancer, id, 1, Outcome.OK);
            endAttempt(balancer, id, 0, Outcome.CANCELLED);
        }
        assertEquals(1, balancer.avoidedEndpoints(now));
    }

    @Test
    void rejectionCarriesRetryAfter() {
        PrequalBalancer balancer = startWithOverdueRequest(Site.SAFE, THREE);
        balancer.onRequest(now, new Request(22, 0, 0, now, 0, false, false, 0));
        assertEquals(List.of(10 * MS), recorder.retryAfters);
    }

    /**
     * A retry must not be abandoned because random selection missed the few endpoints that may
     * receive it: a cell has some, however long the list is.
     */
    @Test
    void retriesInSameCellOfLongEndpointList() {
        Endpoint[] many =
                IntStream.rangeClosed(1, 103)
                        .mapToObj(id -> Site.endpoint(id, 0, id / 4, EndpointStatus.READY, 0))
                        .toArray(Endpoint[]::new);
        int repeated = 0;
        for (int seed = 1; seed <= 100; seed++) {
            recorder.clear();
            site.classes = List.of(Site.KEYED_IN_CELL);
            PrequalBalancer balancer =
                    new PrequalBalancer(site.settings(), new SplittableRandom(seed), recorder);
            balancer.onEndpoints(now, EndpointListKind.CACHED, List.of(many));
            sendRequest(balancer, 1);
            now += 50 * MS; // longer than it may wait in the queue
            endAttempt(balancer, 1, 0, Outcome.ERROR);
            repeated += recorder.sent.size() - 1;
        }
        assertEquals(100, repeated);
    }

    // ---- no request is lost ----

    @Test
    void failsRequestWhenAttemptTimesOutAtDeadline() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        now += SECOND;
        endAttempt(balancer, 1, 0, Outcome.TIMEOUT);
        assertEquals(List.of(1L), recorder.failed);
        assertEquals(1, recorder.sent.size());
    }

    /** At its deadline, a request that never ran must not get an answer that forbids a retry. */
    @Test
    void rejectsAtDeadlineWhenNoAttemptCanHaveRun() {
        PrequalBalancer balancer = startWithOverdueRequest(Site.KEYED_IN_CELL, THREE);
        fireTimers(balancer);
        assertEquals(22, recorder.sent.size(), "a hedged request was sent");
        now += SECOND;
        endAttempt(balancer, 21, 0, Outcome.CONNECT_FAILED);
        assertTrue(
                recorder.rejected.isEmpty() && recorder.failed.isEmpty(),
                "the other attempt may have run");
        endAttempt(balancer, 21, 1, Outcome.CONNECT_FAILED);
        assertEquals(List.of(21L), recorder.rejected);
    }

    @Test
    void failsAtDeadlineWhenOneAttemptMayHaveRun() {
        PrequalBalancer balancer = startWithOverdueRequest(Site.KEYED_IN_CELL, THREE);
        fireTimers(balancer);
        now += SECOND;
        endAttempt(balancer, 21, 0, Outcome.TIMEOUT);
        endAttempt(balancer, 21, 1, Outcome.CONNECT_FAILED);
        assertEquals(List.of(21L), recorder.failed);
    }

    @Test
    void rejectsAtOnceRequestPastItsDeadline() {
        PrequalBalancer balancer = startWith(Site.UNSAFE, THREE);
        balancer.onRequest(now, new Request(1, 0, 0, now, 0, false, false, 0));
        assertEquals(List.of(1L), recorder.rejected);
        assertTrue(recorder.sent.isEmpty());
    }

    /** A request for which nothing may be sent any more must not wait for an endpoint. */
    @Test
    void endsAtOnceRequestThatMayNotBeRetried() {
        for (RequestClass requestClass : List.of(Site.SAFE, Site.KEYED_IN_CELL, Site.UNSAFE)) {
            recorder.clear();
            PrequalBalancer balancer = startWith(requestClass, Site.ready(1), Site.ready(2));
            sendRequest(balancer, 1);
            endAttempt(
                    balancer, 1, 0, requestClass == Site.UNSAFE ? Outcome.REJECTED : Outcome.RESET);
            endAttempt(balancer, 1, 1, Outcome.NOT_STARTED);
            assertEquals(2, recorder.sent.size(), requestClass.name());
            assertEquals(
                    requestClass == Site.KEYED_IN_CELL ? List.of(1L) : List.of(),
                    recorder.failed,
                    requestClass.name());
            assertEquals(
                    requestClass == Site.KEYED_IN_CELL ? List.of() : List.of(1L),
                    recorder.rejected,
                    requestClass.name());
        }
    }

    @Test
    void rejectsUnsentByAdmissionHint() {
        PrequalBalancer balancer = startWith(Site.UNSAFE, THREE);
        long id = 0;
        for (LoadBalancer.AdmissionHint hint : LoadBalancer.AdmissionHint.values()) {
            balancer.onRequest(
                    now, new Request(++id, 0, 0, now + SECOND, 0, false, false, 0), hint);
        }
        assertEquals(List.of(2L, 3L, 4L), recorder.rejected);
        assertEquals(1, recorder.sent.size());
    }

    @Test
    void queuesRequestWithoutEndpointAndRejectsItInTime() {
        PrequalBalancer balancer = startWith(Site.UNSAFE);
        sendRequest(balancer, 1);
        assertTrue(recorder.rejected.isEmpty(), "queued at first");
        for (int i = 0; i < 20 && recorder.rejected.isEmpty(); i++) {
            Recorder.Timer next = recorder.timers.get(recorder.timers.size() - 1);
            now = next.at();
            balancer.onTimer(now, next.token());
        }
        assertEquals(List.of(1L), recorder.rejected);
        assertTrue(now < 100 * SECOND + 200 * MS, "before its latency objective");
    }

    @Test
    void sendsQueuedRequestOnceEndpointIsListed() {
        PrequalBalancer balancer = startWith(Site.UNSAFE);
        sendRequest(balancer, 1);
        Recorder.Timer queueTimer = recorder.timers.get(recorder.timers.size() - 1);
        balancer.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(5)));
        now = queueTimer.at();
        balancer.onTimer(now, queueTimer.token());
        assertEquals(List.of(new Recorder.Sent(1, 5)), recorder.sent);
    }

    @Test
    void ignoresEventsAfterRequestEnded() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        endAttempt(balancer, 1, 0, Outcome.OK);
        recorder.lines.clear();
        balancer.onClientLeft(now, 1);
        balancer.onAttemptEnded(now, 1, 0, 1, Outcome.OK, MS, true, null);
        balancer.onAttemptEnded(now, 99, 0, 1, Outcome.OK, MS, true, null);
        balancer.onProbeEnded(now, 99, Outcome.OK, MS, Site.load(1, 1));
        assertEquals(List.of(), recorder.lines);
    }

    @Test
    void cancelsAttemptWhenClientLeaves() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onClientLeft(now, 1);
        assertTrue(recorder.lines.contains("cancel 1 0"));
        recorder.lines.clear();
        endAttempt(balancer, 1, 0, Outcome.CANCELLED);
        assertTrue(
                recorder.failed.isEmpty()
                        && recorder.rejected.isEmpty()
                        && recorder.sent.size() == 1);
    }

    @Test
    void cancelsNothingWhereCancellationIsDisabled() {
        site.cancel = false;
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onClientLeft(now, 1);
        assertFalse(recorder.lines.contains("cancel 1 0"));
    }

    @Test
    void neitherRetriesNorRejectsOnceResponseHasStarted() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onFirstByte(now, 1, 0, recorder.sent.get(0).endpoint(), MS);
        now += 2 * SECOND;
        endAttempt(balancer, 1, 0, Outcome.RESET);
        assertTrue(
                recorder.failed.isEmpty()
                        && recorder.rejected.isEmpty()
                        && recorder.sent.size() == 1);
    }

    // ---- nothing runs twice ----

    @Test
    void neverRetriesOrRejectsUnsafeRequestThatMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)) {
            recorder.clear();
            PrequalBalancer balancer = startWith(Site.UNSAFE, THREE);
            sendRequest(balancer, 1);
            endAttempt(balancer, 1, 0, outcome);
            assertEquals(1, recorder.sent.size(), outcome.name());
            assertEquals(List.of(1L), recorder.failed, outcome.name());
        }
    }

    @Test
    void retriesUnsafeRequestProvedNotToHaveRun() {
        for (Outcome outcome : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            recorder.clear();
            PrequalBalancer balancer = startWith(Site.UNSAFE, THREE);
            sendRequest(balancer, 1);
            endAttempt(balancer, 1, 0, outcome);
            assertEquals(2, recorder.sent.size(), outcome.name());
            assertNotEquals(recorder.sent.get(0).endpoint(), recorder.sent.get(1).endpoint());
        }
    }

    @Test
    void neverExceedsMaxAttempts() {
        site.maxAttempts = 2;
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        endAttempt(balancer, 1, 0, Outcome.REJECTED);
        endAttempt(balancer, 1, 1, Outcome.REJECTED);
        now += SECOND / 2;
        List.copyOf(recorder.timers).forEach(t -> balancer.onTimer(now, t.token()));
        assertEquals(2, recorder.sent.size());
        assertEquals(List.of(1L), recorder.rejected);
    }

    @Test
    void retriesKeyedRequestWithinItsCellOnly() {
        PrequalBalancer balancer =
                startWith(
                        Site.KEYED_IN_CELL,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0));
        sendRequest(balancer, 1);
        endAttempt(balancer, 1, 0, Outcome.ERROR);
        now += SECOND / 2;
        List.copyOf(recorder.timers).forEach(t -> balancer.onTimer(now, t.token()));
        assertEquals(1, recorder.sent.size());
        assertEquals(
                List.of(1L),
                recorder.failed,
                "a rejection would permit a retry outside the cell, which alone knows the key");
    }

    /**
     * A retry must not follow the endpoint of the first attempt to the cell that it has moved to
     * since.
     */
    @Test
    void retriesOnlyInCellWhereFirstAttemptRan() {
        PrequalBalancer balancer =
                startWith(Site.KEYED_IN_CELL, Site.endpoint(1, 0, 1, EndpointStatus.READY, 0));
        sendRequest(balancer, 1);
        balancer.onEndpoints(
                now,
                EndpointListKind.FULL,
                List.of(
                        Site.endpoint(1, 0, 2, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0)));
        endAttempt(balancer, 1, 0, Outcome.ERROR);
        now += SECOND / 2;
        List.copyOf(recorder.timers).forEach(t -> balancer.onTimer(now, t.token()));
        assertEquals(1, recorder.sent.size());
        assertEquals(List.of(1L), recorder.failed);
    }

    @Test
    void retriesKeyedRequestWithinItsZoneOnly() {
        PrequalBalancer balancer =
                startWith(
                        Site.KEYED_IN_ZONE,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0),
                        Site.endpoint(3, 1, 2, EndpointStatus.READY, 0));
        for (int id = 1; id <= 20; id++) {
            sendRequest(balancer, id);
            endAttempt(balancer, id, 0, Outcome.ERROR);
            long zoneOne = recorder.sent.stream().filter(s -> s.endpoint() == 3).count();
            boolean mixed = zoneOne > 0 && zoneOne < recorder.sent.size();
            assertFalse(mixed, recorder.sent.toString());
            recorder.clear();
            now += 10 * MS;
        }
    }

    @Test
    void retriesKeyedRequestOnlyWithinKeyWindow() {
        PrequalBalancer balancer = startWith(Site.KEYED, THREE);
        sendRequest(balancer, 1);
        now += 500 * MS;
        endAttempt(balancer, 1, 0, Outcome.ERROR);
        assertEquals(1, recorder.sent.size());
        assertEquals(List.of(1L), recorder.rejected, "all endpoints deduplicate its retries");
    }

    // ---- draining ----

    @Test
    void sendsNothingToEndpointReportedAsDraining() {
        PrequalBalancer balancer = startWith(Site.SAFE, Site.ready(1), Site.ready(2));
        sendRequest(balancer, 100);
        for (long probe : List.copyOf(recorder.probed)) {
            balancer.onProbeEnded(now, probe, Outcome.OK, 0, Site.load(0, 1));
        }
        balancer.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)));
        recorder.clear();
        for (int id = 1; id <= 50; id++) {
            sendRequest(balancer, id);
        }
        assertTrue(
                recorder.sent.stream().allMatch(s -> s.endpoint() == 2), recorder.sent.toString());
    }

    @Test
    void treatsEndpointMissingFromFullListAsRemoved() {
        PrequalBalancer balancer = startWith(Site.SAFE, Site.ready(1), Site.ready(2));
        balancer.onEndpoints(now, EndpointListKind.FULL, List.of(Site.ready(2)));
        for (int id = 1; id <= 50; id++) {
            sendRequest(balancer, id);
        }
        assertTrue(
                recorder.sent.stream().allMatch(s -> s.endpoint() == 2), recorder.sent.toString());
    }

    // ---- attempts that were sent but not started ----

    /** An attempt whose connection opened late must not start where nothing new may be sent. */
    @Test
    void deniesStartOnEndpointThatBecameUnavailable() {
        List<List<Endpoint>> lists =
                List.of(
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)),
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.REMOVED, 0)),
                        List.of(Site.ready(2)),
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.READY, now)));
        for (List<Endpoint> list : lists) {
            recorder.clear();
            PrequalBalancer balancer = startWith(Site.UNSAFE, Site.ready(1));
            sendRequest(balancer, 1);
            assertNull(balancer.startDenial(now, 1, 0));
            boolean full = list.get(0).id() != 1;
            balancer.onEndpoints(now, full ? EndpointListKind.FULL : EndpointListKind.DELTA, list);
            assertEquals(Outcome.CONNECT_FAILED, balancer.startDenial(now, 1, 0), list.toString());
            balancer.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(3)));
            endAttempt(balancer, 1, 0, Outcome.CONNECT_FAILED);
            assertEquals(2, recorder.sent.size(), "another endpoint receives it");
        }
    }

    /**
     * A retry of a request that may have run must not start after endpoints have forgotten its key.
     */
    @Test
    void deniesRetryNotStartedWithinKeyWindow() {
        for (RequestClass requestClass : List.of(Site.KEYED, Site.KEYED_IN_CELL, Site.SAFE)) {
            recorder.clear();
            PrequalBalancer balancer = startWith(requestClass, THREE);
            sendRequest(balancer, 1);
            endAttempt(balancer, 1, 0, Outcome.RESET);
            assertEquals(2, recorder.sent.size());
            now += 500 * MS - 1;
            assertNull(balancer.startDenial(now, 1, 1));
            now += 1;
            if (requestClass == Site.SAFE) {
                assertNull(
                        balancer.startDenial(now, 1, 1),
                        "a safe request may run any number of times");
                continue;
            }
            assertEquals(Outcome.NOT_STARTED, balancer.startDenial(now, 1, 1));
            endAttempt(balancer, 1, 1, Outcome.NOT_STARTED);
            assertEquals(requestClass == Site.KEYED ? List.of(1L) : List.of(), recorder.rejected);
            assertEquals(requestClass == Site.KEYED ? List.of() : List.of(1L), recorder.failed);
        }
    }

    /** The first attempt may start last if its connection is the slowest to open. */
    @Test
    void deniesFirstAttemptAfterKeyWindowOfHedgedRequest() {
        PrequalBalancer balancer = startWithOverdueRequest(Site.KEYED, THREE);
        fireTimers(balancer);
        assertEquals(22, recorder.sent.size(), "a hedged request was sent");
        assertNull(balancer.startDenial(now, 21, 0));
        now += 500 * MS;
        assertEquals(Outcome.NOT_STARTED, balancer.startDenial(now, 21, 0));
    }

    @Test
    void deniesStartOfEndedOrUnknownAttempts() {
        site.cancel = false;
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        balancer.onClientLeft(now, 1);
        assertEquals(Outcome.NOT_STARTED, balancer.startDenial(now, 1, 0));
        assertEquals(Outcome.NOT_STARTED, balancer.startDenial(now, 1, 1));
        assertEquals(Outcome.NOT_STARTED, balancer.startDenial(now, 9, 0));
    }

    /** A queued request must not be sent to an endpoint after its client has left. */
    @Test
    void sendsNothingForQueuedRequestWhoseClientLeft() {
        PrequalBalancer balancer = startWith(Site.UNSAFE);
        sendRequest(balancer, 1);
        sendRequest(balancer, 2);
        balancer.onClientLeft(now, 1);
        balancer.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(5)));
        fireTimers(balancer);
        assertEquals(List.of(new Recorder.Sent(2, 5)), recorder.sent);
        assertTrue(recorder.rejected.isEmpty() && recorder.failed.isEmpty());
    }

    @Test
    void sendsNoHedgedRequestAfterClientLeft() {
        site.cancel = false;
        PrequalBalancer balancer = startWithOverdueRequest(Site.SAFE, THREE);
        balancer.onClientLeft(now, 21);
        fireTimers(balancer);
        endAttempt(balancer, 21, 0, Outcome.RESET);
        assertEquals(21, recorder.sent.size());
    }

    /** When one endpoint drains, the idle connections to all others must stay open. */
    @Test
    void keepsOtherIdleConnectionsWhenOneEndpointDrains() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        long drainingEndpoint = recorder.sent.get(0).endpoint();
        balancer.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(drainingEndpoint, 0, 0, EndpointStatus.DRAINING, 0)));
        endAttempt(balancer, 1, 0, Outcome.CONNECT_FAILED);
        endAttempt(balancer, 1, 1, Outcome.OK);
        sendRequest(balancer, 2);
        endAttempt(balancer, 2, 0, Outcome.OK);
        assertFalse(
                recorder.lines.contains("close " + recorder.sent.get(2).endpoint()),
                recorder.lines.toString());
    }

    // ---- endpoint list ----

    @Test
    void pollsEndpointsWithBackoffAfterEachFailure() {
        site.pollsEndpoints = true;
        PrequalBalancer balancer = start();
        Recorder.Timer first = recorder.timers.get(recorder.timers.size() - 1);
        assertTrue(first.at() - now <= 4 * SECOND + 1);
        balancer.onTimer(first.at(), first.token());
        assertTrue(recorder.lines.contains("subscribe true"));
        long wait = 0;
        for (int i = 0; i < 4; i++) {
            recorder.clear();
            balancer.onEndpointsUnavailable(now);
            long next = recorder.timers.get(0).at() - now;
            assertTrue(next > wait / 3, "backs off");
            wait = next;
        }
        assertTrue(wait >= 4 * SECOND);
    }

    @Test
    void keepsEndpointListWhenPollFails() {
        site.pollsEndpoints = true;
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        balancer.onEndpointsUnavailable(now);
        sendRequest(balancer, 1);
        assertEquals(1, recorder.sent.size());
    }

    // ---- disabled by settings ----

    @Test
    void probesNothingWhereProbesAreDisabled() {
        site.probes = false;
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        for (int id = 1; id <= 12; id++) {
            sendRequest(balancer, id);
        }
        balancer.onTimer(now + 5 * SECOND, 0);
        assertTrue(recorder.probed.isEmpty());
        assertEquals(12, recorder.sent.size());
    }

    @Test
    void sendsNoSecondAttemptWhileFirstIsInFlight() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        sendRequest(balancer, 1);
        now += 900 * MS;
        List.copyOf(recorder.timers).forEach(t -> balancer.onTimer(now, t.token()));
        assertEquals(1, recorder.sent.size());
    }

    // ---- failures ----

    @Test
    void limitsRetriesToRetryBudget() {
        PrequalBalancer balancer = startWith(Site.SAFE, THREE);
        for (int id = 1; id <= 200; id++) {
            sendRequest(balancer, id);
            endAttempt(balancer, id, 0, Outcome.ERROR);
            int requestId = id;
            if (recorder.sent.stream().filter(s -> s.request() == requestId).count() > 1) {
                endAttempt(balancer, id, 1, Outcome.ERROR);
            }
            now += 10 * MS;
        }
        assertTrue(
                recorder.sent.size() < 260,
                "a tier that fails completely receives few retries: " + recorder.sent.size());
    }

    @Test
    void avoidsEndpointThatMostlyFails() {
        PrequalBalancer balancer = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        int toFailing = 0;
        for (int id = 1; id <= 200; id++) {
            sendRequest(balancer, id);
            for (long probe : List.copyOf(recorder.probed)) {
                balancer.onProbeEnded(
                        now,
                        probe,
                        Outcome.OK,
                        0,
                        Site.load(probe == 1 ? 0 : 3, probe == 1 ? 1 : 20));
            }
            recorder.probed.clear();
            boolean failing = recorder.sent.get(recorder.sent.size() - 1).endpoint() == 1;
            toFailing += failing ? 1 : 0;
            endAttempt(balancer, id, 0, failing ? Outcome.ERROR : Outcome.OK);
            now += 10 * MS;
        }
        assertTrue(
                toFailing < 40, "requests sent to the failing endpoint: " + toFailing + " of 200");
    }

    @Test
    void avoidsUnresponsiveEndpointThatStillAnswersProbes() {
        PrequalBalancer balancer = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        int toSilent = 0;
        for (int id = 1; id <= 200; id++) {
            sendRequest(balancer, id);
            for (long probe : List.copyOf(recorder.probed)) {
                balancer.onProbeEnded(now, probe, Outcome.OK, 0, Site.load(0, probe == 1 ? 1 : 5));
            }
            recorder.probed.clear();
            now += 5 * MS;
            if (recorder.sent.get(recorder.sent.size() - 1).endpoint() == 1) {
                toSilent++;
            } else {
                endAttempt(balancer, id, 0, Outcome.OK);
            }
        }
        assertTrue(
                toSilent < 40,
                "requests sent to the unresponsive endpoint: " + toSilent + " of 200");
    }

    @Test
    void sendsNothingToEndpointOutOfConnections() {
        PrequalBalancer balancer = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        sendRequest(balancer, 1);
        long outOfConnections = recorder.sent.get(0).endpoint();
        endAttempt(balancer, 1, 0, Outcome.CONNECT_FAILED);
        recorder.clear();
        for (int id = 2; id <= 20; id++) {
            sendRequest(balancer, id);
        }
        assertTrue(recorder.sent.stream().noneMatch(s -> s.endpoint() == outOfConnections));
    }

    // ---- overload ----

    @Test
    void rejectsAtFirstTierWhenResponsesAreTooLate() {
        site.tiers = 2;
        assertTrue(rejectedUnderOverload() > 50);
    }

    @Test
    void rejectsFewUnderLightLoadWithSomeSlowResponses() {
        RequestClass highPriority = Site.UNSAFE;
        RequestClass lowPriority =
                new RequestClass(
                        "little",
                        highPriority.idempotency(),
                        highPriority.keyScope(),
                        highPriority.latencyObjectiveNanos(),
                        highPriority.deadlineNanos(),
                        highPriority.priorityWeight() / 10,
                        0,
                        0,
                        false);
        site.classes = List.of(lowPriority, highPriority);
        PrequalBalancer balancer = start(THREE);
        for (int id = 1; id <= 500; id++) {
            balancer.onRequest(now, new Request(id, id % 2, 0, now + SECOND, 0, false, false, 0));
            now += 20 * MS;
            int quick = id - 3;
            if (quick > 0 && quick % 20 != 0 && !recorder.rejected.contains((long) quick)) {
                endAttempt(balancer, quick, 0, Outcome.OK);
            }
            int slow = id - 9;
            if (slow > 0 && slow % 20 == 0 && !recorder.rejected.contains((long) slow)) {
                endAttempt(balancer, slow, 0, Outcome.OK);
            }
        }
        assertTrue(
                recorder.rejected.size() < 60, "rejected: " + recorder.rejected.size() + " of 500");
    }

    /**
     * The limit must not fall to one request where responses are slow for another reason than too
     * many of them: endpoints may always serve four at once, of which a third are for this replica.
     */
    @Test
    void rejectsNothingWithinMinimumConcurrencyOfEndpoints() {
        site.replicas = 3;
        PrequalBalancer balancer = startWith(Site.UNSAFE, THREE);
        for (int id = 1; id <= 400; id++) {
            sendRequest(balancer, id);
            now += 300 * MS;
            if (id > 3) {
                endAttempt(
                        balancer,
                        id - 3,
                        0,
                        Outcome.OK); // 0.9 s after its arrival, with a latency objective of 1 s
            }
        }
        assertEquals(recorder.rejected, List.of());
    }

    @Test
    void rejectsNothingAtLaterTiers() {
        site.tiers = 2;
        site.tier = 1;
        assertEquals(0, rejectedUnderOverload());
    }

    private int rejectedUnderOverload() {
        return overload(startWith(Site.SAFE, THREE))[0];
    }

    /**
     * Sends 200 requests per second of two tenants to a service that answers 100 per second;
     * returns the number of rejected requests by tenant.
     */
    private int[] overload(PrequalBalancer balancer) {
        int[] rejected = new int[2];
        for (int id = 1; id <= 1000; id++) {
            recorder.rejected.clear();
            balancer.onRequest(now, new Request(id, 0, id % 2, now + SECOND, 0, false, false, 0));
            rejected[id % 2] += recorder.rejected.size();
            now += 5 * MS;
            if (id % 2 == 0 && !recorder.sent.isEmpty()) {
                Recorder.Sent first = recorder.sent.remove(0);
                balancer.onAttemptEnded(
                        now, first.request(), 0, first.endpoint(), Outcome.OK, 5 * MS, true, null);
            }
        }
        return rejected;
    }

    @Test
    void countsOnlyRequestsAboveTenantQuotaAsOver() {
        site.tenants = List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 1000));
        int[] rejected = overload(startWith(Site.SAFE, THREE));
        assertTrue(
                rejected[0] > 3 * rejected[1] / 2,
                rejected[0] + " rejected above the quota, " + rejected[1] + " within");
        assertTrue(rejected[0] < 480, "requests within the quota are served");
    }
}
