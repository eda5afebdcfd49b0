package cedarrudder.admission;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** A tenant's share is divided by the replicas that live. */
public class TenantQuotasTest {

    private static final long SECOND = 1_000_000_000L;

    /** Of a thousand requests a second, how many of the last second are within the share. */
    private static int within(TenantQuotas meter, long from) {
        int within = 0;
        for (int i = 0; i < 10_000; i++) {
            boolean past = meter.isOverQuota(from + i * (SECOND / 1_000), 0);
            within += i >= 9_000 && !past ? 1 : 0;
        }
        return within;
    }

    @Test
    public void theShareOfOneCopyFollowsThoseThatLive() {
        TenantQuotas meter = new TenantQuotas(new double[] {120}, 4);
        assertEquals((double) within(meter, SECOND), 30, 1);
        meter.onLiveReplicas(2);
        assertEquals((double) within(meter, 100 * SECOND), 60, 1);
        meter.onLiveReplicas(4);
        assertEquals((double) within(meter, 200 * SECOND), 30, 1);
        meter.onLiveReplicas(0); // nobody says so; it counts itself at least
        assertEquals((double) within(meter, 300 * SECOND), 120, 1);
    }
}
