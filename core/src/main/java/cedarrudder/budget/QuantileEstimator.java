package cedarrudder.budget;

import java.util.Arrays;

/**
 * Estimates quantiles of durations in bounded memory: counts in buckets whose bounds grow by the
 * fourth root of 2, from 0.1 ms to half an hour. So an estimate is within 19 % of an observed
 * value.
 *
 * <p>All counts are halved whenever their sum reaches 512, so that the latest few hundred values
 * weigh most. Adding a value costs one logarithm, a query a scan of 96 counts.
 */
final class QuantileEstimator {

    private static final double MIN_NANOS = 100_000;
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int BUCKETS = 96;
    private static final int MAX_COUNT = 512;

    private final double[] counts = new double[BUCKETS];
    private double total;

    /** Adds a duration in nanoseconds; one that is out of bounds counts as the nearest bound. */
    void add(long nanos) {
        double octaves = Math.log(Math.max(MIN_NANOS, nanos) / MIN_NANOS) / Math.log(2);
        counts[Math.min(BUCKETS - 1, (int) (BUCKETS_PER_OCTAVE * octaves))]++;
        total++;
        if (total >= MAX_COUNT) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /**
     * Returns the number of values that estimates are based on; at most 512, however many were
     * added.
     */
    double count() {
        return total;
    }

    /** Removes all values. */
    void clear() {
        Arrays.fill(counts, 0);
        total = 0;
    }

    /** Returns a lower bound of the quantile, in nanoseconds; 0 if there are no values. */
    long lowerBound(double quantile) {
        int bucket = bucket(quantile);
        return bucket < 0 ? 0 : bound(bucket);
    }

    /** Returns an upper bound of the quantile, in nanoseconds; 0 if there are no values. */
    long upperBound(double quantile) {
        int bucket = bucket(quantile);
        return bucket < 0 ? 0 : bound(bucket + 1);
    }

    private static long bound(int bucket) {
        return (long) (MIN_NANOS * Math.pow(2, bucket / (double) BUCKETS_PER_OCTAVE));
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
