package cedarrudder.admission;

import java.util.Arrays;

/**
 * Tells which requests are past their tenant's share: a token bucket for each tenant.
 *
 * <p>Guards against a tenant that crowds out the others: only what it sends beyond its share counts
 * less, not the whole tenant.
 */
public final class TenantQuotas {

    /**
     * A tenant may save up this many seconds of its share; what comes past that is over its share.
     * So what may be saved follows the settings' quota and the number of copies; one request may be
     * in any case.
     */
    private static final double SECONDS = 2;

    private final double[] quotas;
    private final double[] saved;
    private final long[] at;
    private int replicas;

    /**
     * @param quotas the share of each tenant over all copies, in requests a second; 0: it has no
     *     limit
     * @param replicas how many copies there are, each of which takes an equal part
     */
    public TenantQuotas(double[] quotas, int replicas) {
        this.quotas = quotas.clone();
        this.replicas = Math.max(1, replicas);
        this.saved = new double[quotas.length];
        this.at = new long[quotas.length];
        Arrays.fill(at, Long.MIN_VALUE / 2); // long ago, wherever the clock begins: all is saved up
    }

    /** From now on so many copies divide the shares; what was saved stays, up to what may be. */
    public void replicas(int live) {
        replicas = Math.max(1, live);
    }

    /**
     * Counts a request of a tenant, and tells whether it is past the share. An unknown tenant has
     * none.
     */
    public boolean past(long now, int tenant) {
        if (tenant >= quotas.length || quotas[tenant] <= 0) {
            return false;
        }
        double rate = quotas[tenant] / replicas;
        double sum = saved[tenant] + rate * (now - at[tenant]) / 1e9;
        saved[tenant] = Math.min(Math.max(1, SECONDS * rate), sum);
        at[tenant] = now;
        if (saved[tenant] < 1) {
            return true;
        }
        saved[tenant]--;
        return false;
    }
}
