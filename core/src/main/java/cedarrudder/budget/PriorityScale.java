package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import java.util.List;

/**
 * The worth of a request for its work, as one figure from 0 to 1: by its class, less for what is
 * over its tenant's share and for what its client sends again.
 *
 * <p>Where the site counts worth by request, the work is what the class's answers have lately
 * taken, or the aims of the classes as long as that isn't known of all.
 */
final class PriorityScale {

    /** A repeat is more often too late for its aim, and its first try has cost already. */
    private static final double REPEAT = 0.8;

    /** A tenant may save up this many seconds of its share. */
    private static final double SAVED_SECONDS = 2;

    private static final int KNOWN = 20;
    private static final double NEWEST = 0.05;

    private final BalancerSettings site;
    private final boolean byWork;
    private final double[] weight;
    private final double[] means;
    private final long[] seen;
    private final double[] shares;
    private final long[] sharesAt;

    PriorityScale(BalancerSettings site) {
        this.site = site;
        byWork = site.goal().weightByWork();
        int classes = site.classes().size();
        weight = new double[classes];
        means = new double[classes];
        seen = new long[classes];
        shares = new double[site.tenants().size()];
        sharesAt = new long[shares.length];
        refresh();
    }

    /** An answer of this class took so long. */
    void served(int classIndex, long nanos) {
        double weight = Math.max(NEWEST, 1.0 / ++seen[classIndex]);
        means[classIndex] += weight * (nanos - means[classIndex]);
        if (!byWork) {
            refresh();
        }
    }

    private void refresh() {
        List<RequestClass> classes = site.classes();
        boolean known = true;
        for (long count : seen) {
            known &= count >= KNOWN;
        }
        double best = 0;
        for (int i = 0; i < weight.length; i++) {
            double work =
                    byWork
                            ? 1
                            : Math.max(
                                    1, known ? means[i] : classes.get(i).latencyObjectiveNanos());
            weight[i] = Math.max(0, classes.get(i).priorityWeight()) / work;
            best = Math.max(best, weight[i]);
        }
        for (int i = 0; i < weight.length; i++) {
            weight[i] = best > 0 ? weight[i] / best : 1;
        }
    }

    /**
     * The worth of a request, by this tier's own lights. Whether it is over its tenant's share is
     * judged at the first tier only, which sees all that the tenant sends.
     */
    double of(long now, int classIndex, int tenant, boolean repeat) {
        boolean over = site.tier() == 0 && tenant < shares.length && overShare(now, tenant);
        return weight[classIndex]
                * (over ? Math.max(0, Math.min(1, site.goal().overQuotaWeight())) : 1)
                * (repeat ? REPEAT : 1);
    }

    private boolean overShare(long now, int tenant) {
        double rate = site.tenants().get(tenant).quotaPerSecond() / Math.max(1, site.replicas());
        if (rate <= 0) {
            return false;
        }
        double saved = shares[tenant] + rate * (now - sharesAt[tenant]) / 1e9;
        shares[tenant] = Math.min(Math.max(1, SAVED_SECONDS * rate), saved);
        sharesAt[tenant] = now;
        if (shares[tenant] < 1) {
            return true;
        }
        shares[tenant]--;
        return false;
    }
}
