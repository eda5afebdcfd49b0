package cedarrudder.budget;

/**
 * Admits a fraction of the requests, those of the highest priority, while the tier below reports
 * overload. After DAGOR (Zhou and others, SoCC 2018): a histogram of the priorities of recent
 * requests gives the level from which on requests are admitted, so that the wanted fraction passes;
 * the fraction falls by a factor and rises by steps.
 */
final class PriorityAdmission {

    private static final int BUCKETS = 64;

    /** The histogram is halved at this count, so that recent requests weigh more. */
    private static final double MAX_HISTOGRAM_COUNT = 256;

    /** The interval between updates of the fraction, in nanoseconds. */
    private static final long STEP_NANOS = 250_000_000L;

    /** The fraction is lowered if more than this fraction of the responses reports overload. */
    private static final double TOLERATED_OVERLOAD_FRACTION = 0.15;

    /**
     * The minimum number of responses that are evaluated, over as many steps as that takes. With
     * fewer, a proxy with a few requests a second would reject those of the lowest priority because
     * one request reached a full endpoint.
     */
    private static final int MIN_RESPONSES = 20;

    private static final double DECREASE_FACTOR = 0.8;
    private static final double INCREASE_STEP = 0.05;

    private final double minFraction;
    private final double[] arrived = new double[BUCKETS];
    private double total;
    private double admittedFraction = 1;
    private long nextUpdateAt = Long.MIN_VALUE;
    private long responses;
    private long overloads;
    private double credit;

    PriorityAdmission(double minFraction) {
        this.minFraction = minFraction;
    }

    /** Records a response to an attempt, and whether it reported overload of the tier below. */
    void onResponse(long now, boolean overload) {
        updateFraction(now);
        responses++;
        overloads += overload ? 1 : 0;
    }

    /**
     * Counts a request and returns whether it is admitted; called once for each request.
     *
     * @param priority from 0 to 1
     */
    boolean admits(long now, double priority) {
        updateFraction(now);
        int bucket = (int) Math.max(0, Math.min(BUCKETS - 1, priority * (BUCKETS - 1)));
        count(bucket);
        if (admittedFraction >= 1) {
            return true;
        }
        double above = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            above += arrived[i];
        }
        double part = (admittedFraction * total - above) / arrived[bucket];
        if (part >= 1 || part <= 0) {
            return part >= 1;
        }
        // Of the requests at the level itself a part is admitted, evenly and not at random.
        credit += part;
        if (credit >= 1) {
            credit--;
            return true;
        }
        return false;
    }

    private void count(int bucket) {
        arrived[bucket]++;
        total++;
        if (total >= MAX_HISTOGRAM_COUNT) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                arrived[i] /= 2;
                total += arrived[i];
            }
        }
    }

    private void updateFraction(long now) {
        if (now < nextUpdateAt) {
            return;
        }
        long steps = nextUpdateAt == Long.MIN_VALUE ? 0 : 1 + (now - nextUpdateAt) / STEP_NANOS;
        if (responses >= MIN_RESPONSES) {
            if (overloads > TOLERATED_OVERLOAD_FRACTION * responses) {
                admittedFraction = Math.max(minFraction, admittedFraction * DECREASE_FACTOR);
                steps--;
            }
            responses = 0;
            overloads = 0;
        }
        // The fraction rises by steps, so that a tier below that has recovered isn't flooded.
        admittedFraction =
                Math.min(
                        1,
                        admittedFraction
                                + INCREASE_STEP * Math.min(steps, (long) (1 / INCREASE_STEP)));
        nextUpdateAt = now + STEP_NANOS;
    }

    /** Returns the fraction of requests that is admitted now. */
    double admittedFraction() {
        return admittedFraction;
    }
}
