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
 * What the balancer is told, and what is carried out, with every part round the driver played by
 * the test.
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

    private final List<String> seen = new ArrayList<>();
    private final List<RequestAttempt<String, String>> started = new ArrayList<>();
    private final List<Runnable> timers = new ArrayList<>();
    private Runnable onRequest;
    private Runnable onOutcome;
    private Runnable onDenial;
    private boolean refuseConnections;
    private boolean dials;
    private boolean waits;
    private boolean inSight;
    private Outcome denial;
    private boolean knows;
    private Budgets budgets;
    private RequestMetrics figures;
    private long now;
    private Actions actions;
    private RequestForwarder<String, String> driver;

    @BeforeMethod
    public void start() {
        seen.clear();
        started.clear();
        timers.clear();
        now = 1;
        refuseConnections = false;
        dials = false;
        waits = true;
        inSight = true;
        denial = null;
        knows = true;
        budgets = null;
        onRequest = () -> actions.startAttempt(1, 7, 0);
        onOutcome = () -> {};
        onDenial = () -> {};
        build();
    }

    /** Detects a request that is counted twice, or not at all, however it ended. */
    @AfterMethod
    public void everyRpcTakenIsCountedOnce() {
        long ended = Arrays.stream(End.values()).mapToLong(how -> figures.ended(0, how)).sum();
        assertEquals(figures.accepted(0), ended + figures.openRequests());
        assertEquals(figures.ended(0, End.SERVED), said("served"));
        assertEquals(figures.ended(0, End.REJECTED), said("refused"));
        assertEquals(figures.ended(0, End.FAILED), said("failed"));
    }

    private long said(String word) {
        return seen.stream().filter(line -> line.startsWith(word)).count();
    }

    private void build() {
        figures = new RequestMetrics(1);
        driver =
                new RequestForwarder<>(
                        did -> {
                            actions = did;
                            return new Module();
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
                        figures);
        driver.attach(new Client(), null, null);
    }

    private void accept() {
        accept(PropagatedBudget.NOTHING);
    }

    private Exchange<String, String> accept(PropagatedBudget carried) {
        var request = new LoadBalancer.Request(1, 0, 0, DEADLINE, 0, false, false, 0);
        Exchange<String, String> exchange =
                new Exchange<>(
                        request,
                        "q",
                        new Exchange.Reply<>() {
                            @Override
                            public void served(String answer) {
                                seen.add("served " + answer);
                            }

                            @Override
                            public void rejected(long retryAfter) {
                                seen.add("refused");
                            }

                            @Override
                            public void failed() {
                                seen.add("failed");
                            }

                            @Override
                            public boolean isClientWaiting() {
                                return waits;
                            }

                            @Override
                            public boolean canDetectDisconnect() {
                                return inSight;
                            }
                        },
                        carried);
        driver.accept(exchange);
        return exchange;
    }

    @Test
    public void anActionNeverReentersTheModule() {
        refuseConnections = true;
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    seen.add("request handled");
                };
        accept();
        assertEquals(seen, List.of("start 0", "request handled", "outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void theFirstServedAttemptEndsTheRpcAndTheOtherIsSettled() {
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    actions.startAttempt(1, 8, 0);
                };
        accept();
        driver.served(started.get(1), "b", null);
        driver.served(started.get(0), "a", null);
        assertEquals(
                seen,
                List.of(
                        "start 0",
                        "start 1",
                        "served b",
                        "outcome 1 OK settled",
                        "outcome 0 OK settled"));
    }

    /** Detects a process that stood still and sends its first request by shares that are over. */
    @Test
    public void sharesAreOverBeforeTheNextEventOnceTheirTimeIs() {
        driver.zoneSharesValidUntil(100);
        driver.zoneSharesUpdated(List.of(new LoadBalancer.ZoneTrafficShare(0, 10_000, 0)));
        driver.onZoneShareUsed(() -> seen.add("by shares"));
        accept();
        now = 100;
        driver.endpointsUpdated(LoadBalancer.EndpointListKind.DELTA, List.of());
        driver.endpointsUpdated(LoadBalancer.EndpointListKind.DELTA, List.of());
        assertEquals(seen, List.of("shares 1", "by shares", "start 0", "shares 0"));
    }

    @Test
    public void whatIsOverIsNotKeptUntilItsDeadline() {
        accept();
        assertEquals(timers.size(), 1);
        driver.served(started.get(0), "a", null);
        assertEquals(timers.size(), 0);
    }

    @Test
    public void attemptsBeyondTheMostAreMoot() {
        onRequest =
                () -> {
                    for (int i = 0; i <= MAX_ATTEMPTS; i++) {
                        actions.startAttempt(1, 7, 0);
                    }
                };
        accept();
        assertEquals(seen, List.of("start 0", "start 1", "outcome 2 NOT_STARTED open"));
    }

    /** Another endpoint may be there: only what may not be sent at all is moot. */
    @Test
    public void anAttemptAtAnUnknownNodeCouldNotConnect() {
        knows = false;
        accept();
        assertEquals(seen, List.of("outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void anAttemptThatTheBudgetDeniesIsMootAndTheAnswerSaysWhy() {
        budgets =
                new Budgets(
                        BudgetSettings.of("front"),
                        SITE,
                        new SplittableRandom(1),
                        BudgetEvents.NONE);
        build();
        onOutcome =
                () -> {
                    if (seen.size() == 2) {
                        actions.startAttempt(1, 8, 0);
                    } else {
                        actions.fail(1);
                    }
                };
        Exchange<String, String> exchange =
                accept(new PropagatedBudget(true, true, 0, 0, 0, 1, false, HopPath.EMPTY));
        assertEquals(started.get(0).propagatedBudget().path().hops(), List.of("front"));
        driver.attemptEnded(started.get(0), Outcome.RESET, null);
        assertEquals(
                seen,
                List.of("start 0", "outcome 0 RESET open", "outcome 1 NOT_STARTED open", "failed"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(0, DownstreamFeedback.Why.TRIES, HopPath.EMPTY));
    }

    /** A hedged request that is denied leaves the first attempt alone, which may well be served. */
    @Test
    public void aSecondCopyThatTheBudgetDeniesLeavesTheFirstAttemptOut() {
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
        driver.served(started.get(0), "a", null);
        assertEquals(
                seen,
                List.of(
                        "start 0",
                        "outcome 1 NOT_STARTED open",
                        "served a",
                        "outcome 0 OK settled"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(0, DownstreamFeedback.Why.UNKNOWN, HopPath.EMPTY));
    }

    @Test
    public void aLoopIsNotSentEvenWhereTheModuleDoesNotListen() {
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
        assertEquals(seen, List.of("outcome 0 NOT_STARTED open", "refused"));
        assertEquals(
                exchange.feedback(),
                new DownstreamFeedback(
                        0,
                        DownstreamFeedback.Why.LOOP,
                        HopPath.of(List.of("front", "core", "front"))));
    }

    @Test
    public void givingUpAbandonsTheAttemptAndLaterNewsOfItIsIgnored() {
        accept();
        actions.cancelAttempt(1, 0);
        driver.served(started.get(0), "late", null);
        assertEquals(seen, List.of("start 0", "abandon 0", "outcome 0 CANCELLED open"));
    }

    @Test
    public void atTheDeadlineWhatIsOutTimesOutAndTheModuleEndsIt() {
        onOutcome = () -> actions.fail(1);
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        assertEquals(seen, List.of("start 0", "abandon 0", "outcome 0 TIMEOUT open", "failed"));
    }

    /** Detects further attempts for a request that has no time left, since its process ends. */
    @Test
    public void anRpcThatIsCutOffBeforeItsTimeIsEndedAndNotSentAgain() {
        onOutcome =
                () -> {
                    onOutcome = () -> actions.fail(1);
                    actions.startAttempt(1, 8, 0);
                };
        driver.expireNow(accept(PropagatedBudget.NOTHING));
        assertEquals(
                seen,
                List.of(
                        "start 0",
                        "abandon 0",
                        "outcome 0 TIMEOUT open",
                        "outcome 1 NOT_STARTED open",
                        "failed"));
    }

    /** Detects a refusal, which invites a repeat, of what may have run. */
    @Test
    public void anRpcThatTheModuleForgetsFailsWhereItMayHaveRun() {
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(
                seen,
                List.of("start 0", "abandon 0", "outcome 0 TIMEOUT open", "failed", "client left"));
    }

    /** Detects an answer that forbids a repeat of what was never forwarded. */
    @Test
    public void anRpcThatTheModuleForgetsIsRefusedWhereItCanNotHaveRun() {
        onRequest =
                () -> {
                    throw new IllegalStateException("a fault of the module");
                };
        accept();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(seen, List.of("refused", "client left"));
    }

    /** Detects an error of the virtual machine's in one event taking those behind it away. */
    @Test
    public void anErrorInTheModuleIsNoMoreThanAFault() {
        onRequest =
                () -> {
                    throw new StackOverflowError("made on purpose");
                };
        Exchange<String, String> exchange = accept(PropagatedBudget.NOTHING);
        driver.clientLeft(exchange);
        assertEquals(seen, List.of("client left"));
    }

    // ---- the gate before the first byte ----

    /** Takes a request whose first attempt waits for its connection. */
    private Exchange<String, String> acceptDialling() {
        dials = true;
        Exchange<String, String> exchange = accept(PropagatedBudget.NOTHING);
        seen.clear();
        return exchange;
    }

    /** Detects a request that goes out for a client that left while the connection came up. */
    @Test
    public void whatWaitsForItsConnectionAsItsCallerLeavesNeverBegins() {
        driver.clientLeft(acceptDialling());
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "client left"));
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen.size(), 3);
    }

    /** Detects replicas that begin after another was served, or began to be. */
    @Test
    public void whatWaitsForItsConnectionAsAnotherIsServedNeverBegins() {
        for (boolean flows : new boolean[] {false, true}) {
            start();
            onRequest =
                    () -> {
                        actions.startAttempt(1, 7, 0);
                        actions.startAttempt(1, 8, 0);
                    };
            acceptDialling();
            assertTrue(driver.mayStart(started.get(1)));
            started.get(1).writeComplete(now);
            if (flows) {
                driver.responseStarted(started.get(1), "b", null);
                driver.served(started.get(1), "b", null);
            } else {
                driver.served(started.get(1), "b", null);
            }
            assertEquals(
                    seen,
                    List.of(
                            "abandon 0",
                            "served b",
                            "outcome 1 OK settled",
                            "outcome 0 NOT_STARTED settled"));
            assertFalse(driver.mayStart(started.get(0)));
        }
    }

    @Test
    public void whatWaitsForItsConnectionAsTheModuleEndsItsRpcNeverBegins() {
        acceptDialling();
        onOutcome = () -> {};
        actions.reject(1, 0);
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "refused"));
        assertFalse(driver.mayStart(started.get(0)));
    }

    /** Detects the same where nobody has read yet that the client is gone. */
    @Test
    public void aCallerIsLookedForAsAnAttemptBegins() {
        acceptDialling();
        waits = false;
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED settled", "client left"));
    }

    /** Detects an attempt for a client that may have gone unseen; what is out for it goes on. */
    @Test
    public void nothingBeginsForACallerOutOfSight() {
        acceptDialling();
        inSight = false;
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    @Test
    public void nothingBeginsOnceItsTimeIsOverThoughNoTimerHasTold() {
        acceptDialling();
        now = DEADLINE;
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    @Test
    public void whatTheModuleDeniesEndsWithItsWord() {
        for (Outcome word : List.of(Outcome.NOT_STARTED, Outcome.CONNECT_FAILED)) {
            start();
            acceptDialling();
            denial = word;
            assertFalse(driver.mayStart(started.get(0)));
            assertEquals(seen, List.of("abandon 0", "outcome 0 " + word + " open"));
        }
    }

    /**
     * Detects a wait for a connection that nothing may be forwarded, while another endpoint may
     * take it.
     */
    @Test
    public void aListThatDeniesWhatWaitsEndsItAtOnceAndNothingElse() {
        onRequest =
                () -> {
                    actions.startAttempt(1, 7, 0);
                    actions.startAttempt(1, 8, 0);
                };
        acceptDialling();
        assertTrue(driver.mayStart(started.get(1)));
        driver.endpointsUpdated(EndpointListKind.DELTA, List.of());
        assertEquals(seen, List.of());
        denial = Outcome.CONNECT_FAILED;
        driver.endpointsUpdated(EndpointListKind.DELTA, List.of());
        assertEquals(seen, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    @Test
    public void nothingBeginsAtANodeThatHasLeftTheList() {
        acceptDialling();
        knows = false;
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    /** Detects half a body: some of it went out with another attempt. */
    @Test
    public void nothingBeginsWhoseContentIsSpent() {
        acceptDialling().discardContent();
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    /** Detects a client that waits until its deadline, since the balancer could not say. */
    @Test
    public void aFaultOfTheModulesAtTheGateIsNoMoreThanAFault() {
        acceptDialling();
        onDenial =
                () -> {
                    throw new IllegalStateException("a fault of the module");
                };
        assertFalse(driver.mayStart(started.get(0)));
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    // ---- what an attempt that is given up says ----

    /** Detects an answer that forbids a repeat of what was never sent. */
    @Test
    public void atTheDeadlineWhatWaitsForItsConnectionCouldNotConnect() {
        acceptDialling();
        now = DEADLINE;
        timers.remove(0).run();
        timers.remove(0).run();
        assertEquals(
                seen,
                List.of("abandon 0", "outcome 0 CONNECT_FAILED open", "refused", "client left"));
    }

    @Test
    public void anAttemptsTimeOutBeforeItsConnectionIsUpCouldNotConnect() {
        onRequest = () -> actions.startAttempt(1, 7, 5);
        acceptDialling();
        timers.remove(1).run();
        assertEquals(seen, List.of("abandon 0", "outcome 0 CONNECT_FAILED open"));
    }

    /** Its last byte is not out, so its endpoint has not begun it. */
    @Test
    public void whatIsHalfWrittenHasNotRun() {
        acceptDialling();
        assertTrue(driver.mayStart(started.get(0)));
        actions.cancelAttempt(1, 0);
        assertEquals(seen, List.of("abandon 0", "outcome 0 NOT_STARTED open"));
    }

    private final class Client implements AttemptTransport<String, String> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return knows;
        }

        @Override
        public void startAttempt(RequestAttempt<String, String> attempt) {
            seen.add("start " + attempt.number());
            started.add(attempt);
            if (refuseConnections) {
                driver.attemptEnded(attempt, Outcome.CONNECT_FAILED, null);
            } else if (!dials && driver.mayStart(attempt)) {
                attempt.writeComplete(now);
            }
        }

        @Override
        public void abandonAttempt(RequestAttempt<String, String> attempt) {
            seen.add("abandon " + attempt.number());
        }

        @Override
        public void sendProbe(long endpoint) {}

        @Override
        public void closeIdleConnections(long endpoint) {}
    }

    private final class Module implements LoadBalancer {
        @Override
        public void onEndpoints(long at, EndpointListKind kind, List<Endpoint> entries) {}

        @Override
        public void onZoneShares(long at, List<ZoneTrafficShare> shares) {
            seen.add("shares " + shares.size());
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
            seen.add("outcome " + attempt + " " + outcome + (settled ? " settled" : " open"));
            onOutcome.run();
        }

        @Override
        public Outcome startDenial(long at, long request, int attempt) {
            onDenial.run();
            return denial;
        }

        @Override
        public void onClientLeft(long at, long request) {
            seen.add("client left");
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
