package cedarrudder.admission;

import java.util.Arrays;

/**
 * The priority of serving a request of each class next, derived from the goal of the site.
 *
 * <p>The goal is the weight served as a fraction of the weight requested, over all classes and once
 * more for the class that is served worst. So a unit of weight of class c adds {@code overallWeight
 * / requested} to the goal, and {@code worstClassWeight / requested(c)} too while c is served
 * worst. That derivative is the priority here. Which class is worst would change with each
 * response, so the second term is divided among the classes by how near each is to the worst. The
 * priority of a class that falls behind rises, so no class is starved for good.
 *
 * <p>Weights requested and served are counted over the recent past, and only within tenants'
 * quotas.
 */
public final class ClassPriority {

    /** Classes whose served fractions differ by at most this are about equally near the worst. */
    private static final double NEARNESS_SCALE = 0.05;

    /** The time constant of the counts: the shortest window of the goal, the worst 10 s. */
    private static final double WINDOW_NANOS = 10e9;

    private static final double MIN_OVER_QUOTA_WEIGHT = 0.01;

    private final double[] weightPerWork;
    private final double[] requestedWeight;
    private final double[] servedWeight;
    private final double overallWeight;
    private final double worstClassWeight;
    private final double overQuotaWeight;
    private long countedAt;

    /**
     * Creates priorities of classes of equal weight.
     *
     * @param classes the number of classes
     * @param overallWeight the goal's weight of everything served, from 0 to 1
     * @param worstClassWeight the goal's weight of the class that is served worst, from 0 to 1
     * @param overQuotaWeight the fraction of its weight that a request over its tenant's quota
     *     counts
     */
    public ClassPriority(
            int classes, double overallWeight, double worstClassWeight, double overQuotaWeight) {
        this.weightPerWork = new double[classes];
        this.requestedWeight = new double[classes];
        this.servedWeight = new double[classes];
        this.overallWeight = overallWeight;
        this.worstClassWeight = worstClassWeight;
        this.overQuotaWeight = overQuotaWeight;
        Arrays.fill(weightPerWork, 1);
    }

    /** Sets the weight of a class per unit of work; only the ratios between classes matter. */
    public void weightPerWork(int classIndex, double weight) {
        weightPerWork[classIndex] = weight;
    }

    /** Counts a request that has arrived within its tenant's quota. */
    public void onRequest(long now, int classIndex, double weight) {
        decay(now);
        requestedWeight[classIndex] += weight;
    }

    /** Counts a request that was served within its latency objective. */
    public void onServed(long now, int classIndex, double weight) {
        decay(now);
        servedWeight[classIndex] += weight;
    }

    private void decay(long now) {
        double retained = Math.min(1, Math.exp(-(now - countedAt) / WINDOW_NANOS));
        countedAt = now;
        for (int i = 0; i < requestedWeight.length; i++) {
            requestedWeight[i] *= retained;
            servedWeight[i] *= retained;
        }
    }

    /** Returns the priority of serving a request of this class next, without a unit. */
    public double priority(int classIndex, boolean overQuota) {
        double weight = weightPerWork[classIndex];
        if (overQuota) {
            weight *= Math.max(MIN_OVER_QUOTA_WEIGHT, overQuotaWeight);
        }
        if (requestedWeight[classIndex] <= 0) {
            return weight;
        }
        double totalRequestedWeight = 0;
        double totalNearness = 0;
        for (int i = 0; i < requestedWeight.length; i++) {
            totalRequestedWeight += requestedWeight[i];
            totalNearness += nearnessToWorst(i);
        }
        double worstTerm =
                worstClassWeight
                        * nearnessToWorst(classIndex)
                        / totalNearness
                        * totalRequestedWeight
                        / requestedWeight[classIndex];
        return weight * (overallWeight + worstTerm);
    }

    private double nearnessToWorst(int classIndex) {
        return requestedWeight[classIndex] > 0
                ? Math.exp(-servedWeight[classIndex] / requestedWeight[classIndex] / NEARNESS_SCALE)
                : 0;
    }
}
