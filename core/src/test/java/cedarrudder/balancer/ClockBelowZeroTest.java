package cedarrudder.balancer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.admission.ClassPriority;
import cedarrudder.admission.TenantQuotas;
import org.testng.annotations.Test;

/** An instant's zero means nothing: a clock may begin below it, and pass it at any time. */
public class ClockBelowZeroTest {

    private static final long BEGIN = -10 * Site.SECOND;

    /**
     * Detects a tenant that counts as over its share until the clock has passed zero, and after.
     */
    @Test
    public void aTenantBeginsWithItsShare() {
        assertFalse(new TenantQuotas(new double[] {10}, 1).isOverQuota(BEGIN, 0));
    }

    /** Detects worths that are no numbers, by which nobody can be ordered. */
    @Test
    public void worthsAreNumbers() {
        ClassPriority worth = new ClassPriority(2, 0.8, 0.2, 0.1);
        long begin = 100_000 * BEGIN;
        worth.onRequest(begin, 0, 1);
        worth.onRequest(begin, 1, 1);
        worth.onServed(begin, 1, 1);
        assertTrue(
                worth.priority(0, false) > worth.priority(1, false),
                "who is served worst goes first");
    }

    /** Detects endpoints that count as out of connections until the clock has passed zero. */
    @Test
    public void anEndpointHasRoomForConnections() {
        assertFalse(new EndpointState(Site.ready(1), BEGIN, 4, 0).isOutOfConnections(BEGIN));
    }
}
