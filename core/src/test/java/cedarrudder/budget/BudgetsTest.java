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
import cedarrudder.budget.DownstreamFeedback.Why;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The budgets of one tier, and of a chain of three. */
public class BudgetsTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int BEST = 0;
    private static final int MIN = 1;
    private static final DownstreamFeedback OVERLOAD = result(0, Why.OVERLOAD);

    private final List<String> log = new ArrayList<>();
    private long now = 100 * SECOND;

    private static DownstreamFeedback result(int spent, Why why) {
        return new DownstreamFeedback(spent, why, HopPath.EMPTY);
    }

    @BeforeMethod
    public void forget() {
        log.clear();
    }

    private static BalancerSettings site(int tier) {
        RequestClass best =
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
        RequestClass min =
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
                List.of(best, min),
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

    private RequestBudget call(Budgets budgets, int kind, PropagatedBudget carried) {
        return budgets.onRequest(
                now, new Request(1, kind, 1, now + 900 * MILLI, 0, false, false, 0), carried);
    }

    private static PropagatedBudget said(int tries, long grant, boolean repeat, String... path) {
        return new PropagatedBudget(
                true, true, 0, tries, grant, Double.NaN, repeat, HopPath.of(List.of(path)));
    }

    /** How many further attempts a budget allows, with nothing handed down. */
    private int further(Budgets budgets, RequestBudget call) {
        assertTrue(budgets.mayAttempt(now, call), "the first");
        int further = 0;
        while (budgets.mayAttempt(now, call)) {
            further++;
        }
        return further;
    }

    // ---- attempts of one tree ----

    @Test
    public void aCallGetsTheLeastOfWhatItSaysAndWhatTheTierAllows() {
        assertEquals(further(budgets(0), call(budgets(0), BEST, PropagatedBudget.NOTHING)), 3);
        assertEquals(further(budgets(1), call(budgets(1), BEST, PropagatedBudget.NOTHING)), 1);
        assertEquals(further(budgets(1), call(budgets(1), BEST, said(2, 0, false))), 2);
        assertEquals(further(budgets(1), call(budgets(1), BEST, said(0, 0, false))), 0);
        assertEquals(further(budgets(1), call(budgets(1), BEST, said(999, 0, false))), 3);
    }

    /** The same request by two paths, or the calls of one endpoint one after another. */
    @Test
    public void callsUnderOneGrantShareOneBudgetWhateverTheySay() {
        Budgets budgets = budgets(1);
        assertEquals(further(budgets, call(budgets, BEST, said(2, 77, false, "tier-0"))), 2);
        RequestBudget second = call(budgets, BEST, said(3, 77, false, "other"));
        assertEquals(further(budgets, second), 0);
        assertEquals(second.failedFeedback(), result(2, Why.TRIES));
        assertEquals(further(budgets, call(budgets, BEST, said(2, 78, false, "tier-0"))), 2);
    }

    /** Detects a flood of made-up grants pushing out one that is spent. */
    @Test
    public void aFullTableOfGrantsGivesNothingAndIsFreeAgainWhenTheyExpire() {
        SharedBudgets grants = new SharedBudgets();
        for (int i = 1; i <= SharedBudgets.MAX; i++) {
            assertTrue(grants.of(now, i, 1, now + SECOND).covers());
        }
        assertFalse(grants.of(now, -1, 1, now + SECOND).covers());
        assertTrue(grants.of(now + 2 * SECOND, -1, 1, now + 3 * SECOND).covers());
        assertEquals(grants.size(), 1);
    }

    @Test
    public void whatIsHandedDownIsSpentUntilItIsProvenUnused() {
        Budgets budgets = budgets(0);
        RequestBudget call = call(budgets, BEST, said(3, 0, false));
        PropagatedBudget first = attempt(budgets, call);
        assertEquals(first.attempts(), 2);
        budgets.onAttemptEnded(
                now, call, first, Outcome.CONNECT_FAILED, 0, DownstreamFeedback.NOTHING);
        assertEquals(call.failedFeedback().attemptsSpent(), 0);
        PropagatedBudget second = attempt(budgets, call);
        assertEquals(second.attempts(), 1);
        assertTrue(second.repeat());
        budgets.onAttemptEnded(now, call, second, Outcome.ERROR, 0, result(99, Why.UNKNOWN));
        assertEquals(call.failedFeedback().attemptsSpent(), 2, "no more than was handed down");
        PropagatedBudget third = attempt(budgets, call);
        assertEquals(third.attempts(), 0);
        budgets.onAttemptEnded(now, call, third, Outcome.ERROR, 0, result(0, Why.UNKNOWN));
        assertFalse(budgets.mayAttempt(now, call));
        assertEquals(call.failedFeedback(), result(3, Why.TRIES));
    }

    private PropagatedBudget attempt(Budgets budgets, RequestBudget call) {
        assertTrue(budgets.mayAttempt(now, call));
        return budgets.propagate(now, call);
    }

    /**
     * Three tiers with endpoints that call on once or twice and copy what they were given or some
     * of it, and attempts that end in every way: the further attempts of a tree never pass its
     * budget.
     */
    @Test
    public void noTreeSpendsMoreThanItsBudget() {
        for (long seed = 1; seed <= 2_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Budgets[] tiers = {budgets(0), budgets(1), budgets(2)};
            int tries = random.nextInt(5);
            int[] spent = {0};
            play(tiers, 0, said(tries, 0, false), random, spent);
            assertTrue(
                    spent[0] <= Math.min(3, tries),
                    "seed " + seed + ": " + spent[0] + " of " + tries);
        }
    }

    /** One call at one tier: true and what goes up, if it was served. */
    private DownstreamFeedback play(
            Budgets[] tiers,
            int tier,
            PropagatedBudget carried,
            SplittableRandom random,
            int[] spent) {
        Budgets budgets = tiers[tier];
        RequestBudget call = call(budgets, BEST, carried);
        for (int i = 0; i < 4 && budgets.mayAttempt(now, call); i++) {
            spent[0] += i > 0 ? 1 : 0;
            PropagatedBudget handed = budgets.propagate(now, call);
            Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length - 1)];
            DownstreamFeedback below = DownstreamFeedback.NOTHING;
            for (int calls = random.nextInt(3);
                    calls > 0 && tier < 2 && !outcome.provesNotRun();
                    calls--) {
                PropagatedBudget copied =
                        BudgetFields.read(BudgetFields.budget(handed), BudgetFields.path(handed));
                DownstreamFeedback result = play(tiers, tier + 1, copied, random, spent);
                below = random.nextBoolean() ? result : DownstreamFeedback.NOTHING;
            }
            budgets.onAttemptEnded(now, call, handed, outcome, MILLI, below);
            if (outcome == Outcome.OK) {
                return call.servedFeedback();
            }
        }
        return call.failedFeedback();
    }

    // ---- attempts of all requests ----

    @Test
    public void furtherAttemptsAndRepeatsFromAboveStayWithinTheShareOfTheWindow() {
        Budgets budgets = budgets(1);
        int further = 0;
        int repeats = 0;
        for (int i = 0; i < 1_000; i++) {
            now += 10 * MILLI;
            boolean repeat = i % 10 == 0;
            repeats += repeat ? 1 : 0;
            further += further(budgets, call(budgets, BEST, said(1, 0, repeat)));
        }
        // 900 first tries in the window: a share of 180 and the least rate's 5.
        assertTrue(
                further + repeats <= 185 && further + repeats >= 180, further + " and " + repeats);
        now += 11 * SECOND;
        int idle = 0;
        for (int i = 0; i < 100; i++) {
            idle += further(budgets, call(budgets, BEST, said(1, 0, false)));
        }
        assertEquals(idle, 25, "a fifth of 100, and 5");
    }

    @Test
    public void anAnswerThatSaysOverloadEndsTheAttemptsHereAndIsSaidAbove() {
        Budgets budgets = budgets(1);
        RequestBudget call = call(budgets, BEST, said(3, 0, false));
        PropagatedBudget handed = attempt(budgets, call);
        budgets.onAttemptEnded(now, call, handed, Outcome.ERROR, MILLI, OVERLOAD);
        assertFalse(budgets.mayAttempt(now, call));
        assertEquals(call.rejectedFeedback().why(), Why.OVERLOAD);
    }

    @Test
    public void whatIsTurnedAwayUnsentOrByAFullNodeIsOverload() {
        Budgets budgets = budgets(1);
        assertEquals(call(budgets, BEST, said(3, 0, false)).rejectedFeedback().why(), Why.OVERLOAD);
        RequestBudget full = call(budgets, BEST, said(0, 0, false));
        budgets.onAttemptEnded(
                now,
                full,
                attempt(budgets, full),
                Outcome.REJECTED,
                MILLI,
                DownstreamFeedback.NOTHING);
        assertEquals(full.rejectedFeedback().why(), Why.OVERLOAD);
        assertNull(
                call(budgets, BEST, PropagatedBudget.NOTHING).rejectedFeedback(),
                "a caller that speaks none of this");
    }

    // ---- time ----

    @Test
    public void aSafeWaitComesFromClassAndTierAndWhatCallersWaited() {
        for (int tier = 0; tier < 3; tier++) {
            Budgets budgets = budgets(tier);
            long max = 900 * MILLI * (3 - tier) / 3;
            assertEquals(budgets.defaultDeadline(BEST), max);
            waits(budgets, 450 * MILLI / (1 + tier));
            long wait = 450 * MILLI / (1 + tier);
            assertTrue(
                    budgets.defaultDeadline(BEST) > 0.8 * wait
                            && budgets.defaultDeadline(BEST) <= wait,
                    "tier " + tier);
            assertEquals(budgets.defaultDeadline(MIN), max, "another class");
            waits(budgets, MILLI);
            assertEquals(
                    budgets.defaultDeadline(BEST),
                    300 * MILLI * (3 - tier) / 3,
                    "nonsense is bounded below");
            waits(budgets, 3_600 * SECOND);
            waits(budgets, 3_600 * SECOND);
            assertEquals(budgets.defaultDeadline(BEST), max, "and above");
        }
    }

    private void waits(Budgets budgets, long wait) {
        for (int i = 0; i < 2_000; i++) {
            budgets.onRequest(
                    now,
                    new Request(1, BEST, 0, now + wait, 0, false, false, 0),
                    PropagatedBudget.NOTHING);
        }
    }

    /** A client that doesn't say how long it waits, and leaves, has shown it. */
    @Test
    public void callersWhoLeaveTeachTheSafeWait() {
        Budgets budgets = budgets(0);
        for (int i = 0; i < 100; i++) {
            RequestBudget call =
                    call(budgets, BEST, PropagatedBudget.NOTHING.withClientDeadline(false));
            budgets.onClientLeft(now + 500 * MILLI, call);
        }
        assertTrue(
                budgets.defaultDeadline(BEST) <= 500 * MILLI, "" + budgets.defaultDeadline(BEST));
        assertTrue(
                budgets.defaultDeadline(BEST) >= 400 * MILLI, "" + budgets.defaultDeadline(BEST));
    }

    @Test
    public void theTimeHandedDownIsLessThanWhatIsLeftByTheMeasuredWay() {
        Budgets budgets = budgets(0);
        assertEquals(
                attempt(budgets, call(budgets, BEST, PropagatedBudget.NOTHING)).remainingNanos(),
                899 * MILLI);
        for (int i = 0; i < 100; i++) {
            budgets.onProbeAnswered(i % 20 == 0 ? 400 * MILLI : 20 * MILLI);
        }
        long left =
                attempt(budgets, call(budgets, BEST, PropagatedBudget.NOTHING)).remainingNanos();
        assertTrue(left <= 880 * MILLI && left > 870 * MILLI, "left " + left);
        for (int i = 0; i < 1_000; i++) {
            budgets.onProbeAnswered(10 * SECOND);
        }
        assertEquals(
                attempt(budgets, call(budgets, BEST, PropagatedBudget.NOTHING)).remainingNanos(),
                675 * MILLI);
    }

    @Test
    public void workWhoseTimeCannotSufficeIsTurnedAwayButNotForGood() {
        Budgets budgets = budgets(1);
        for (int i = 0; i < 60; i++) {
            RequestBudget call = call(budgets, BEST, said(0, 0, false));
            budgets.onAttemptEnded(
                    now,
                    call,
                    attempt(budgets, call),
                    Outcome.OK,
                    200 * MILLI,
                    DownstreamFeedback.NOTHING);
        }
        Request late = new Request(1, BEST, 1, now + 100 * MILLI, 0, false, false, 0);
        RequestBudget call = budgets.onRequest(now, late, said(0, 0, false));
        assertEquals(call.standing(), AdmissionHint.DEADLINE_TOO_SHORT);
        assertEquals(call.rejectedFeedback().why(), Why.TIME);
        now += 6 * SECOND;
        late = new Request(1, BEST, 1, now + 100 * MILLI, 0, false, false, 0);
        assertEquals(
                budgets.onRequest(now, late, said(0, 0, false)).standing(), AdmissionHint.ADMIT);
    }

    // ---- worth ----

    @Test
    public void theLeastWorthGoesFirstWhileTheTierBelowSaysOverload() {
        Budgets budgets = budgets(1);
        assertEquals(admitted(budgets, BEST) + admitted(budgets, MIN), 200);
        for (int i = 0; i < 3; i++) {
            overloaded(budgets, 20, 20);
            now += 300 * MILLI;
        }
        int min = 0;
        int best = 0;
        for (int i = 0; i < 100; i++) {
            best +=
                    call(budgets, BEST, said(0, 0, false)).standing() == AdmissionHint.ADMIT
                            ? 1
                            : 0;
            min += call(budgets, MIN, said(0, 0, false)).standing() == AdmissionHint.ADMIT ? 1 : 0;
        }
        assertEquals(best, 100);
        assertTrue(min < 10, "let in of the least " + min);
        RequestBudget carriedLess =
                call(
                        budgets,
                        BEST,
                        new PropagatedBudget(true, true, 0, 0, 0, 0.05, false, HopPath.EMPTY));
        assertEquals(carriedLess.priority(), 0.05, "the tier above knows it to be worth less");
        int steps = 0;
        while (admitted(budgets, MIN) < 100) {
            now += 250 * MILLI;
            assertTrue(++steps < 40, "it never comes back");
        }
        assertTrue(steps > 5, "a flood at once");
    }

    /**
     * This many answers, the first of which say overload; as many of the least worth come as of the
     * best.
     */
    private void overloaded(Budgets budgets, int overloads, int answers) {
        for (int i = 0; i < answers; i++) {
            RequestBudget call = call(budgets, BEST, said(0, 0, false));
            budgets.onAttemptEnded(
                    now,
                    call,
                    attempt(budgets, call),
                    Outcome.ERROR,
                    MILLI,
                    i < overloads ? OVERLOAD : DownstreamFeedback.NOTHING);
            call(budgets, MIN, said(0, 0, false));
        }
    }

    /**
     * A few answers prove nothing, and one in ten is what an endpoint that died makes of a good
     * tier.
     */
    @Test
    public void nobodyIsTurnedAwayForAFewAnswersOrASmallPartOfThem() {
        Budgets budgets = budgets(1);
        overloaded(budgets, 19, 19);
        now += 300 * MILLI;
        assertEquals(admitted(budgets, MIN), 100, "19 answers");
        overloaded(budgets, 0, 110);
        now += 300 * MILLI;
        overloaded(budgets, 5, 50);
        now += 300 * MILLI;
        assertEquals(admitted(budgets, MIN), 100, "one in ten");
        overloaded(budgets, 1, 1);
        now += 300 * MILLI;
        overloaded(budgets, 19, 19);
        now += 300 * MILLI;
        assertTrue(admitted(budgets, MIN) < 100, "20 answers, over several steps");
    }

    private int admitted(Budgets budgets, int kind) {
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            admitted +=
                    call(budgets, kind, said(0, 0, false)).standing() == AdmissionHint.ADMIT
                            ? 1
                            : 0;
        }
        return admitted;
    }

    /**
     * Where worth is for each unit of work already, how long the answers of a class take changes
     * nothing.
     */
    @Test
    public void worthForWorkIsByWhatAnswersTakeUnlessTheSiteCountsItSo() {
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
                int kind = i % 2;
                RequestBudget call = call(budgets, kind, said(0, 0, false));
                budgets.onAttemptEnded(
                        now,
                        call,
                        attempt(budgets, call),
                        Outcome.OK,
                        kind == BEST ? 60 * MILLI : MILLI,
                        DownstreamFeedback.NOTHING);
            }
            double best = call(budgets, BEST, said(0, 0, false)).priority();
            double min = call(budgets, MIN, said(0, 0, false)).priority();
            assertTrue(byWork ? best > min : best < min, best + " and " + min);
        }
    }

    @Test
    public void worthIsLessOverATenantsShareForARepeatAndNeverMoreThanTheTiersOwn() {
        Budgets budgets = budgets(0);
        Request first = new Request(1, BEST, 0, now + SECOND, 0, false, false, 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(budgets.onRequest(now, first, PropagatedBudget.NOTHING).priority(), 1.0);
        }
        assertEquals(budgets.onRequest(now, first, PropagatedBudget.NOTHING).priority(), 0.05);
        Request repeat = new Request(1, BEST, 1, now + SECOND, 0, true, false, 0);
        assertEquals(budgets.onRequest(now, repeat, PropagatedBudget.NOTHING).priority(), 0.8);
        PropagatedBudget forged =
                new PropagatedBudget(true, true, 0, 0, 0, 1, false, HopPath.EMPTY);
        assertEquals(call(budgets, MIN, forged).priority(), 1.0 / 6);
    }

    // ---- loops ----

    @Test
    public void aLoopIsRefusedNamedAndLoggedOnceAMinute() {
        Budgets budgets = budgets(1);
        for (int i = 0; i < 121; i++) {
            RequestBudget call =
                    call(budgets, BEST, said(3, 0, false, "tier-0", "tier-1", "x" + i % 2));
            assertEquals(call.standing(), AdmissionHint.LOOP);
            assertFalse(budgets.mayAttempt(now, call), "not even the first attempt");
            assertEquals(call.rejectedFeedback().why(), Why.LOOP);
            assertEquals(call.loop().toString(), "tier-0 > tier-1 > x" + i % 2 + " > tier-1");
            now += SECOND;
        }
        String even = "tier-0 > tier-1 > x0 > tier-1 and ";
        String odd = "tier-0 > tier-1 > x1 > tier-1 and ";
        assertEquals(log, List.of(even + 0, odd + 0, even + 29, odd + 29, even + 29));
    }

    @Test
    public void aPathAsLongAsAnyMayBeIsRefusedAndForgedLoopsDoNotFillTheLog() {
        Budgets budgets = budgets(1);
        String[] strangers = {"a", "b", "c", "d", "e", "f", "g", "h"};
        assertEquals(
                call(budgets, BEST, said(0, 0, false, strangers)).standing(), AdmissionHint.LOOP);
        for (int i = 0; i < 1_000; i++) {
            call(budgets, BEST, said(0, 0, false, "tier-1", "forged-" + i));
        }
        assertEquals(log.size(), LoopReporter.MAX);
    }

    @Test
    public void aLineAMinuteSaysWhatWasDenied() {
        Budgets budgets = budgets(0);
        further(budgets, call(budgets, BEST, PropagatedBudget.NOTHING));
        now += 61 * SECOND;
        call(budgets, BEST, PropagatedBudget.NOTHING);
        now += 61 * SECOND;
        call(budgets, BEST, PropagatedBudget.NOTHING);
        assertEquals(log, List.of(new BudgetEvents.MinuteSummary(2, 1, 0, 0, 0, 100).toString()));
    }
}
