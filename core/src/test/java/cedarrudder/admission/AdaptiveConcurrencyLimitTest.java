package cedarrudder.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The limit of calls out, and the share of each tenant. */
public class AdaptiveConcurrencyLimitTest {

    private static final long SECOND = 1_000_000_000L;

    private static AdaptiveConcurrencyLimit after(int slow, double min) {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(1, 0.2, 4);
        for (int i = 0; i < slow; i++) {
            limit.onResponse(true, 10, 10, min);
        }
        return limit;
    }

    @Test
    public void aSlowAnswerCutsItNearThePeakAndEachTakesOneOff() {
        assertTrue(after(0, 1).tryAdmit(100_000, 1));
        assertTrue(after(1, 1).tryAdmit(39, 1));
        assertFalse(after(1, 1).tryAdmit(40, 1), "four times the peak");
        assertFalse(after(11, 1).tryAdmit(30, 1));
    }

    @Test
    public void itNeverFallsUnderTheLeast() {
        assertTrue(after(1000, 5).tryAdmit(4, 1));
        assertFalse(after(1000, 5).tryAdmit(5, 1));
        assertTrue(after(1000, 0).tryAdmit(0, 0), "a copy with nothing out may always send");
    }

    @Test
    public void itGrowsOnlyWhereItWasMet() {
        AdaptiveConcurrencyLimit limit = after(1000, 5);
        limit.onResponse(false, 0, 10, 5);
        assertFalse(limit.tryAdmit(5, 1));
        limit.onResponse(false, 0, 10, 5);
        assertTrue(limit.tryAdmit(5, 1), "one was turned away since");
    }

    @Test
    public void theLessWorthyFindItLower() {
        assertTrue(after(11, 1).tryAdmit(20, 1));
        assertFalse(after(11, 1).tryAdmit(20, 0.5));
    }

    @Test
    public void withNothingToTakeOffThereIsNoLimit() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(0, 0.2, 4);
        limit.onResponse(true, 10, 10, 1);
        assertTrue(limit.tryAdmit(100_000, 0.1));
    }

    @Test
    public void aTenantIsPastItsShareWhenItHasSpentWhatItSaved() {
        TenantQuotas meter = new TenantQuotas(new double[] {10, 0}, 2);
        long now = 100 * SECOND;
        int within = 0;
        for (int i = 0; i < 100; i++) {
            within += meter.isOverQuota(now, 0) ? 0 : 1;
        }
        assertEquals(within, 10, "two seconds of five a second");
        assertTrue(meter.isOverQuota(now + SECOND / 10, 0));
        assertFalse(meter.isOverQuota(now + SECOND / 4, 0));
        assertFalse(meter.isOverQuota(now, 1), "no quota");
        assertFalse(meter.isOverQuota(now, 7), "unknown");
    }

    @Test
    public void aMeanFollowsWhatIsMeasured() {
        MovingAverage mean = new MovingAverage(0.5);
        mean.add(10);
        assertEquals(mean.mean(), 10.0);
        mean.add(20);
        mean.add(20);
        assertEquals(mean.mean(), 17.5);
        assertEquals(mean.count(), 3);
        assertTrue(mean.deviation() > 0);
    }
}
