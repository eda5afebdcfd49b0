package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import java.util.List;

/**
 * Computes the priority of a request relative to its work, from 0 to 1: by its class, lower if it
 * is over its tenant's quota or a repeat.
 *
 * <p>If the site gives priority weights per request, the work of a class is the recent mean latency
 * of its responses, or the latency objective until the mean of every class is known.
 */
final class PriorityScale {

    /**
     * The factor for a repeat: it misses its latency objective more often, and its first attempt
     * has cost work already.
     */
    private static final double REPEAT_FACTOR = 0.8;

    /** The capacity of a tenant's bucket, in seconds of its quota. */
    private static final double BURST_SECONDS = 2;

    private static final int MIN_SAMPLES = 20;
    private static final double NEWEST_WEIGHT = 0.05;

    private final BalancerSettings site;
    private final boolean byWork;
    private final double[] priorities;
    private final double[] meanLatencies;
    private final long[] sampleCounts;
    private final double[] quotaTokens;
    private final long[] refilledAt;

    PriorityScale(BalancerSettings site) {
        this.site = site;
        byWork = site.goal().weightByWork();
        int classes = site.classes().size();
        priorities = new double[classes];
        meanLatencies = new double[classes];
        sampleCounts = new long[classes];
        quotaTokens = new double[site.tenants().size()];
        refilledAt = new long[quotaTokens.length];
        updatePriorities();
    }

    /** Records the latency of a response of this class. */
    void onServed(int classIndex, long nanos) {
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / ++sampleCounts[classIndex]);
        meanLatencies[classIndex] += weight * (nanos - meanLatencies[classIndex]);
        if (!byWork) {
            updatePriorities();
        }
    }

    private void updatePriorities() {
        List<RequestClass> classes = site.classes();
        boolean known = true;
        for (long count : sampleCounts) {
            known &= count >= MIN_SAMPLES;
        }
        double best = 0;
        for (int i = 0; i < priorities.length; i++) {
            double work =
                    byWork
                            ? 1
                            : Math.max(
                                    1,
                                    known
                                            ? meanLatencies[i]
                                            : classes.get(i).latencyObjectiveNanos());
            priorities[i] = Math.max(0, classes.get(i).priorityWeight()) / work;
            best = Math.max(best, priorities[i]);
        }
        for (int i = 0; i < priorities.length; i++) {
            priorities[i] = best > 0 ? priorities[i] / best : 1;
        }
    }

    /**
     * Returns the priority of a request as computed at this tier. Quotas are checked at the first
     * tier only, which receives all requests of a tenant.
     */
    double priority(long now, int classIndex, int tenant, boolean repeat) {
        boolean overQuota =
                site.tier() == 0 && tenant < quotaTokens.length && isOverQuota(now, tenant);
        return priorities[classIndex]
                * (overQuota ? Math.max(0, Math.min(1, site.goal().overQuotaWeight())) : 1)
                * (repeat ? REPEAT_FACTOR : 1);
    }

    private boolean isOverQuota(long now, int tenant) {
        double rate = site.tenants().get(tenant).quotaPerSecond() / Math.max(1, site.replicas());
        if (rate <= 0) {
            return false;
        }
        double refilled = quotaTokens[tenant] + rate * (now - refilledAt[tenant]) / 1e9;
        quotaTokens[tenant] = Math.min(Math.max(1, BURST_SECONDS * rate), refilled);
        refilledAt[tenant] = now;
        if (quotaTokens[tenant] < 1) {
            return true;
        }
        quotaTokens[tenant]--;
        return false;
    }
}
