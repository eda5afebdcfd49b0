package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the adaptive limit on attempts in flight, tenants' quotas and the moving average. */
public class AdaptiveConcurrencyLimitTest {

    private static final long SECOND = 1_000_000_000L;

    private static AdaptiveConcurrencyLimit afterSlowResponses(int slow, double min) {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(1, 0.2, 4);
        for (int i = 0; i < slow; i++) {
            limit.onResponse(true, 10, 10, min);
        }
        return limit;
    }

    @Test
    public void firstSlowResponseCutsTheLimitNearThePeakAndEachFurtherOneSubtractsOne() {
        assertTrue(afterSlowResponses(0, 1).tryAdmit(100_000, 1));
        assertTrue(afterSlowResponses(1, 1).tryAdmit(39, 1));
        assertFalse(afterSlowResponses(1, 1).tryAdmit(40, 1), "four times the peak");
        assertFalse(afterSlowResponses(11, 1).tryAdmit(30, 1));
    }

    @Test
    public void limitNeverFallsBelowItsMinimum() {
        assertTrue(afterSlowResponses(1000, 5).tryAdmit(4, 1));
        assertFalse(afterSlowResponses(1000, 5).tryAdmit(5, 1));
        assertTrue(
                afterSlowResponses(1000, 0).tryAdmit(0, 0),
                "a replica with nothing in flight may always send");
    }

    @Test
    public void limitRisesOnlyIfItWasReached() {
        AdaptiveConcurrencyLimit limit = afterSlowResponses(1000, 5);
        limit.onResponse(false, 0, 10, 5);
        assertFalse(limit.tryAdmit(5, 1));
        limit.onResponse(false, 0, 10, 5);
        assertTrue(limit.tryAdmit(5, 1), "a request was rejected since");
    }

    @Test
    public void requestsOfLowerPriorityHaveALowerLimit() {
        assertTrue(afterSlowResponses(11, 1).tryAdmit(20, 1));
        assertFalse(afterSlowResponses(11, 1).tryAdmit(20, 0.5));
    }

    @Test
    public void zeroDecreaseMeansNoLimit() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(0, 0.2, 4);
        limit.onResponse(true, 10, 10, 1);
        assertTrue(limit.tryAdmit(100_000, 0.1));
    }

    @Test
    public void tenantIsOverQuotaOnceItsTokensAreSpent() {
        TenantQuotas quotas = new TenantQuotas(new double[] {10, 0}, 2);
        long now = 100 * SECOND;
        int within = 0;
        for (int i = 0; i < 100; i++) {
            within += quotas.isOverQuota(now, 0) ? 0 : 1;
        }
        assertEquals(within, 10, "two seconds of five a second");
        assertTrue(quotas.isOverQuota(now + SECOND / 10, 0));
        assertFalse(quotas.isOverQuota(now + SECOND / 4, 0));
        assertFalse(quotas.isOverQuota(now, 1), "no quota");
        assertFalse(quotas.isOverQuota(now, 7), "unknown");
    }

    @Test
    public void movingAverageFollowsItsValues() {
        MovingAverage average = new MovingAverage(0.5);
        average.add(10);
        assertEquals(average.mean(), 10.0);
        average.add(20);
        average.add(20);
        assertEquals(average.mean(), 17.5);
        assertEquals(average.count(), 3);
        assertTrue(average.deviation() > 0);
    }
}
