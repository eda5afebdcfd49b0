package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;

/**
 * The deadline of requests whose client gives none: the time after which the least patient tenth of
 * the clients of the class were observed to stop waiting. It is at least the class's latency
 * objective and at most its deadline, both multiplied by the fraction of the tiers from this one
 * on. Until 20 waits were observed it is the maximum.
 *
 * <p>So no work continues after its client has stopped waiting, and clients that send absurd
 * deadlines can't move those of others out of bounds.
 */
final class DefaultDeadline {

    private static final int MIN_SAMPLES = 20;
    private static final double IMPATIENT_QUANTILE = 0.1;

    private final QuantileEstimator[] waits;
    private final long[] min;
    private final long[] max;

    DefaultDeadline(BalancerSettings site) {
        int classes = site.classes().size();
        waits = new QuantileEstimator[classes];
        min = new long[classes];
        max = new long[classes];
        int tiers = Math.max(1, site.tierCount());
        double remainingTierFraction = Math.max(1, tiers - site.tier()) / (double) tiers;
        for (int i = 0; i < classes; i++) {
            RequestClass requestClass = site.classes().get(i);
            waits[i] = new QuantileEstimator();
            min[i] =
                    Math.max(
                            1,
                            (long)
                                    (remainingTierFraction
                                            * Math.min(
                                                    requestClass.latencyObjectiveNanos(),
                                                    requestClass.deadlineNanos())));
            max[i] = Math.max(1, (long) (remainingTierFraction * requestClass.deadlineNanos()));
        }
    }

    /** Records how long a client waits by its own deadline, or waited before it disconnected. */
    void onWaited(int classIndex, long nanos) {
        waits[classIndex].add(nanos);
    }

    /**
     * Returns the default deadline for a request of this class, in nanoseconds from its arrival.
     */
    long defaultFor(int classIndex) {
        QuantileEstimator observed = waits[classIndex];
        return observed.count() < MIN_SAMPLES
                ? max[classIndex]
                : Math.max(
                        min[classIndex],
                        Math.min(max[classIndex], observed.lowerBound(IMPATIENT_QUANTILE)));
    }
}
