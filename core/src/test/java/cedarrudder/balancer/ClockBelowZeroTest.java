package cedarrudder.balancer;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.admission.ClassPriority;
import cedarrudder.admission.TenantQuotas;
import org.testng.annotations.Test;

/**
 * Zero has no special meaning as an instant: a clock may start below zero and pass zero at any
 * time.
 */
public class ClockBelowZeroTest {

    private static final long START = -10 * Site.SECOND;

    /**
     * A tenant must not count as over its quota until the clock has passed zero, nor afterwards.
     */
    @Test
    public void tenantStartsWithinItsQuota() {
        assertFalse(new TenantQuotas(new double[] {10}, 1).isOverQuota(START, 0));
    }

    /** Priorities must not be NaN, since NaN cannot be ordered. */
    @Test
    public void prioritiesAreNumbers() {
        ClassPriority priorities = new ClassPriority(2, 0.8, 0.2, 0.1);
        long start = 100_000 * START;
        priorities.onRequest(start, 0, 1);
        priorities.onRequest(start, 1, 1);
        priorities.onServed(start, 1, 1);
        assertTrue(
                priorities.priority(0, false) > priorities.priority(1, false),
                "the class that is served worst has priority");
    }

    /** Endpoints must not count as out of connections until the clock has passed zero. */
    @Test
    public void endpointIsNotOutOfConnections() {
        assertFalse(new EndpointState(Site.ready(1), START, 4, 0).isOutOfConnections(START));
    }
}
