package cedarrudder.budget;

import java.util.Arrays;

/**
 * An estimate of quantiles of durations, in bounded memory: counts in buckets whose bounds grow by
 * the fourth root of 2, from 0.1 ms to half an hour. So an answer is within 19 % of a value that
 * was seen.
 *
 * <p>All counts are halved whenever they reach 512 in all, so that the latest few hundred values
 * count most. Adding costs one logarithm, asking a walk over 96 counts.
 */
final class QuantileEstimator {

    private static final double MIN = 100_000;
    private static final int PER_OCTAVE = 4;
    private static final int BUCKETS = 96;
    private static final int MAX = 512;

    private final double[] counts = new double[BUCKETS];
    private double total;

    /** Takes in a duration in nanoseconds; what is out of bounds counts as the nearest bound. */
    void add(long nanos) {
        double octaves = Math.log(Math.max(MIN, nanos) / MIN) / Math.log(2);
        counts[Math.min(BUCKETS - 1, (int) (PER_OCTAVE * octaves))]++;
        total++;
        if (total >= MAX) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /** How many values it rests on; at most 512, however many were added. */
    double count() {
        return total;
    }

    /** Forgets all. */
    void clear() {
        Arrays.fill(counts, 0);
        total = 0;
    }

    /** A duration that the quantile is not below, in nanoseconds; 0 where nothing was added. */
    long atLeast(double quantile) {
        int bucket = bucket(quantile);
        return bucket < 0 ? 0 : bound(bucket);
    }

    /** A duration that the quantile is not above, in nanoseconds; 0 where nothing was added. */
    long atMost(double quantile) {
        int bucket = bucket(quantile);
        return bucket < 0 ? 0 : bound(bucket + 1);
    }

    private static long bound(int bucket) {
        return (long) (MIN * Math.pow(2, bucket / (double) PER_OCTAVE));
    }

    private int bucket(double quantile) {
        double below = 0;
        int last = -1;
        for (int i = 0; i < BUCKETS; i++) {
            if (counts[i] > 0) {
                last = i;
                below += counts[i];
                if (below >= quantile * total) {
                    return i;
                }
            }
        }
        return last;
    }
}
