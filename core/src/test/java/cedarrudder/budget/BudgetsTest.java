package cedarrudder.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.BalancerSettings.Tenant;
import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback.UnservedReason;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the budgets of one tier, and of a chain of three. */
public class BudgetsTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int HIGH_CLASS = 0;
    private static final int LOW_CLASS = 1;
    private static final DownstreamFeedback OVERLOAD = feedback(0, UnservedReason.OVERLOAD);

    private final List<String> log = new ArrayList<>();
    private long now = 100 * SECOND;

    private static DownstreamFeedback feedback(int spent, UnservedReason reason) {
        return new DownstreamFeedback(spent, reason, HopPath.EMPTY);
    }

    @BeforeMethod
    public void clearLog() {
        log.clear();
    }

    private static BalancerSettings site(int tier) {
        RequestClass high =
                new RequestClass(
                        "best",
                        Idempotency.SAFE,
                        KeyScope.ALL,
                        300 * MILLI,
                        900 * MILLI,
                        6,
                        0,
                        0,
                        false);
        RequestClass low =
                new RequestClass(
                        "least",
                        Idempotency.UNSAFE,
                        KeyScope.ALL,
                        300 * MILLI,
                        900 * MILLI,
                        1,
                        0,
                        0,
                        false);
        return new BalancerSettings(
                1,
                0,
                0,
                tier,
                3,
                false,
                List.of(high, low),
                List.of(new Tenant("a", 0.5, 10), new Tenant("b", 0.5, 0)),
                new Limits(true, true, true, true, 4, 0, 0, 0),
                new SafetyRules(0, 1, 0, 1, 0, 0),
                new ServiceGoal(1, 0, 0, 0, 0.05),
                new ServicePrices(0, 0));
    }

    private Budgets budgets(int tier) {
        return new Budgets(
                BudgetSettings.of("tier-" + tier),
                site(tier),
                new SplittableRandom(7 + tier),
                new BudgetEvents() {
                    @Override
                    public void loopRejected(HopPath path, long more) {
                        log.add(path + " and " + more);
                    }

                    @Override
                    public void summarized(MinuteSummary figures) {
                        log.add(figures.toString());
                    }
                });
    }

    private RequestBudget receive(Budgets budgets, int classIndex, PropagatedBudget received) {
        return budgets.onRequest(
                now,
                new Request(1, classIndex, 1, now + 900 * MILLI, 0, false, false, 0),
                received);
    }

    private static PropagatedBudget receivedBudget(
            int tries, long grant, boolean repeat, String... path) {
        return new PropagatedBudget(
                true, true, 0, tries, grant, Double.NaN, repeat, HopPath.of(List.of(path)));
    }

    /** Returns how many further attempts a budget allows if none are propagated. */
    private int countFurtherAttempts(Budgets budgets, RequestBudget requestBudget) {
        assertTrue(budgets.tryAttempt(now, requestBudget), "the first");
        int further = 0;
        while (budgets.tryAttempt(now, requestBudget)) {
            further++;
        }
        return further;
    }

    // ---- attempts of one request over all tiers ----

    @Test
    public void requestGetsTheMinimumOfItsBudgetAndWhatTheTierAllows() {
        assertEquals(
                countFurtherAttempts(
                        budgets(0), receive(budgets(0), HIGH_CLASS, PropagatedBudget.NOTHING)),
                3);
        assertEquals(
                countFurtherAttempts(
                        budgets(1), receive(budgets(1), HIGH_CLASS, PropagatedBudget.NOTHING)),
                1);
        assertEquals(
                countFurtherAttempts(
                        budgets(1), receive(budgets(1), HIGH_CLASS, receivedBudget(2, 0, false))),
                2);
        assertEquals(
                countFurtherAttempts(
                        budgets(1), receive(budgets(1), HIGH_CLASS, receivedBudget(0, 0, false))),
                0);
        assertEquals(
                countFurtherAttempts(
                        budgets(1), receive(budgets(1), HIGH_CLASS, receivedBudget(999, 0, false))),
                3);
    }

    /** For example the same request by two paths, or consecutive requests of one endpoint. */
    @Test
    public void requestsUnderOneGrantShareOneBudget() {
        Budgets budgets = budgets(1);
        assertEquals(
                countFurtherAttempts(
                        budgets,
                        receive(budgets, HIGH_CLASS, receivedBudget(2, 77, false, "tier-0"))),
                2);
        RequestBudget second = receive(budgets, HIGH_CLASS, receivedBudget(3, 77, false, "other"));
        assertEquals(countFurtherAttempts(budgets, second), 0);
        assertEquals(second.failedFeedback(), feedback(2, UnservedReason.TRIES));
        assertEquals(
                countFurtherAttempts(
                        budgets,
                        receive(budgets, HIGH_CLASS, receivedBudget(2, 78, false, "tier-0"))),
                2);
    }

    /** A flood of forged grants must not evict a spent one, which would refill it. */
    @Test
    public void fullTableOfGrantsAllowsNoAttemptUntilGrantsExpire() {
        SharedBudgets grants = new SharedBudgets();
        for (int i = 1; i <= SharedBudgets.MAX_GRANTS; i++) {
            assertTrue(grants.budgetFor(now, i, 1, now + SECOND).hasRemaining());
        }
        assertFalse(grants.budgetFor(now, -1, 1, now + SECOND).hasRemaining());
        assertTrue(grants.budgetFor(now + 2 * SECOND, -1, 1, now + 3 * SECOND).hasRemaining());
        assertEquals(grants.size(), 1);
    }

    @Test
    public void propagatedBudgetCountsAsSpentUntilProvenUnused() {
        Budgets budgets = budgets(0);
        RequestBudget requestBudget = receive(budgets, HIGH_CLASS, receivedBudget(3, 0, false));
        PropagatedBudget first = attempt(budgets, requestBudget);
        assertEquals(first.attempts(), 2);
        budgets.onAttemptEnded(
                now, requestBudget, first, Outcome.CONNECT_FAILED, 0, DownstreamFeedback.NOTHING);
        assertEquals(requestBudget.failedFeedback().attemptsSpent(), 0);
        PropagatedBudget second = attempt(budgets, requestBudget);
        assertEquals(second.attempts(), 1);
        assertTrue(second.repeat());
        budgets.onAttemptEnded(
                now, requestBudget, second, Outcome.ERROR, 0, feedback(99, UnservedReason.UNKNOWN));
        assertEquals(
                requestBudget.failedFeedback().attemptsSpent(), 2, "no more than was propagated");
        PropagatedBudget third = attempt(budgets, requestBudget);
        assertEquals(third.attempts(), 0);
        budgets.onAttemptEnded(
                now, requestBudget, third, Outcome.ERROR, 0, feedback(0, UnservedReason.UNKNOWN));
        assertFalse(budgets.tryAttempt(now, requestBudget));
        assertEquals(requestBudget.failedFeedback(), feedback(3, UnservedReason.TRIES));
    }

    private PropagatedBudget attempt(Budgets budgets, RequestBudget requestBudget) {
        assertTrue(budgets.tryAttempt(now, requestBudget));
        return budgets.propagate(now, requestBudget);
    }

    /**
     * Three tiers whose endpoints send up to two requests further down, with the received fields
     * copied, and return the feedback or drop it; attempts end with every outcome.
     */
    @Test
    public void noRequestSpendsMoreThanItsBudgetOverAllTiers() {
        for (long seed = 1; seed <= 2_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Budgets[] tiers = {budgets(0), budgets(1), budgets(2)};
            int tries = random.nextInt(5);
            int[] spent = {0};
            simulateRequest(tiers, 0, receivedBudget(tries, 0, false), random, spent);
            assertTrue(
                    spent[0] <= Math.min(3, tries),
                    "seed " + seed + ": " + spent[0] + " of " + tries);
        }
    }

    /** Simulates one request at one tier and all tiers below; returns the feedback. */
    private DownstreamFeedback simulateRequest(
            Budgets[] tiers,
            int tier,
            PropagatedBudget received,
            SplittableRandom random,
            int[] spent) {
        Budgets budgets = tiers[tier];
        RequestBudget requestBudget = receive(budgets, HIGH_CLASS, received);
        for (int i = 0; i < 4 && budgets.tryAttempt(now, requestBudget); i++) {
            spent[0] += i > 0 ? 1 : 0;
            PropagatedBudget propagated = budgets.propagate(now, requestBudget);
            Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length - 1)];
            DownstreamFeedback below = DownstreamFeedback.NOTHING;
            for (int calls = random.nextInt(3);
                    calls > 0 && tier < 2 && !outcome.provesNotRun();
                    calls--) {
                PropagatedBudget copied =
                        BudgetFields.read(
                                BudgetFields.budget(propagated), BudgetFields.path(propagated));
                DownstreamFeedback feedback =
                        simulateRequest(tiers, tier + 1, copied, random, spent);
                below = random.nextBoolean() ? feedback : DownstreamFeedback.NOTHING;
            }
            budgets.onAttemptEnded(now, requestBudget, propagated, outcome, MILLI, below);
            if (outcome == Outcome.OK) {
                return requestBudget.servedFeedback();
            }
        }
        return requestBudget.failedFeedback();
    }

    // ---- attempts of all requests ----

    @Test
    public void furtherAttemptsAndRepeatsFromAboveStayWithinTheRetryBudget() {
        Budgets budgets = budgets(1);
        int further = 0;
        int repeats = 0;
        for (int i = 0; i < 1_000; i++) {
            now += 10 * MILLI;
            boolean repeat = i % 10 == 0;
            repeats += repeat ? 1 : 0;
            further +=
                    countFurtherAttempts(
                            budgets, receive(budgets, HIGH_CLASS, receivedBudget(1, 0, repeat)));
        }
        // 900 first attempts in the window: a fraction of 180, and 5 by the minimum rate.
        assertTrue(
                further + repeats <= 185 && further + repeats >= 180, further + " and " + repeats);
        now += 11 * SECOND;
        int idle = 0;
        for (int i = 0; i < 100; i++) {
            idle +=
                    countFurtherAttempts(
                            budgets, receive(budgets, HIGH_CLASS, receivedBudget(1, 0, false)));
        }
        assertEquals(idle, 25, "a fifth of 100, and 5");
    }

    @Test
    public void overloadFeedbackStopsRetriesAndIsPassedUpstream() {
        Budgets budgets = budgets(1);
        RequestBudget requestBudget = receive(budgets, HIGH_CLASS, receivedBudget(3, 0, false));
        PropagatedBudget propagated = attempt(budgets, requestBudget);
        budgets.onAttemptEnded(now, requestBudget, propagated, Outcome.ERROR, MILLI, OVERLOAD);
        assertFalse(budgets.tryAttempt(now, requestBudget));
        assertEquals(requestBudget.rejectedFeedback().reason(), UnservedReason.OVERLOAD);
    }

    @Test
    public void rejectionBeforeSendingOrByAFullEndpointIsReportedAsOverload() {
        Budgets budgets = budgets(1);
        assertEquals(
                receive(budgets, HIGH_CLASS, receivedBudget(3, 0, false))
                        .rejectedFeedback()
                        .reason(),
                UnservedReason.OVERLOAD);
        RequestBudget full = receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false));
        budgets.onAttemptEnded(
                now,
                full,
                attempt(budgets, full),
                Outcome.REJECTED,
                MILLI,
                DownstreamFeedback.NOTHING);
        assertEquals(full.rejectedFeedback().reason(), UnservedReason.OVERLOAD);
        assertNull(
                receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING).rejectedFeedback(),
                "a client without budget fields");
    }

    // ---- deadlines ----

    @Test
    public void defaultDeadlineFollowsClassTierAndObservedWaits() {
        for (int tier = 0; tier < 3; tier++) {
            Budgets budgets = budgets(tier);
            long max = 900 * MILLI * (3 - tier) / 3;
            assertEquals(budgets.defaultDeadline(HIGH_CLASS), max);
            recordWaits(budgets, 450 * MILLI / (1 + tier));
            long wait = 450 * MILLI / (1 + tier);
            assertTrue(
                    budgets.defaultDeadline(HIGH_CLASS) > 0.8 * wait
                            && budgets.defaultDeadline(HIGH_CLASS) <= wait,
                    "tier " + tier);
            assertEquals(budgets.defaultDeadline(LOW_CLASS), max, "another class");
            recordWaits(budgets, MILLI);
            assertEquals(
                    budgets.defaultDeadline(HIGH_CLASS),
                    300 * MILLI * (3 - tier) / 3,
                    "absurd deadlines are bounded below");
            recordWaits(budgets, 3_600 * SECOND);
            recordWaits(budgets, 3_600 * SECOND);
            assertEquals(budgets.defaultDeadline(HIGH_CLASS), max, "and above");
        }
    }

    private void recordWaits(Budgets budgets, long wait) {
        for (int i = 0; i < 2_000; i++) {
            budgets.onRequest(
                    now,
                    new Request(1, HIGH_CLASS, 0, now + wait, 0, false, false, 0),
                    PropagatedBudget.NOTHING);
        }
    }

    /** A client that gives no deadline shows by its disconnect how long it waits. */
    @Test
    public void disconnectsLowerTheDefaultDeadline() {
        Budgets budgets = budgets(0);
        for (int i = 0; i < 100; i++) {
            RequestBudget requestBudget =
                    receive(
                            budgets,
                            HIGH_CLASS,
                            PropagatedBudget.NOTHING.withClientDeadline(false));
            budgets.onClientLeft(now + 500 * MILLI, requestBudget);
        }
        assertTrue(
                budgets.defaultDeadline(HIGH_CLASS) <= 500 * MILLI,
                "" + budgets.defaultDeadline(HIGH_CLASS));
        assertTrue(
                budgets.defaultDeadline(HIGH_CLASS) >= 400 * MILLI,
                "" + budgets.defaultDeadline(HIGH_CLASS));
    }

    @Test
    public void propagatedTimeIsReducedByTheNetworkLatency() {
        Budgets budgets = budgets(0);
        assertEquals(
                attempt(budgets, receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING))
                        .remainingNanos(),
                899 * MILLI);
        for (int i = 0; i < 100; i++) {
            budgets.onProbeAnswered(i % 20 == 0 ? 400 * MILLI : 20 * MILLI);
        }
        long left =
                attempt(budgets, receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING))
                        .remainingNanos();
        assertTrue(left <= 880 * MILLI && left > 870 * MILLI, "left " + left);
        for (int i = 0; i < 1_000; i++) {
            budgets.onProbeAnswered(10 * SECOND);
        }
        assertEquals(
                attempt(budgets, receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING))
                        .remainingNanos(),
                675 * MILLI);
    }

    @Test
    public void requestsWithTooLittleTimeAreRejectedButNotForGood() {
        Budgets budgets = budgets(1);
        for (int i = 0; i < 60; i++) {
            RequestBudget requestBudget = receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false));
            budgets.onAttemptEnded(
                    now,
                    requestBudget,
                    attempt(budgets, requestBudget),
                    Outcome.OK,
                    200 * MILLI,
                    DownstreamFeedback.NOTHING);
        }
        Request late = new Request(1, HIGH_CLASS, 1, now + 100 * MILLI, 0, false, false, 0);
        RequestBudget requestBudget = budgets.onRequest(now, late, receivedBudget(0, 0, false));
        assertEquals(requestBudget.admissionHint(), AdmissionHint.DEADLINE_TOO_SHORT);
        assertEquals(requestBudget.rejectedFeedback().reason(), UnservedReason.TIME);
        now += 6 * SECOND;
        late = new Request(1, HIGH_CLASS, 1, now + 100 * MILLI, 0, false, false, 0);
        assertEquals(
                budgets.onRequest(now, late, receivedBudget(0, 0, false)).admissionHint(),
                AdmissionHint.ADMIT);
    }

    // ---- priority ----

    @Test
    public void lowestPriorityIsShedFirstWhileTheTierBelowIsOverloaded() {
        Budgets budgets = budgets(1);
        assertEquals(admitted(budgets, HIGH_CLASS) + admitted(budgets, LOW_CLASS), 200);
        for (int i = 0; i < 3; i++) {
            recordResponses(budgets, 20, 20);
            now += 300 * MILLI;
        }
        int low = 0;
        int high = 0;
        for (int i = 0; i < 100; i++) {
            high +=
                    receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false)).admissionHint()
                                    == AdmissionHint.ADMIT
                            ? 1
                            : 0;
            low +=
                    receive(budgets, LOW_CLASS, receivedBudget(0, 0, false)).admissionHint()
                                    == AdmissionHint.ADMIT
                            ? 1
                            : 0;
        }
        assertEquals(high, 100);
        assertTrue(low < 10, "admitted of the lowest priority: " + low);
        RequestBudget lowerPriority =
                receive(
                        budgets,
                        HIGH_CLASS,
                        new PropagatedBudget(true, true, 0, 0, 0, 0.05, false, HopPath.EMPTY));
        assertEquals(lowerPriority.priority(), 0.05, "the tier above gave it a lower priority");
        int steps = 0;
        while (admitted(budgets, LOW_CLASS) < 100) {
            now += 250 * MILLI;
            assertTrue(++steps < 40, "the lowest priority is never admitted in full again");
        }
        assertTrue(steps > 5, "recovery takes several steps");
    }

    /**
     * Records this many responses, the first of which report overload. As many requests of the
     * lowest priority arrive as of the highest.
     */
    private void recordResponses(Budgets budgets, int overloads, int responses) {
        for (int i = 0; i < responses; i++) {
            RequestBudget requestBudget = receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false));
            budgets.onAttemptEnded(
                    now,
                    requestBudget,
                    attempt(budgets, requestBudget),
                    Outcome.ERROR,
                    MILLI,
                    i < overloads ? OVERLOAD : DownstreamFeedback.NOTHING);
            receive(budgets, LOW_CLASS, receivedBudget(0, 0, false));
        }
    }

    /** A few responses prove nothing, and a single dead endpoint may cause one overload in ten. */
    @Test
    public void noRequestIsShedForFewResponsesOrASmallFractionOfOverloads() {
        Budgets budgets = budgets(1);
        recordResponses(budgets, 19, 19);
        now += 300 * MILLI;
        assertEquals(admitted(budgets, LOW_CLASS), 100, "19 responses");
        recordResponses(budgets, 0, 110);
        now += 300 * MILLI;
        recordResponses(budgets, 5, 50);
        now += 300 * MILLI;
        assertEquals(admitted(budgets, LOW_CLASS), 100, "one in ten");
        recordResponses(budgets, 1, 1);
        now += 300 * MILLI;
        recordResponses(budgets, 19, 19);
        now += 300 * MILLI;
        assertTrue(admitted(budgets, LOW_CLASS) < 100, "20 responses, over several steps");
    }

    private int admitted(Budgets budgets, int classIndex) {
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted +=
                    receive(budgets, classIndex, receivedBudget(0, 0, false)).admissionHint()
                                    == AdmissionHint.ADMIT
                            ? 1
                            : 0;
        }
        return admitted;
    }

    /**
     * Response latencies change the priority only if the site's weights are not per unit of work.
     */
    @Test
    public void priorityFollowsLatencyUnlessWeightsArePerUnitOfWork() {
        for (boolean byWork : new boolean[] {false, true}) {
            BalancerSettings site = site(1);
            ServiceGoal goal = new ServiceGoal(1, 0, 0, 0, 0.05, byWork);
            Budgets budgets =
                    new Budgets(
                            BudgetSettings.of("core"),
                            new BalancerSettings(
                                    1,
                                    0,
                                    0,
                                    1,
                                    3,
                                    false,
                                    site.classes(),
                                    List.of(),
                                    site.limits(),
                                    site.safety(),
                                    goal,
                                    site.prices()),
                            new SplittableRandom(7),
                            BudgetEvents.NONE);
            for (int i = 0; i < 100; i++) {
                int classIndex = i % 2;
                RequestBudget requestBudget =
                        receive(budgets, classIndex, receivedBudget(0, 0, false));
                budgets.onAttemptEnded(
                        now,
                        requestBudget,
                        attempt(budgets, requestBudget),
                        Outcome.OK,
                        classIndex == HIGH_CLASS ? 60 * MILLI : MILLI,
                        DownstreamFeedback.NOTHING);
            }
            double high = receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false)).priority();
            double low = receive(budgets, LOW_CLASS, receivedBudget(0, 0, false)).priority();
            assertTrue(byWork ? high > low : high < low, high + " and " + low);
        }
    }

    @Test
    public void priorityIsLowerOverQuotaOrForRepeatsAndNeverAboveTheTiersOwn() {
        Budgets budgets = budgets(0);
        Request first = new Request(1, HIGH_CLASS, 0, now + SECOND, 0, false, false, 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(budgets.onRequest(now, first, PropagatedBudget.NOTHING).priority(), 1.0);
        }
        assertEquals(budgets.onRequest(now, first, PropagatedBudget.NOTHING).priority(), 0.05);
        Request repeat = new Request(1, HIGH_CLASS, 1, now + SECOND, 0, true, false, 0);
        assertEquals(budgets.onRequest(now, repeat, PropagatedBudget.NOTHING).priority(), 0.8);
        PropagatedBudget forged =
                new PropagatedBudget(true, true, 0, 0, 0, 1, false, HopPath.EMPTY);
        assertEquals(receive(budgets, LOW_CLASS, forged).priority(), 1.0 / 6);
    }

    // ---- loops ----

    @Test
    public void loopIsRejectedReportedAndLoggedOnceAMinute() {
        Budgets budgets = budgets(1);
        for (int i = 0; i < 121; i++) {
            RequestBudget requestBudget =
                    receive(
                            budgets,
                            HIGH_CLASS,
                            receivedBudget(3, 0, false, "tier-0", "tier-1", "x" + i % 2));
            assertEquals(requestBudget.admissionHint(), AdmissionHint.LOOP);
            assertFalse(budgets.tryAttempt(now, requestBudget), "not even the first attempt");
            assertEquals(requestBudget.rejectedFeedback().reason(), UnservedReason.LOOP);
            assertEquals(
                    requestBudget.loop().toString(), "tier-0 > tier-1 > x" + i % 2 + " > tier-1");
            now += SECOND;
        }
        String even = "tier-0 > tier-1 > x0 > tier-1 and ";
        String odd = "tier-0 > tier-1 > x1 > tier-1 and ";
        assertEquals(log, List.of(even + 0, odd + 0, even + 29, odd + 29, even + 29));
    }

    @Test
    public void pathOfMaximumLengthIsRejectedAndForgedLoopsDoNotFillTheLog() {
        Budgets budgets = budgets(1);
        String[] strangers = {"a", "b", "c", "d", "e", "f", "g", "h"};
        assertEquals(
                receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false, strangers))
                        .admissionHint(),
                AdmissionHint.LOOP);
        for (int i = 0; i < 1_000; i++) {
            receive(budgets, HIGH_CLASS, receivedBudget(0, 0, false, "tier-1", "forged-" + i));
        }
        assertEquals(log.size(), LoopReporter.MAX_LOOPS);
    }

    @Test
    public void deniedAttemptsAreSummarizedOnceAMinute() {
        Budgets budgets = budgets(0);
        countFurtherAttempts(budgets, receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING));
        now += 61 * SECOND;
        receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING);
        now += 61 * SECOND;
        receive(budgets, HIGH_CLASS, PropagatedBudget.NOTHING);
        assertEquals(log, List.of(new BudgetEvents.MinuteSummary(2, 1, 0, 0, 0, 100).toString()));
    }
}
