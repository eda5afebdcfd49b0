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

/** Each rule's gate, and each failure that an exception answers. */
class PrequalBalancerTest {
    private static final long MS = Site.MS;
    private static final long SECOND = Site.SECOND;

    private final Site site = new Site();
    private final Recorder did = new Recorder();
    private long now = 100 * SECOND;

    private PrequalBalancer start(Endpoint... endpoints) {
        PrequalBalancer decide = new PrequalBalancer(site.settings(), new SplittableRandom(7), did);
        decide.onEndpoints(now, EndpointListKind.CACHED, List.of(endpoints));
        return decide;
    }

    private PrequalBalancer startWith(RequestClass kind, Endpoint... endpoints) {
        site.classes = List.of(kind);
        return start(endpoints);
    }

    private void ask(PrequalBalancer decide, long id) {
        decide.onRequest(now, new Request(id, 0, 0, now + SECOND, 0, false, false, 0));
    }

    private void end(PrequalBalancer decide, long id, int attempt, Outcome outcome) {
        long endpoint =
                did.sent.stream()
                        .filter(s -> s.request() == id)
                        .skip(attempt)
                        .findFirst()
                        .orElseThrow()
                        .endpoint();
        decide.onAttemptEnded(now, id, attempt, endpoint, outcome, MS, outcome == Outcome.OK, null);
    }

    private static final Endpoint[] THREE = {Site.ready(1), Site.ready(2), Site.ready(3)};

    // ---- hedged requests ----

    /** Twenty answers of 10 ms for work of 20 ms, then one request that stays out. */
    private PrequalBalancer startLate(RequestClass kind, Endpoint... endpoints) {
        PrequalBalancer decide = startWith(kind, endpoints);
        for (int id = 1; id <= 21; id++) {
            decide.onRequest(now, new Request(id, 0, 0, now + SECOND, 0, false, false, 20 * MS));
            if (id <= 20) {
                decide.onAttemptEnded(
                        now,
                        id,
                        0,
                        did.sent.get(id - 1).endpoint(),
                        Outcome.OK,
                        10 * MS,
                        true,
                        null);
            }
        }
        return decide;
    }

    private void ring(PrequalBalancer decide) {
        for (Recorder.Timer timer : List.copyOf(did.timers)) {
            now = Math.max(now, timer.at());
            decide.onTimer(timer.at(), timer.token());
        }
    }

    @Test
    void sendsASecondCopyWhenAnAnswerIsLateForItsWork() {
        PrequalBalancer decide = startLate(Site.SAFE, THREE);
        assertEquals(now + 30 * MS, did.timers.get(did.timers.size() - 1).at());
        ring(decide);
        assertEquals(22, did.sent.size());
        assertNotEquals(did.sent.get(20).endpoint(), did.sent.get(21).endpoint());
        end(decide, 21, 1, Outcome.OK);
        assertTrue(did.lines.contains("cancel 21 0"));
    }

    @Test
    void sendsNoSecondCopyOfWhatMustNotRunTwiceOrLeavesItsCell() {
        ring(startLate(Site.UNSAFE, THREE));
        assertEquals(21, did.sent.size());
        did.clear();
        ring(
                startLate(
                        Site.KEYED_IN_CELL,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0)));
        assertEquals(21, did.sent.size());
    }

    @Test
    void tellsWhoIsTurnedAwayWhenToComeBack() {
        PrequalBalancer decide = startLate(Site.SAFE, THREE);
        decide.onRequest(now, new Request(22, 0, 0, now, 0, false, false, 0));
        assertEquals(List.of(10 * MS), did.comeBack);
    }

    /**
     * Detects a repeat that is given up since chance did not find the few endpoints that may take
     * it: a cell has some, however long the list is.
     */
    @Test
    void findsTheCellOfARepeatInALongList() {
        Endpoint[] many =
                IntStream.rangeClosed(1, 103)
                        .mapToObj(id -> Site.endpoint(id, 0, id / 4, EndpointStatus.READY, 0))
                        .toArray(Endpoint[]::new);
        int repeated = 0;
        for (int seed = 1; seed <= 100; seed++) {
            did.clear();
            site.classes = List.of(Site.KEYED_IN_CELL);
            PrequalBalancer decide =
                    new PrequalBalancer(site.settings(), new SplittableRandom(seed), did);
            decide.onEndpoints(now, EndpointListKind.CACHED, List.of(many));
            ask(decide, 1);
            now += 50 * MS; // over the time for which it may wait in line
            end(decide, 1, 0, Outcome.ERROR);
            repeated += did.sent.size() - 1;
        }
        assertEquals(100, repeated);
    }

    // ---- no request is lost ----

    @Test
    void answersWhenTheDeadlinesTimeOutArrives() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        now += SECOND;
        end(decide, 1, 0, Outcome.TIMEOUT);
        assertEquals(List.of(1L), did.failed);
        assertEquals(1, did.sent.size());
    }

    /** Detects an answer that forbids a repeat, at its deadline, of what never ran. */
    @Test
    void refusesAtTheDeadlineWhatCanNotHaveRun() {
        PrequalBalancer decide = startLate(Site.KEYED_IN_CELL, THREE);
        ring(decide);
        assertEquals(22, did.sent.size(), "a second copy");
        now += SECOND;
        end(decide, 21, 0, Outcome.CONNECT_FAILED);
        assertTrue(did.refused.isEmpty() && did.failed.isEmpty(), "the other may have run");
        end(decide, 21, 1, Outcome.CONNECT_FAILED);
        assertEquals(List.of(21L), did.refused);
    }

    @Test
    void failsAtTheDeadlineWhatOneAttemptMayHaveRun() {
        PrequalBalancer decide = startLate(Site.KEYED_IN_CELL, THREE);
        ring(decide);
        now += SECOND;
        end(decide, 21, 0, Outcome.TIMEOUT);
        end(decide, 21, 1, Outcome.CONNECT_FAILED);
        assertEquals(List.of(21L), did.failed);
    }

    @Test
    void endsAtOnceWhatComesPastItsDeadline() {
        PrequalBalancer decide = startWith(Site.UNSAFE, THREE);
        decide.onRequest(now, new Request(1, 0, 0, now, 0, false, false, 0));
        assertEquals(List.of(1L), did.refused);
        assertTrue(did.sent.isEmpty());
    }

    /** Detects holding a request for an endpoint when nothing may be sent for it any more. */
    @Test
    void endsAtOnceByItsClassWhatMayNotBeSentAgain() {
        for (RequestClass kind : List.of(Site.SAFE, Site.KEYED_IN_CELL, Site.UNSAFE)) {
            did.clear();
            PrequalBalancer decide = startWith(kind, Site.ready(1), Site.ready(2));
            ask(decide, 1);
            end(decide, 1, 0, kind == Site.UNSAFE ? Outcome.REJECTED : Outcome.RESET);
            end(decide, 1, 1, Outcome.NOT_STARTED);
            assertEquals(2, did.sent.size(), kind.name());
            assertEquals(
                    kind == Site.KEYED_IN_CELL ? List.of(1L) : List.of(), did.failed, kind.name());
            assertEquals(
                    kind == Site.KEYED_IN_CELL ? List.of() : List.of(1L), did.refused, kind.name());
        }
    }

    @Test
    void turnsAwayUnsentWhatOtherTiersKnowToBeInVain() {
        PrequalBalancer decide = startWith(Site.UNSAFE, THREE);
        long id = 0;
        for (LoadBalancer.AdmissionHint standing : LoadBalancer.AdmissionHint.values()) {
            decide.onRequest(
                    now, new Request(++id, 0, 0, now + SECOND, 0, false, false, 0), standing);
        }
        assertEquals(List.of(2L, 3L, 4L), did.refused);
        assertEquals(1, did.sent.size());
    }

    @Test
    void holdsARequestWithNoEndpointAndAnswersIt() {
        PrequalBalancer decide = startWith(Site.UNSAFE);
        ask(decide, 1);
        assertTrue(did.refused.isEmpty(), "held at first");
        for (int i = 0; i < 20 && did.refused.isEmpty(); i++) {
            Recorder.Timer next = did.timers.get(did.timers.size() - 1);
            now = next.at();
            decide.onTimer(now, next.token());
        }
        assertEquals(List.of(1L), did.refused);
        assertTrue(now < 100 * SECOND + 200 * MS, "before its aim");
    }

    @Test
    void sendsAHeldRequestOnceAnEndpointComes() {
        PrequalBalancer decide = startWith(Site.UNSAFE);
        ask(decide, 1);
        Recorder.Timer held = did.timers.get(did.timers.size() - 1);
        decide.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(5)));
        now = held.at();
        decide.onTimer(now, held.token());
        assertEquals(List.of(new Recorder.Sent(1, 5)), did.sent);
    }

    @Test
    void ignoresWhatComesAfterTheEnd() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        end(decide, 1, 0, Outcome.OK);
        did.lines.clear();
        decide.onClientLeft(now, 1);
        decide.onAttemptEnded(now, 1, 0, 1, Outcome.OK, MS, true, null);
        decide.onAttemptEnded(now, 99, 0, 1, Outcome.OK, MS, true, null);
        decide.onProbeEnded(now, 99, Outcome.OK, MS, Site.load(1, 1));
        assertEquals(List.of(), did.lines);
    }

    @Test
    void callsOffTheWorkOfAClientThatLeft() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        decide.onClientLeft(now, 1);
        assertTrue(did.lines.contains("cancel 1 0"));
        did.lines.clear();
        end(decide, 1, 0, Outcome.CANCELLED);
        assertTrue(did.failed.isEmpty() && did.refused.isEmpty() && did.sent.size() == 1);
    }

    @Test
    void cancelsNothingWhereThatIsNotPermitted() {
        site.cancel = false;
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        decide.onClientLeft(now, 1);
        assertFalse(did.lines.contains("cancel 1 0"));
    }

    @Test
    void leavesAStreamThatHasBegunToItsClient() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        decide.onFirstByte(now, 1, 0, did.sent.get(0).endpoint(), MS);
        now += 2 * SECOND;
        end(decide, 1, 0, Outcome.RESET);
        assertTrue(did.failed.isEmpty() && did.refused.isEmpty() && did.sent.size() == 1);
    }

    // ---- no effect happens twice ----

    @Test
    void neverResendsOrRefusesAnUnsafeRequestThatMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)) {
            did.clear();
            PrequalBalancer decide = startWith(Site.UNSAFE, THREE);
            ask(decide, 1);
            end(decide, 1, 0, outcome);
            assertEquals(1, did.sent.size(), outcome.name());
            assertEquals(List.of(1L), did.failed, outcome.name());
        }
    }

    @Test
    void resendsAnUnsafeRequestProvedNotToHaveRun() {
        for (Outcome outcome : List.of(Outcome.REJECTED, Outcome.CONNECT_FAILED)) {
            did.clear();
            PrequalBalancer decide = startWith(Site.UNSAFE, THREE);
            ask(decide, 1);
            end(decide, 1, 0, outcome);
            assertEquals(2, did.sent.size(), outcome.name());
            assertNotEquals(did.sent.get(0).endpoint(), did.sent.get(1).endpoint());
        }
    }

    @Test
    void neverExceedsTheAttemptsPermitted() {
        site.maxAttempts = 2;
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        end(decide, 1, 0, Outcome.REJECTED);
        end(decide, 1, 1, Outcome.REJECTED);
        now += SECOND / 2;
        List.copyOf(did.timers).forEach(t -> decide.onTimer(now, t.token()));
        assertEquals(2, did.sent.size());
        assertEquals(List.of(1L), did.refused);
    }

    @Test
    void resendsAKeyedRequestWithinItsCellOnly() {
        PrequalBalancer decide =
                startWith(
                        Site.KEYED_IN_CELL,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0));
        ask(decide, 1);
        end(decide, 1, 0, Outcome.ERROR);
        now += SECOND / 2;
        List.copyOf(did.timers).forEach(t -> decide.onTimer(now, t.token()));
        assertEquals(1, did.sent.size());
        assertEquals(
                List.of(1L), did.failed, "a refusal would promise what only the cell can keep");
    }

    /**
     * Detects a repeat in the cell that an endpoint has moved to since it got the first attempt.
     */
    @Test
    void resendsWithinTheCellInWhichTheFirstAttemptRan() {
        PrequalBalancer decide =
                startWith(Site.KEYED_IN_CELL, Site.endpoint(1, 0, 1, EndpointStatus.READY, 0));
        ask(decide, 1);
        decide.onEndpoints(
                now,
                EndpointListKind.FULL,
                List.of(
                        Site.endpoint(1, 0, 2, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0)));
        end(decide, 1, 0, Outcome.ERROR);
        now += SECOND / 2;
        List.copyOf(did.timers).forEach(t -> decide.onTimer(now, t.token()));
        assertEquals(1, did.sent.size());
        assertEquals(List.of(1L), did.failed);
    }

    @Test
    void resendsAKeyedRequestWithinItsZoneOnly() {
        PrequalBalancer decide =
                startWith(
                        Site.KEYED_IN_ZONE,
                        Site.endpoint(1, 0, 1, EndpointStatus.READY, 0),
                        Site.endpoint(2, 0, 2, EndpointStatus.READY, 0),
                        Site.endpoint(3, 1, 2, EndpointStatus.READY, 0));
        for (int id = 1; id <= 20; id++) {
            ask(decide, id);
            end(decide, id, 0, Outcome.ERROR);
            long zoneOne = did.sent.stream().filter(s -> s.endpoint() == 3).count();
            boolean mixed = zoneOne > 0 && zoneOne < did.sent.size();
            assertFalse(mixed, did.sent.toString());
            did.clear();
            now += 10 * MS;
        }
    }

    @Test
    void resendsAKeyedRequestOnlyWhileItIsRemembered() {
        PrequalBalancer decide = startWith(Site.KEYED, THREE);
        ask(decide, 1);
        now += 500 * MS;
        end(decide, 1, 0, Outcome.ERROR);
        assertEquals(1, did.sent.size());
        assertEquals(List.of(1L), did.refused, "all endpoints drop its repeats");
    }

    // ---- drains are kept ----

    @Test
    void sendsNothingToADrainingEndpointFromTheMomentItIsTold() {
        PrequalBalancer decide = startWith(Site.SAFE, Site.ready(1), Site.ready(2));
        ask(decide, 100);
        for (long probe : List.copyOf(did.probed)) {
            decide.onProbeEnded(now, probe, Outcome.OK, 0, Site.load(0, 1));
        }
        decide.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)));
        did.clear();
        for (int id = 1; id <= 50; id++) {
            ask(decide, id);
        }
        assertTrue(did.sent.stream().allMatch(s -> s.endpoint() == 2), did.sent.toString());
    }

    @Test
    void takesAnEndpointMissingFromAWholeListAsGone() {
        PrequalBalancer decide = startWith(Site.SAFE, Site.ready(1), Site.ready(2));
        decide.onEndpoints(now, EndpointListKind.FULL, List.of(Site.ready(2)));
        for (int id = 1; id <= 50; id++) {
            ask(decide, id);
        }
        assertTrue(did.sent.stream().allMatch(s -> s.endpoint() == 2), did.sent.toString());
    }

    // ---- what was sent, and has not begun ----

    /** Detects an attempt that begins where nothing new may go: its connection came up late. */
    @Test
    void deniesWhatWasSentToAnEndpointThatHasLeftSince() {
        List<List<Endpoint>> lists =
                List.of(
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.DRAINING, 0)),
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.REMOVED, 0)),
                        List.of(Site.ready(2)),
                        List.of(Site.endpoint(1, 0, 0, EndpointStatus.READY, now)));
        for (List<Endpoint> list : lists) {
            did.clear();
            PrequalBalancer decide = startWith(Site.UNSAFE, Site.ready(1));
            ask(decide, 1);
            assertNull(decide.startDenial(now, 1, 0));
            boolean whole = list.get(0).id() != 1;
            decide.onEndpoints(now, whole ? EndpointListKind.FULL : EndpointListKind.DELTA, list);
            assertEquals(Outcome.CONNECT_FAILED, decide.startDenial(now, 1, 0), list.toString());
            decide.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(3)));
            end(decide, 1, 0, Outcome.CONNECT_FAILED);
            assertEquals(2, did.sent.size(), "another takes it");
        }
    }

    /** Detects a repeat of what has run, begun when endpoints have forgotten its key. */
    @Test
    void deniesARepeatThatHasNotBegunWithinItsWindow() {
        for (RequestClass kind : List.of(Site.KEYED, Site.KEYED_IN_CELL, Site.SAFE)) {
            did.clear();
            PrequalBalancer decide = startWith(kind, THREE);
            ask(decide, 1);
            end(decide, 1, 0, Outcome.RESET);
            assertEquals(2, did.sent.size());
            now += 500 * MS - 1;
            assertNull(decide.startDenial(now, 1, 1));
            now += 1;
            if (kind == Site.SAFE) {
                assertNull(decide.startDenial(now, 1, 1), "it may run as often as one likes");
                continue;
            }
            assertEquals(Outcome.NOT_STARTED, decide.startDenial(now, 1, 1));
            end(decide, 1, 1, Outcome.NOT_STARTED);
            assertEquals(kind == Site.KEYED ? List.of(1L) : List.of(), did.refused);
            assertEquals(kind == Site.KEYED ? List.of() : List.of(1L), did.failed);
        }
    }

    /** The first attempt may begin last, its connection being the slowest. */
    @Test
    void deniesAnAttemptByWhatLaterOnesProveToo() {
        PrequalBalancer decide = startLate(Site.KEYED, THREE);
        ring(decide);
        assertEquals(22, did.sent.size(), "a second copy");
        assertNull(decide.startDenial(now, 21, 0));
        now += 500 * MS;
        assertEquals(Outcome.NOT_STARTED, decide.startDenial(now, 21, 0));
    }

    @Test
    void deniesAllThatIsOverOrUnknown() {
        site.cancel = false;
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        decide.onClientLeft(now, 1);
        assertEquals(Outcome.NOT_STARTED, decide.startDenial(now, 1, 0));
        assertEquals(Outcome.NOT_STARTED, decide.startDenial(now, 1, 1));
        assertEquals(Outcome.NOT_STARTED, decide.startDenial(now, 9, 0));
    }

    /** Detects a request that leaves the line for an endpoint though its client is gone. */
    @Test
    void sendsNothingOnceItsClientHasLeftTheLine() {
        PrequalBalancer decide = startWith(Site.UNSAFE);
        ask(decide, 1);
        ask(decide, 2);
        decide.onClientLeft(now, 1);
        decide.onEndpoints(now, EndpointListKind.DELTA, List.of(Site.ready(5)));
        ring(decide);
        assertEquals(List.of(new Recorder.Sent(2, 5)), did.sent);
        assertTrue(did.refused.isEmpty() && did.failed.isEmpty());
    }

    @Test
    void sendsNoSecondCopyForAClientThatHasLeft() {
        site.cancel = false;
        PrequalBalancer decide = startLate(Site.SAFE, THREE);
        decide.onClientLeft(now, 21);
        ring(decide);
        end(decide, 21, 0, Outcome.RESET);
        assertEquals(21, did.sent.size());
    }

    /** Detects the end of one endpoint's life closing the idle connections to all others. */
    @Test
    void keepsItsConnectionsAfterACallToOneThatHasLeft() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        long left = did.sent.get(0).endpoint();
        decide.onEndpoints(
                now,
                EndpointListKind.DELTA,
                List.of(Site.endpoint(left, 0, 0, EndpointStatus.DRAINING, 0)));
        end(decide, 1, 0, Outcome.CONNECT_FAILED);
        end(decide, 1, 1, Outcome.OK);
        ask(decide, 2);
        end(decide, 2, 0, Outcome.OK);
        assertFalse(
                did.lines.contains("close " + did.sent.get(2).endpoint()), did.lines.toString());
    }

    // ---- the list of endpoints ----

    @Test
    void asksForTheListAndAsksAgainLaterAfterEachFailure() {
        site.ask = true;
        PrequalBalancer decide = start();
        Recorder.Timer first = did.timers.get(did.timers.size() - 1);
        assertTrue(first.at() - now <= 4 * SECOND + 1);
        decide.onTimer(first.at(), first.token());
        assertTrue(did.lines.contains("subscribe true"));
        long wait = 0;
        for (int i = 0; i < 4; i++) {
            did.clear();
            decide.onEndpointsUnavailable(now);
            long next = did.timers.get(0).at() - now;
            assertTrue(next > wait / 3, "backs off");
            wait = next;
        }
        assertTrue(wait >= 4 * SECOND);
    }

    @Test
    void keepsTheOldListWhenACallForItFails() {
        site.ask = true;
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        decide.onEndpointsUnavailable(now);
        ask(decide, 1);
        assertEquals(1, did.sent.size());
    }

    // ---- what the settings forbid ----

    @Test
    void probesNothingWhereThatIsNotPermitted() {
        site.probes = false;
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        for (int id = 1; id <= 12; id++) {
            ask(decide, id);
        }
        decide.onTimer(now + 5 * SECOND, 0);
        assertTrue(did.probed.isEmpty());
        assertEquals(12, did.sent.size());
    }

    @Test
    void sendsNoSecondCopyOfARequestThatIsOut() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        ask(decide, 1);
        now += 900 * MS;
        List.copyOf(did.timers).forEach(t -> decide.onTimer(now, t.token()));
        assertEquals(1, did.sent.size());
    }

    // ---- failures ----

    @Test
    void givesUpRetriesThatAreNotPaidFor() {
        PrequalBalancer decide = startWith(Site.SAFE, THREE);
        for (int id = 1; id <= 200; id++) {
            ask(decide, id);
            end(decide, id, 0, Outcome.ERROR);
            int id1 = id;
            if (did.sent.stream().filter(s -> s.request() == id1).count() > 1) {
                end(decide, id, 1, Outcome.ERROR);
            }
            now += 10 * MS;
        }
        assertTrue(
                did.sent.size() < 260, "a fully failing tier gets few retries: " + did.sent.size());
    }

    @Test
    void keepsClearOfAnEndpointThatMostlyFails() {
        PrequalBalancer decide = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        int toFailing = 0;
        for (int id = 1; id <= 200; id++) {
            ask(decide, id);
            for (long probe : List.copyOf(did.probed)) {
                decide.onProbeEnded(
                        now,
                        probe,
                        Outcome.OK,
                        0,
                        Site.load(probe == 1 ? 0 : 3, probe == 1 ? 1 : 20));
            }
            did.probed.clear();
            boolean failing = did.sent.get(did.sent.size() - 1).endpoint() == 1;
            toFailing += failing ? 1 : 0;
            end(decide, id, 0, failing ? Outcome.ERROR : Outcome.OK);
            now += 10 * MS;
        }
        assertTrue(toFailing < 40, "the sinkhole drew " + toFailing + " of 200");
    }

    @Test
    void keepsClearOfASilentEndpointThatStillAnswersProbes() {
        PrequalBalancer decide = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        int toSilent = 0;
        for (int id = 1; id <= 200; id++) {
            ask(decide, id);
            for (long probe : List.copyOf(did.probed)) {
                decide.onProbeEnded(now, probe, Outcome.OK, 0, Site.load(0, probe == 1 ? 1 : 5));
            }
            did.probed.clear();
            now += 5 * MS;
            if (did.sent.get(did.sent.size() - 1).endpoint() == 1) {
                toSilent++;
            } else {
                end(decide, id, 0, Outcome.OK);
            }
        }
        assertTrue(toSilent < 40, "the silent endpoint drew " + toSilent + " of 200");
    }

    @Test
    void sendsNothingToAnEndpointWithoutRoomForConnections() {
        PrequalBalancer decide = startWith(Site.UNSAFE, Site.ready(1), Site.ready(2));
        ask(decide, 1);
        long crowded = did.sent.get(0).endpoint();
        end(decide, 1, 0, Outcome.CONNECT_FAILED);
        did.clear();
        for (int id = 2; id <= 20; id++) {
            ask(decide, id);
        }
        assertTrue(did.sent.stream().noneMatch(s -> s.endpoint() == crowded));
    }

    // ---- more than can be served ----

    @Test
    void turnsAwayAtTheEntryWhenAnswersComeTooLate() {
        site.tiers = 2;
        assertTrue(refusedUnderOverload() > 50);
    }

    @Test
    void turnsFewAwayOnAQuietDayForAFewSlowAnswers() {
        RequestClass max = Site.UNSAFE;
        RequestClass little =
                new RequestClass(
                        "little",
                        max.idempotency(),
                        max.keyScope(),
                        max.latencyObjectiveNanos(),
                        max.deadlineNanos(),
                        max.priorityWeight() / 10,
                        0,
                        0,
                        false);
        site.classes = List.of(little, max);
        PrequalBalancer decide = start(THREE);
        for (int id = 1; id <= 500; id++) {
            decide.onRequest(now, new Request(id, id % 2, 0, now + SECOND, 0, false, false, 0));
            now += 20 * MS;
            int quick = id - 3;
            if (quick > 0 && quick % 20 != 0 && !did.refused.contains((long) quick)) {
                end(decide, quick, 0, Outcome.OK);
            }
            int slow = id - 9;
            if (slow > 0 && slow % 20 == 0 && !did.refused.contains((long) slow)) {
                end(decide, slow, 0, Outcome.OK);
            }
        }
        assertTrue(did.refused.size() < 60, "turned away " + did.refused.size() + " of 500");
    }

    /**
     * Detects a limit that falls to one call where answers are slow for another reason than too
     * many of them: endpoints may always hold four, of which a third are this replica's.
     */
    @Test
    void turnsNothingAwayThatEndpointsMayAlwaysHold() {
        site.replicas = 3;
        PrequalBalancer decide = startWith(Site.UNSAFE, THREE);
        for (int id = 1; id <= 400; id++) {
            ask(decide, id);
            now += 300 * MS;
            if (id > 3) {
                end(decide, id - 3, 0, Outcome.OK); // 0.9 s after it came, of an aim of 1 s
            }
        }
        assertEquals(did.refused, List.of());
    }

    @Test
    void turnsNothingAwayFurtherDown() {
        site.tiers = 2;
        site.tier = 1;
        assertEquals(0, refusedUnderOverload());
    }

    private int refusedUnderOverload() {
        return overload(startWith(Site.SAFE, THREE))[0];
    }

    /**
     * Two tenants ask 200 a second between them of a service that answers 100; what was refused, by
     * tenant.
     */
    private int[] overload(PrequalBalancer decide) {
        int[] refused = new int[2];
        for (int id = 1; id <= 1000; id++) {
            did.refused.clear();
            decide.onRequest(now, new Request(id, 0, id % 2, now + SECOND, 0, false, false, 0));
            refused[id % 2] += did.refused.size();
            now += 5 * MS;
            if (id % 2 == 0 && !did.sent.isEmpty()) {
                Recorder.Sent first = did.sent.remove(0);
                decide.onAttemptEnded(
                        now, first.request(), 0, first.endpoint(), Outcome.OK, 5 * MS, true, null);
            }
        }
        return refused;
    }

    @Test
    void countsOnlyWhatATenantSendsPastItsShareAsOver() {
        site.tenants = List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 1000));
        int[] refused = overload(startWith(Site.SAFE, THREE));
        assertTrue(
                refused[0] > 3 * refused[1] / 2, refused[0] + " over, " + refused[1] + " within");
        assertTrue(refused[0] < 480, "what is within its share is served");
    }
}
