package cedarrudder.admission;

import java.util.Arrays;

/**
 * Tells which requests exceed their tenant's quota: a token bucket for each tenant.
 *
 * <p>Only what a tenant sends beyond its quota counts less, not all that it sends, so that none
 * crowds out the others.
 */
public final class TenantQuotas {

    /** A tenant may save up this many seconds of its quota; one request in any case. */
    private static final double BURST_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double[] quotaPerSecond;
    private final double[] tokens;
    private final long[] refilledAt;
    private int replicas;

    /**
     * Quotas with full buckets.
     *
     * @param quotaPerSecond the quota of each tenant over all replicas, in requests a second; 0: it
     *     has no limit
     * @param replicas how many replicas there are, each of which takes an equal part
     */
    public TenantQuotas(double[] quotaPerSecond, int replicas) {
        this.quotaPerSecond = quotaPerSecond.clone();
        this.replicas = Math.max(1, replicas);
        this.tokens = new double[quotaPerSecond.length];
        this.refilledAt = new long[quotaPerSecond.length];
        Arrays.fill(refilledAt, Long.MIN_VALUE / 2); // long ago: the buckets are full
    }

    /** From now on this many replicas divide the quotas; tokens that were saved stay. */
    public void onLiveReplicas(int live) {
        replicas = Math.max(1, live);
    }

    /**
     * Counts a request of a tenant and tells whether it exceeds the quota. An unknown tenant has
     * none.
     */
    public boolean isOverQuota(long now, int tenant) {
        if (tenant >= quotaPerSecond.length || quotaPerSecond[tenant] <= 0) {
            return false;
        }
        double rate = quotaPerSecond[tenant] / replicas;
        double refilled = tokens[tenant] + rate * (now - refilledAt[tenant]) / NANOS_PER_SECOND;
        tokens[tenant] = Math.min(Math.max(1, BURST_SECONDS * rate), refilled);
        refilledAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }
}
