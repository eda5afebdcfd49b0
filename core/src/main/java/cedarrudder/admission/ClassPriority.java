package cedarrudder.admission;

import java.util.Arrays;

/**
 * The priority of serving a request of each class next, by the goal of the site.
 *
 * <p>The goal counts the weight served as a share of that asked for, over all classes and once more
 * for the class that is served worst. So a unit of weight of class c adds {@code overallWeight /
 * asked} to it, and {@code worstClassWeight / asked(c)} too while c is served worst. That
 * derivative is the priority here. Which class is worst would flip with each answer, so the second
 * term is shared out by how near each class is to the worst. A class that falls behind rises by
 * itself, and none is starved for good.
 *
 * <p>What is asked and served is counted over the recent past, and only what is within a tenant's
 * quota.
 */
public final class ClassPriority {

    /** Classes whose shares served differ by no more than this are about equally near the worst. */
    private static final double NEARNESS_SCALE = 0.05;

    /** The time over which is counted: the goal's shortest span, the worst 10 s. */
    private static final double WINDOW_NANOS = 10e9;

    private static final double MIN_OVER_QUOTA_WEIGHT = 0.01;

    private final double[] weightPerWork;
    private final double[] asked;
    private final double[] served;
    private final double overallWeight;
    private final double worstClassWeight;
    private final double overQuotaWeight;
    private long countedAt;

    /**
     * Priorities of classes of equal weight.
     *
     * @param classes how many classes there are
     * @param overallWeight the goal's weight of all that is served, from 0 to 1
     * @param worstClassWeight the goal's weight of the class that is served worst, from 0 to 1
     * @param overQuotaWeight what a request over its tenant's quota counts, as a share of its
     *     weight
     */
    public ClassPriority(
            int classes, double overallWeight, double worstClassWeight, double overQuotaWeight) {
        this.weightPerWork = new double[classes];
        this.asked = new double[classes];
        this.served = new double[classes];
        this.overallWeight = overallWeight;
        this.worstClassWeight = worstClassWeight;
        this.overQuotaWeight = overQuotaWeight;
        Arrays.fill(weightPerWork, 1);
    }

    /** Sets the weight of a class for each unit of its work; only the ratios count. */
    public void weightPerWork(int classIndex, double weight) {
        weightPerWork[classIndex] = weight;
    }

    /** Counts a request that has arrived, within its tenant's quota. */
    public void onRequest(long now, int classIndex, double weight) {
        decay(now);
        asked[classIndex] += weight;
    }

    /** Counts one that was served within its latency objective. */
    public void onServed(long now, int classIndex, double weight) {
        decay(now);
        served[classIndex] += weight;
    }

    private void decay(long now) {
        double retained = Math.min(1, Math.exp(-(now - countedAt) / WINDOW_NANOS));
        countedAt = now;
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= retained;
            served[i] *= retained;
        }
    }

    /** The priority of serving a request of this class next, in no unit. */
    public double priority(int classIndex, boolean overQuota) {
        double weight = weightPerWork[classIndex];
        if (overQuota) {
            weight *= Math.max(MIN_OVER_QUOTA_WEIGHT, overQuotaWeight);
        }
        if (asked[classIndex] <= 0) {
            return weight;
        }
        double allAsked = 0;
        double allNearness = 0;
        for (int i = 0; i < asked.length; i++) {
            allAsked += asked[i];
            allNearness += nearnessToWorst(i);
        }
        double worstTerm =
                worstClassWeight
                        * nearnessToWorst(classIndex)
                        / allNearness
                        * allAsked
                        / asked[classIndex];
        return weight * (overallWeight + worstTerm);
    }

    private double nearnessToWorst(int classIndex) {
        return asked[classIndex] > 0
                ? Math.exp(-served[classIndex] / asked[classIndex] / NEARNESS_SCALE)
                : 0;
    }
}
