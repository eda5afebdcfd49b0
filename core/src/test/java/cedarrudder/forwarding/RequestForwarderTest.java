package cedarrudder.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.budget.BudgetEvents;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.Budgets;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.HopPath;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.metrics.RequestMetrics.End;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which events reach the balancer and which of its actions are carried out. The balancer, the
 * transport, the clock and the client are fakes.
 */
public class RequestForwarderTest {

    private static final int MAX_ATTEMPTS = 2;
    private static final long DEADLINE = 1000;

    private static final BalancerSettings SITE =
            new BalancerSettings(
                    1,
                    0,
                    0,
                    0,
                    2,
                    false,
                    List.of(
                            new BalancerSettings.RequestClass(
                                    "a",
                                    BalancerSettings.Idempotency.SAFE,
                                    BalancerSettings.KeyScope.ALL,
                                    1,
                                    1,
                                    1,
                                    0,
                                    0,
                                    false)),
                    List.of(),
                    null,
                    null,
                    new BalancerSettings.ServiceGoal(1, 0, 0, 0, 1),
                    null);

    private final List<String> events = new ArrayList<>();
    private final List<RequestAttempt<String, String>> started = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private Runnable onRequest;
    private Runnable onOutcome;
    private Runnable onDenial;
    private boolean refuseConnections;
    private boolean connectionPending;
    private boolean clientWaiting;
    private boolean disconnectDetectable;
    private Outcome denial;
    private boolean endpointKnown;
    private Budgets budgets;
    private RequestMetrics metrics;
    private long now;
    private Actions actions;
    private RequestForwarder<String, String> forwarder;

    @BeforeMethod
    public void start() {
        events.clear();
        started.clear();
        timers.clear();
        now = 1;
        refuseConnections = false;
        connectionPending = false;
        clientWaiting = true;
        disconnectDetectable = true;
        denial = null;
        endpointKnown = true;
        budgets = null;
        onRequest = () -> actions.startAttempt(1, 7, 0);
        onOutcome = () -> {};
        onDenial = () -> {};
        build();
    }

    /** Each request must be counted exactly once, however it ended. */
    @AfterMethod
    public void everyAcceptedRequestIsCountedOnce() {
        long ended = Arrays.stream(End.values()).mapToLong(how -> metrics.ended(0, how)).sum();
        assertEquals(metrics.accepted(0), ended + metrics.openRequests());
        assertEquals(metrics.ended(0, End.SERVED), countOf("served"));
        assertEquals(metrics.ended(0, End.REJECTED), countOf("refused"));
        assertEquals(metrics.ended(0, End.FAILED), countOf("failed"));
    }

    private long countOf(String prefix) {
        return events.stream().filter(line -> line.startsWith(prefix)).count();
    }

    private void build() {
        metrics = new RequestMetrics(1);
        forwarder =
                new RequestForwarder<>(
                        balancerActions -> {
                            actions = balancerActions;
                            return new FakeBalancer();
                        },
                        MAX_ATTEMPTS,
                        new TimerService() {
                            @Override
                            public long now() {
                                return now;
                            }

                            @Override
                            public Timer at(long instant, Runnable task) {
                                timers.add(task);
                                return () -> timers.remove(task);
                            }
                        },
                        new Logger(new PrintStream(OutputStream.nullOutputStream())),
                        budgets,
                        metrics);
        forwarder.attach(new FakeTransport(), null, null);
    }

    private void accept() {
        accept(PropagatedBudget.NOTHING);
    }

    private Exchange<String, String> accept(PropagatedBudget receivedBudget) {
        var request = new LoadBalancer.Request(1, 0, 0, DEADLINE, 0, false, false, 0);
        Exchange<String, String> exchange =
                new Exchange<>(
                        request,
                        "q",
                        new Exchange.Reply<>() {
                            @Override
                            public void served(String answer) {
                                events.add("served " + answer);
                            }

                            @Override
                            public void rejected(long retryAfter) {
                                events.add("refused");
                            }

                            @Override
                            public void failed() {
                                events.add("failed");
                            }

                            @Override
                            public boolean isClientWaiting() {
                                return clientWaiting;
                            }

                            @Override
                            public boolean canDetectDisconnect() {
                                return disconnectDetectable;
                            }
                        },
                        receivedBudget);
        forwarder.accept(exchange);
        return exchange;
    }

    @Test
    public void actionsNeverReenterTheBalancer() {
        refuseConnections = true;
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    events.add("request handled");
                };
        accept();
        assertEquals(
                events, List.of("start 0", "request handled", "outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void firstServedAttemptEndsTheRequestAndTheOtherIsReportedAsSettled() {
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    actions.startAttempt(1, 8, 0);
                };
        accept();
        forwarder.served(started.get(1), "b", null);
        forwarder.served(started.get(0), "a", null);
        assertEquals(
                events,
                List.of(
                        "start 0",
                        "start 1",
                        "served b",
                        "outcome 1 OK settled",
                        "outcome 0 OK settled"));
    }

    /** A process that was stopped must not send its first request by expired zone shares. */
    @Test
    public void zoneSharesExpireBeforeTheNextEvent() {
        forwarder.zoneSharesValidUntil(100);
        forwarder.zoneSharesUpdated(List.of(new LoadBalancer.ZoneTrafficShare(0, 10_000, 0)));
        forwarder.onZoneShareUsed(() -> events.add("by shares"));
        accept();
        now = 100;
        forwarder.endpointsUpdated(LoadBalancer.EndpointListKind.DELTA, List.of());
        forwarder.endpointsUpdated(LoadBalancer.EndpointListKind.DELTA, List.of());
        assertEquals(events, List.of("shares 1", "by shares", "start 0", "shares 0"));
    }

    @Test
    public void endOfRequestCancelsItsDeadlineTimer() {
        accept();
        assertEquals(timers.size(), 1);
        forwarder.served(started.get(0), "a", null);
        assertEquals(timers.size(), 0);
    }

    @Test
    public void attemptsBeyondTheMaximumAreNotStarted() {
        onRequest =
                () -> {
                    for (int i = 0; i <= MAX_ATTEMPTS; i++) {
                        actions.startAttempt(1, 7, 0);
                    }
                };
        accept();
        assertEquals(events, List.of("start 0", "start 1", "outcome 2 NOT_STARTED open"));
    }

    /** Another endpoint may be reachable: NOT_STARTED is for what may not be sent at all. */
    @Test
    public void attemptAtUnknownEndpointEndsAsConnectFailed() {
        endpointKnown = false;
        accept();
        assertEquals(events, List.of("outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void attemptDeniedByBudgetIsNotStartedAndFeedbackSaysWhy() {
        budgets =
                new Budgets(
                        BudgetSettings.of("front"),
                        SITE,
                        new SplittableRandom(1),
                        BudgetEvents.NONE);
        build();
        onOutcome =
                () -> {
                    if (events.size() == 2) {
                        actions.startAttempt(1, 8, 0);
                    } else {
                        actions.fail(1);
                    }
                };
        Exchange<String, String> exchange =
                accept(new PropagatedBudget(true, true, 0, 0, 0, 1, false, HopPath.EMPTY));
        assertEquals(started.get(0).propagatedBudget().path().hops(), List.of("front"));
        forwarder.attemptEnded(started.get(0), Outcome.RESET, null);
        assertEquals(
                events,
                List.of("start 0", "outcome 0 RESET open", "outcome 1 NOT_STARTED open", "failed"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(0, DownstreamFeedback.UnservedReason.TRIES, HopPath.EMPTY));
    }

    /** The first attempt may still be served. */
    @Test
    public void hedgedRequestDeniedByBudgetLeavesFirstAttemptInFlight() {
        budgets =
                new Budgets(
                        BudgetSettings.of("front"),
                        SITE,
                        new SplittableRandom(1),
                        BudgetEvents.NONE);
        build();
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    actions.startAttempt(1, 8, 0);
                };
        Exchange<String, String> exchange =
                accept(new PropagatedBudget(true, true, 0, 0, 0, 1, false, HopPath.EMPTY));
        forwarder.served(started.get(0), "a", null);
        assertEquals(
                events,
                List.of(
                        "start 0",
                        "outcome 1 NOT_STARTED open",
                        "served a",
                        "outcome 0 OK settled"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(
                        0, DownstreamFeedback.UnservedReason.UNKNOWN, HopPath.EMPTY));
    }

    @Test
    public void loopIsNotSentEvenIfTheBalancerStartsAnAttempt() {
        budgets =
                new Budgets(
                        BudgetSettings.of("front"),
                        SITE,
                        new SplittableRandom(1),
                        BudgetEvents.NONE);
        build();
        onOutcome = () -> actions.reject(1, 0);
        Exchange<String, String> exchange =
                accept(
                        new PropagatedBudget(
                                true,
                                true,
                                0,
                                3,
                                0,
                                1,
                                false,
                                HopPath.of(List.of("front", "core"))));
        assertEquals(events, List.of("outcome 0 NOT_STARTED open", "refused"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(
                        0,
                        DownstreamFeedback.UnservedReason.LOOP,
                        HopPath.of(List.of("front", "core", "front"))));
    }

    @Test
    public void cancellationAbandonsTheAttemptAndIgnoresItsLaterOutcome() {
        accept();
        actions.cancelAttempt(1, 0);
        forwarder.served(started.get(0), "late", null);
        assertEquals(events, List.of("start 0", "abandon 0", "outcome 0 CANCELLED open"));
    }

    @Test
    public void attemptsInFlightTimeOutAtTheDeadlineAndTheBalancerEndsTheRequest() {
        onOutcome = () -> actions.fail(1);
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        assertEquals(events, List.of("start 0", "abandon 0", "outcome 0 TIMEOUT open", "failed"));
    }

    /** The process is about to end, so there is no time for a further attempt. */
    @Test
    public void requestExpiredEarlyIsEndedAndNotRetried() {
        onOutcome =
                () -> {
                    onOutcome = () -> actions.fail(1);
                    actions.startAttempt(1, 8, 0);
                };
        forwarder.expireNow(accept(PropagatedBudget.NOTHING));
        assertEquals(
                events,
                List.of(
                        "start 0",
                        "abandon 0",
                        "outcome 0 TIMEOUT open",
                        "outcome 1 NOT_STARTED open",
                        "failed"));
    }

    /** A rejection would invite a retry of a request that may have run. */
    @Test
    public void overdueRequestFailsIfItMayHaveRun() {
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(
                events,
                List.of("start 0", "abandon 0", "outcome 0 TIMEOUT open", "failed", "client left"));
    }

    /** A failure would prevent a retry of a request that was never forwarded. */
    @Test
    public void overdueRequestIsRejectedIfItCannotHaveRun() {
        onRequest =
                () -> {
                    throw new IllegalStateException("a fault of the balancer");
                };
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(events, List.of("refused", "client left"));
    }

    /** An error in one event must not discard the events that are queued behind it. */
    @Test
    public void virtualMachineErrorInTheBalancerDoesNotStopLaterEvents() {
        onRequest =
                () -> {
                    throw new StackOverflowError("made on purpose");
                };
        Exchange<String, String> exchange = accept(PropagatedBudget.NOTHING);
        forwarder.clientLeft(exchange);
        assertEquals(events, List.of("client left"));
    }

    // ---- the check before the first byte ----

    /** Accepts a request whose first attempt waits for its connection. */
    private Exchange<String, String> acceptWaitingForConnection() {
        connectionPending = true;
        Exchange<String, String> exchange = accept(PropagatedBudget.NOTHING);
        events.clear();
        return exchange;
    }

    /** No request may be sent for a client that left while the connection was established. */
    @Test
    public void waitingAttemptNeverStartsOnceItsClientHasLeft() {
        forwarder.clientLeft(acceptWaitingForConnection());
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "client left"));
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events.size(), 3);
    }

    /** The other attempt is served as a whole, or its response has begun to stream. */
    @Test
    public void waitingAttemptNeverStartsOnceAnotherIsServed() {
        for (boolean streamed : new boolean[] {false, true}) {
            start();
            onRequest =
                    () -> {
                        actions.startAttempt(1, 7, 0);
                        actions.startAttempt(1, 8, 0);
                    };
            acceptWaitingForConnection();
            assertTrue(forwarder.mayStart(started.get(1)));
            started.get(1).writeComplete(now);
            if (streamed) {
                forwarder.responseStarted(
                        started.get(1), "b", null, new StreamedResponse(2, 1, now));
                forwarder.served(started.get(1), "b", null);
            } else {
                forwarder.served(started.get(1), "b", null);
            }
            assertEquals(
                    events,
                    List.of(
                            "abandon 0",
                            "served b",
                            "outcome 1 OK settled",
                            "outcome 0 NOT_STARTED settled"));
            assertFalse(forwarder.mayStart(started.get(0)));
        }
    }

    @Test
    public void waitingAttemptNeverStartsOnceTheBalancerEndsItsRequest() {
        acceptWaitingForConnection();
        onOutcome = () -> {};
        actions.reject(1, 0);
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "refused"));
        assertFalse(forwarder.mayStart(started.get(0)));
    }

    /** The client has disconnected, but the event loop has not read this yet. */
    @Test
    public void clientIsCheckedRightBeforeTheFirstByte() {
        acceptWaitingForConnection();
        clientWaiting = false;
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "client left"));
    }

    /** The client may have left undetected; its attempts in flight continue. */
    @Test
    public void noAttemptStartsIfADisconnectCouldNotBeDetected() {
        acceptWaitingForConnection();
        disconnectDetectable = false;
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    @Test
    public void noAttemptStartsPastTheDeadlineEvenBeforeItsTimerFires() {
        acceptWaitingForConnection();
        now = DEADLINE;
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    @Test
    public void attemptDeniedByTheBalancerEndsWithTheOutcomeItNames() {
        for (Outcome expected : List.of(Outcome.NOT_STARTED, Outcome.CONNECT_FAILED)) {
            start();
            acceptWaitingForConnection();
            denial = expected;
            assertFalse(forwarder.mayStart(started.get(0)));
            assertEquals(events, List.of("abandon 0", "outcome 0 " + expected + " open"));
        }
    }

    /** Waiting for a useless connection would delay a request that another endpoint may serve. */
    @Test
    public void endpointUpdateEndsOnlyWaitingAttemptsThatAreDenied() {
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    actions.startAttempt(1, 8, 0);
                };
        acceptWaitingForConnection();
        assertTrue(forwarder.mayStart(started.get(1)));
        forwarder.endpointsUpdated(EndpointListKind.DELTA, List.of());
        assertEquals(events, List.of());
        denial = Outcome.CONNECT_FAILED;
        forwarder.endpointsUpdated(EndpointListKind.DELTA, List.of());
        assertEquals(events, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void noAttemptStartsAtARemovedEndpoint() {
        acceptWaitingForConnection();
        endpointKnown = false;
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    /** Only part of the body would be sent: the rest was sent with another attempt. */
    @Test
    public void noAttemptStartsOnceContentIsDiscarded() {
        acceptWaitingForConnection().discardContent();
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    /** Otherwise the client would wait until its deadline. */
    @Test
    public void exceptionInStartDenialDeniesTheAttempt() {
        acceptWaitingForConnection();
        onDenial =
                () -> {
                    throw new IllegalStateException("a fault of the balancer");
                };
        assertFalse(forwarder.mayStart(started.get(0)));
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    // ---- outcomes of abandoned attempts ----

    /** A failure would prevent a retry of a request that was never sent. */
    @Test
    public void waitingAttemptEndsAsConnectFailedAtTheDeadline() {
        acceptWaitingForConnection();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(
                events,
                List.of("abandon 0", "outcome 0 CONNECT_FAILED open", "refused", "client left"));
    }

    @Test
    public void attemptTimeoutBeforeConnectionEndsAsConnectFailed() {
        onRequest = () -> actions.startAttempt(1, 7, 5);
        acceptWaitingForConnection();
        timers.remove(1).run();
        assertEquals(events, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    /** The last byte was not sent, so the endpoint has not executed the attempt. */
    @Test
    public void partlyWrittenAttemptEndsAsNotStarted() {
        acceptWaitingForConnection();
        assertTrue(forwarder.mayStart(started.get(0)));
        actions.cancelAttempt(1, 0);
        assertEquals(events, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    private final class FakeTransport implements AttemptTransport<String, String> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return endpointKnown;
        }

        @Override
        public void startAttempt(RequestAttempt<String, String> attempt) {
            events.add("start " + attempt.number());
            started.add(attempt);
            if (refuseConnections) {
                forwarder.attemptEnded(attempt, Outcome.CONNECT_FAILED, null);
            } else if (!connectionPending && forwarder.mayStart(attempt)) {
                attempt.writeComplete(now);
            }
        }

        @Override
        public void abandonAttempt(RequestAttempt<String, String> attempt) {
            events.add("abandon " + attempt.number());
        }

        @Override
        public void sendProbe(long endpoint) {}

        @Override
        public void closeIdleConnections(long endpoint) {}
    }

    private final class FakeBalancer implements LoadBalancer {
        @Override
        public void onEndpoints(long at, EndpointListKind kind, List<Endpoint> entries) {}

        @Override
        public void onZoneShares(long at, List<ZoneTrafficShare> shares) {
            events.add("shares " + shares.size());
        }

        @Override
        public void onEndpointsUnavailable(long at) {}

        @Override
        public void onRequest(long at, Request request) {
            onRequest.run();
        }

        @Override
        public void onFirstByte(long at, long request, int attempt, long endpoint, long latency) {}

        @Override
        public void onAttemptEnded(
                long at,
                long request,
                int attempt,
                long endpoint,
                Outcome outcome,
                long latency,
                boolean settled,
                LoadReport load) {
            events.add("outcome " + attempt + " " + outcome + (settled ? " settled" : " open"));
            onOutcome.run();
        }

        @Override
        public Outcome startDenial(long at, long request, int attempt) {
            onDenial.run();
            return denial;
        }

        @Override
        public void onClientLeft(long at, long request) {
            events.add("client left");
        }

        @Override
        public void onTimer(long at, long token) {}

        @Override
        public void onProbeEnded(
                long at, long endpoint, Outcome outcome, long latency, LoadReport load) {}

        @Override
        public void onPeerMessage(long at, int from, byte[] message) {}
    }
}
