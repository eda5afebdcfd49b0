package cedarrudder.admission;

import java.util.Arrays;

/**
 * Determines which requests exceed their tenant's quota, with a token bucket for each tenant.
 *
 * <p>Only the requests beyond a tenant's quota count less, not all of its requests, so that no
 * tenant crowds out the others.
 */
public final class TenantQuotas {

    /** The capacity of a bucket, in seconds of the tenant's quota; at least one request. */
    private static final double BURST_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double[] quotaPerSecond;
    private final double[] tokens;
    private final long[] refilledAt;
    private int replicas;

    /**
     * Creates quotas with full buckets.
     *
     * @param quotaPerSecond the quota of each tenant over all replicas, in requests a second; 0:
     *     unlimited
     * @param replicas the number of replicas, each of which gets an equal part of the quotas
     */
    public TenantQuotas(double[] quotaPerSecond, int replicas) {
        this.quotaPerSecond = quotaPerSecond.clone();
        this.replicas = Math.max(1, replicas);
        this.tokens = new double[quotaPerSecond.length];
        this.refilledAt = new long[quotaPerSecond.length];
        Arrays.fill(refilledAt, Long.MIN_VALUE / 2); // long ago: the buckets are full
    }

    /** Sets the number of live replicas that divide the quotas; tokens in the buckets stay. */
    public void onLiveReplicas(int live) {
        replicas = Math.max(1, live);
    }

    /**
     * Counts a request of a tenant and returns whether it exceeds the quota. An unknown tenant has
     * no quota to exceed.
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
