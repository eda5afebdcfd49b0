package cedarrudder.lab.emulator;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.lab.referee.RuleChecker;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.trace.Trace.Final;
import org.testng.annotations.Test;

/** What different sockets told in another order than the proxy did it. */
public class ReorderBufferTest {

    private static final long MILLI = 1_000_000;
    private final RuleParameters figures = new RuleParameters(0, 0, 3, 1, false, 3);

    /** A first attempt that the proxy closes, and a second, each read so late. */
    private int breaches(long closedRead, long secondRead) {
        RuleChecker referee = new RuleChecker(figures, 0);
        ReorderBuffer settled = new ReorderBuffer(referee);
        settled.proxyStarted(0, 0, 0);
        settled.told(0, 0, 1, 0, 0, EndpointStatus.READY, 0);
        settled.taken(1, 0, 9, Idempotency.SAFE, KeyScope.ALL, 0, 1000 * MILLI);
        settled.sent(2, 0, 9, 0, 1, 1);
        if (closedRead < secondRead) {
            settled.ended(closedRead, 0, 9, 0, Outcome.CANCELLED);
            settled.sent(secondRead, 0, 9, 1, 1, 1);
        } else {
            settled.sent(secondRead, 0, 9, 1, 1, 1);
            settled.ended(closedRead, 0, 9, 0, Outcome.CANCELLED);
        }
        settled.reached(200 * MILLI, 0, 9, 1, 1);
        settled.ended(201 * MILLI, 0, 9, 1, Outcome.OK);
        settled.answered(202 * MILLI, 0, 9, Final.SERVED, 1);
        settled.finish();
        referee.finish(2000 * MILLI);
        return referee.breaches().size();
    }

    @Test
    public void aCloseThatIsReadLateComesBeforeTheNextAttempt() {
        assertEquals(breaches(10 * MILLI, 11 * MILLI), 0);
        assertEquals(breaches(11 * MILLI, 10 * MILLI), 0);
    }

    /** Beyond the hold nothing is excused. */
    @Test
    public void aCopyThatWasOutForLongIsABreach() {
        assertEquals(breaches(100 * MILLI, 10 * MILLI), 1);
    }

    @Test
    public void whatIsReadAfterTheAnswerWasSentBeforeIt() {
        for (long late : new long[] {10 * MILLI, 100 * MILLI}) {
            RuleChecker referee = new RuleChecker(figures, 0);
            ReorderBuffer settled = new ReorderBuffer(referee);
            settled.proxyStarted(0, 0, 0);
            settled.told(0, 0, 1, 0, 0, EndpointStatus.READY, 0);
            settled.taken(1, 0, 9, Idempotency.SAFE, KeyScope.ALL, 0, 1000 * MILLI);
            settled.answered(5, 0, 9, Final.FAILED, -1);
            settled.sent(5 + late, 0, 9, 0, 1, 1);
            settled.finish();
            referee.finish(2000 * MILLI);
            assertEquals(referee.breaches().size(), late < ReorderBuffer.HOLD ? 0 : 1);
        }
    }
}
