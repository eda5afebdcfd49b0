package cedarrudder.lab.referee;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.result.RunResult.Breach;
import cedarrudder.lab.trace.Trace.Final;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The finer points of the rules, each on a trace of a few lines. */
public class RuleCheckerTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1000 * MS;

    private RuleChecker referee;

    @BeforeMethod
    public void start() {
        referee = new RuleChecker(new RuleParameters(8 * MS, SECOND, 4, SECOND, true, 4), 0);
        referee.proxyStarted(0, 0, 0);
        for (int id = 1; id <= 6; id++) {
            referee.told(0, 0, id, id % 3, id % 2, EndpointStatus.READY, 0);
        }
    }

    private void taken(long now, long request, Idempotency effect, KeyScope scope) {
        referee.taken(now, 0, request, effect, scope, 500 * MS, now + SECOND);
    }

    private void assertBroken(int rule, long at, long request, long endpoint, String what) {
        referee.finish(100 * SECOND);
        assertEquals(
                referee.breaches(),
                List.of(new Breach(rule, at / 1e9, 0, request, endpoint, what, 1)));
    }

    private void assertKept() {
        referee.finish(100 * SECOND);
        assertEquals(referee.breaches(), List.of());
    }

    @Test
    public void answerInGraceCounts() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.answered(SECOND + 8 * MS, 0, 1, Final.FAILED, -1);
        assertKept();
    }

    @Test
    public void answerAfterGraceIsOneBreachAtTheGracesEnd() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.answered(SECOND + 8 * MS + 1, 0, 1, Final.FAILED, -1);
        assertBroken(1, SECOND + 8 * MS, 1, -1, "no final answer in time");
    }

    @Test
    public void callerThatLeavesEarlyIsOwedNothing() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.callerLeft(SECOND - 1, 0, 1);
        assertKept();
    }

    @Test
    public void callerThatGoesAtItsDeadlineIsOwedAnAnswer() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.callerLeft(SECOND, 0, 1);
        assertBroken(1, SECOND + 8 * MS, 1, -1, "no final answer in time");
    }

    @Test
    public void proxyThatDiedOwesNothingEvenWhenItIsBack() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.proxyDied(10 * MS, 0);
        referee.proxyStarted(20 * MS, 0, 0);
        assertKept();
    }

    @Test
    public void servedMustHaveReachedANode() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(MS, 0, 1, 0, 1, MS);
        referee.ended(2 * MS, 0, 1, 0, Outcome.OK);
        referee.answered(2 * MS, 0, 1, Final.SERVED, 0);
        assertBroken(1, 2 * MS, 1, -1, "served what no node made for it");
    }

    @Test
    public void servedMustNameAnAttemptThatEndedWell() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(MS, 0, 1, 0, 1, MS);
        referee.reached(2 * MS, 0, 1, 0, 1);
        referee.ended(3 * MS, 0, 1, 0, Outcome.ERROR);
        referee.answered(3 * MS, 0, 1, Final.SERVED, 0);
        assertBroken(1, 3 * MS, 1, -1, "served what no node made for it");
    }

    @Test
    public void answerToWhatWasNeverTakenIsABreach() {
        referee.answered(MS, 0, 9, Final.FAILED, -1);
        assertBroken(1, MS, 9, -1, "answered what the proxy doesn't hold");
    }

    @Test
    public void unsafeMayGoOnWhenItIsProvenNotToHaveRun() {
        taken(0, 1, Idempotency.UNSAFE, KeyScope.ALL);
        referee.sent(MS, 0, 1, 0, 1, MS);
        referee.ended(2 * MS, 0, 1, 0, Outcome.REJECTED);
        referee.sent(2 * MS, 0, 1, 1, 2, MS);
        referee.ended(3 * MS, 0, 1, 1, Outcome.CONNECT_FAILED);
        referee.answered(3 * MS, 0, 1, Final.REFUSED, -1);
        assertKept();
    }

    @Test
    public void proofThatComesLaterIsNoProof() {
        taken(0, 1, Idempotency.UNSAFE, KeyScope.ALL);
        referee.sent(MS, 0, 1, 0, 1, MS);
        referee.sent(2 * MS, 0, 1, 1, 2, MS);
        referee.ended(3 * MS, 0, 1, 0, Outcome.REJECTED);
        referee.ended(4 * MS, 0, 1, 1, Outcome.REJECTED);
        referee.answered(4 * MS, 0, 1, Final.REFUSED, -1);
        assertBroken(2, 2 * MS, 1, 2, "unsafe, sent again though it may have run");
    }

    @Test
    public void keyedIsBoundToTheFirstThatMayHaveRun() {
        // Node 1 proves not to have run: the window and the cell are those of node 2, and 5 is in
        // its cell.
        taken(0, 1, Idempotency.KEYED, KeyScope.CELL);
        referee.sent(0, 0, 1, 0, 1, MS);
        referee.ended(400 * MS, 0, 1, 0, Outcome.CONNECT_FAILED);
        referee.sent(400 * MS, 0, 1, 1, 2, MS);
        referee.ended(500 * MS, 0, 1, 1, Outcome.RESET);
        referee.sent(900 * MS, 0, 1, 2, 5, MS);
        referee.answered(SECOND, 0, 1, Final.FAILED, -1);
        assertKept();
    }

    @Test
    public void keyedLeavesItsZone() {
        taken(0, 1, Idempotency.KEYED, KeyScope.ZONE);
        referee.sent(0, 0, 1, 0, 1, MS);
        referee.ended(MS, 0, 1, 0, Outcome.RESET);
        referee.sent(2 * MS, 0, 1, 1, 3, MS);
        referee.sent(3 * MS, 0, 1, 2, 4, MS);
        referee.answered(SECOND, 0, 1, Final.FAILED, -1);
        assertBroken(2, 3 * MS, 1, 4, "keyed, sent again outside its zone");
    }

    @Test
    public void keyedIsRefusedOnlyWhereAllNodesDropRepeats() {
        for (KeyScope scope : List.of(KeyScope.ALL, KeyScope.CELL)) {
            long request = scope.ordinal() + 1;
            taken(0, request, Idempotency.KEYED, scope);
            referee.sent(0, 0, request, 0, 1, MS);
            referee.ended(MS, 0, request, 0, Outcome.ERROR);
            referee.answered(MS, 0, request, Final.REFUSED, -1);
        }
        assertBroken(2, MS, KeyScope.CELL.ordinal() + 1, -1, "refused though it may have run");
    }

    @Test
    public void attemptsAreCounted() {
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        for (int i = 0; i < 5; i++) {
            referee.sent(i, 0, 1, i, 1, MS);
        }
        referee.answered(SECOND, 0, 1, Final.FAILED, -1);
        assertBroken(2, 4, 1, 1, "more attempts than allowed");
    }

    @Test
    public void drainIsCountedFromItsFirstWord() {
        referee.told(0, 0, 1, 1, 1, EndpointStatus.DRAINING, 0);
        referee.told(SECOND, 0, 1, 1, 1, EndpointStatus.REMOVED, 0);
        taken(0, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(SECOND, 0, 1, 0, 1, MS);
        referee.sent(SECOND + 1, 0, 1, 1, 1, MS);
        referee.answered(SECOND + 1, 0, 1, Final.FAILED, -1);
        assertBroken(3, SECOND + 1, 1, 1, "sent to a node known to drain or to be gone");
    }

    @Test
    public void wholeListWithoutANodeTellsThatItIsGone() {
        referee.toldWhole(0, 0);
        referee.told(0, 0, 2, 2, 0, EndpointStatus.READY, 0);
        referee.toldWhole(900 * MS, 0);
        referee.told(900 * MS, 0, 2, 2, 0, EndpointStatus.READY, 0);
        taken(500 * MS, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(SECOND + 1, 0, 1, 0, 2, MS);
        referee.sent(SECOND + 1, 0, 1, 1, 1, MS);
        referee.answered(SECOND + 1, 0, 1, Final.FAILED, -1);
        assertBroken(3, SECOND + 1, 1, 1, "sent to a node known to drain or to be gone");
    }

    @Test
    public void restartUnderTheSameIdLiftsADrain() {
        referee.told(0, 0, 1, 1, 1, EndpointStatus.REMOVED, 0);
        referee.told(3 * SECOND, 0, 1, 1, 1, EndpointStatus.READY, 2 * SECOND);
        taken(3 * SECOND, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(3 * SECOND, 0, 1, 0, 1, MS);
        referee.answered(3 * SECOND, 0, 1, Final.FAILED, -1);
        assertKept();
    }

    @Test
    public void proxyThatIsBackKnowsOnlyItsNewList() {
        referee.proxyDied(MS, 0);
        referee.proxyStarted(2 * MS, 0, 0);
        referee.told(2 * MS, 0, 1, 1, 1, EndpointStatus.READY, 0);
        taken(2 * MS, 1, Idempotency.SAFE, KeyScope.ALL);
        referee.sent(3 * MS, 0, 1, 0, 1, MS);
        referee.sent(4 * MS, 0, 1, 1, 2, MS);
        referee.answered(5 * MS, 0, 1, Final.FAILED, -1);
        assertBroken(3, 4 * MS, 1, 2, "sent to a node that no list named");
    }

    /**
     * A node with a budget of 1 s of work in its first second gets 1.5 s of it at once, in parts of
     * 0.1 s.
     *
     * @param told whether the proxy was told of the start
     * @param outcome what the attempts end with, each before the next is sent
     */
    private void flood(boolean told, Outcome outcome) {
        referee.nodeStarted(0, 1, 1, 0.25, 10 * SECOND);
        if (told) {
            referee.told(0, 0, 1, 1, 1, EndpointStatus.READY, MS);
        }
        for (int request = 1; request <= 15; request++) {
            taken(0, request, Idempotency.SAFE, KeyScope.ALL);
            referee.sent(0, 0, request, 0, 1, 100 * MS);
            referee.ended(0, 0, request, 0, outcome);
            referee.answered(0, 0, request, Final.FAILED, -1);
        }
    }

    @Test
    public void workBeyondTheBudgetPushesAColdNodeOver() {
        // 1 s and the heaviest attempt of 0.1 s are allowed, the twelfth attempt is not.
        flood(true, Outcome.TIMEOUT);
        assertBroken(4, 0, 12, 1, "a cold node was pushed over");
    }

    /** Nine attempts of 0.1 s are 0.8 of the budget besides the heaviest, ten are more. */
    @Test
    public void nodeThatEndsUnderNearlyTheBudgetWasPushedOver() {
        for (int count = 9; count <= 10; count++) {
            start();
            referee.nodeStarted(0, 1, 1, 0.25, 1000 * SECOND);
            referee.told(0, 0, 1, 1, 1, EndpointStatus.READY, MS);
            for (int request = 1; request <= count; request++) {
                taken(0, request, Idempotency.SAFE, KeyScope.ALL);
                referee.sent(0, 0, request, 0, 1, 100 * MS);
                referee.answered(0, 0, request, Final.FAILED, -1);
            }
            referee.nodeEnded(0, 1);
            if (count == 9) {
                assertKept();
            } else {
                assertBroken(4, 0, 10, 1, "a cold node was pushed over");
            }
        }
    }

    @Test
    public void declinedWorkPushesToo() {
        flood(true, Outcome.REJECTED);
        assertBroken(4, 0, 12, 1, "a cold node was pushed over");
    }

    @Test
    public void workThatNeverCameDoesNotPush() {
        flood(true, Outcome.CONNECT_FAILED);
        assertKept();
    }

    @Test
    public void proxiesThatWereNotToldAreExcused() {
        flood(false, Outcome.TIMEOUT);
        assertKept();
    }

    @Test
    public void lessThanTwoThirdsFromThoseToldIsExcused() {
        referee.proxyStarted(0, 1, 0);
        referee.told(0, 1, 1, 1, 1, EndpointStatus.READY, 0);
        referee.nodeStarted(0, 1, 1, 0.25, 10 * SECOND);
        referee.told(0, 0, 1, 1, 1, EndpointStatus.READY, MS);
        for (int request = 1; request <= 30; request++) {
            int proxy = request % 5 < 2 ? 1 : 0;
            referee.taken(0, proxy, request, Idempotency.SAFE, KeyScope.ALL, 0, SECOND);
            referee.sent(0, proxy, request, 0, 1, 100 * MS);
            referee.reached(MS, proxy, request, 0, 1);
            referee.answered(2 * MS, proxy, request, Final.FAILED, -1);
        }
        assertKept();
    }

    @Test
    public void workSpreadOverWindowsIsWithinTheBudget() {
        referee.nodeStarted(0, 1, 1, 0.25, 10 * SECOND);
        referee.told(0, 0, 1, 1, 1, EndpointStatus.READY, MS);
        for (int request = 1; request <= 100; request++) {
            long now = request * 100 * MS;
            taken(now, request, Idempotency.SAFE, KeyScope.ALL);
            referee.sent(now, 0, request, 0, 1, 100 * MS);
            referee.reached(now, 0, request, 0, 1);
            referee.answered(now, 0, request, Final.FAILED, -1);
        }
        assertKept();
    }

    @Test
    public void forgetsWhatIsLongOver() {
        int requests = 200_000;
        for (int request = 1; request <= requests; request++) {
            long now = request * MS;
            taken(now, request, Idempotency.SAFE, KeyScope.ALL);
            referee.sent(now, 0, request, 0, 1 + request % 6, MS);
            referee.reached(now, 0, request, 0, 1 + request % 6);
            referee.ended(now, 0, request, 0, Outcome.OK);
            referee.answered(now, 0, request, Final.SERVED, 0);
        }
        long max = (SECOND + 8 * MS + RuleChecker.MEMORY) / MS + 2;
        assertTrue(referee.maxRemembered() <= max, referee.maxRemembered() + " remembered");
        referee.finish(requests * MS + 100 * SECOND);
        assertEquals(referee.breaches(), List.of());
    }
}
