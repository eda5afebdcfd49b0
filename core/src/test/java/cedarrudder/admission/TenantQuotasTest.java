package cedarrudder.admission;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests that the live replicas divide a tenant's quota. */
public class TenantQuotasTest {

    private static final long SECOND = 1_000_000_000L;

    /** Sends 1,000 requests a second; returns how many of the last second are within the quota. */
    private static int within(TenantQuotas quotas, long from) {
        int within = 0;
        for (int i = 0; i < 10_000; i++) {
            boolean overQuota = quotas.isOverQuota(from + i * (SECOND / 1_000), 0);
            within += i >= 9_000 && !overQuota ? 1 : 0;
        }
        return within;
    }

    @Test
    public void quotaOfOneReplicaFollowsTheNumberOfLiveReplicas() {
        TenantQuotas quotas = new TenantQuotas(new double[] {120}, 4);
        assertEquals((double) within(quotas, SECOND), 30, 1);
        quotas.onLiveReplicas(2);
        assertEquals((double) within(quotas, 100 * SECOND), 60, 1);
        quotas.onLiveReplicas(4);
        assertEquals((double) within(quotas, 200 * SECOND), 30, 1);
        quotas.onLiveReplicas(0); // 0 is never reported; a replica counts at least itself
        assertEquals((double) within(quotas, 300 * SECOND), 120, 1);
    }
}
