package cedarrudder.balancer;

/**
 * The fraction of an endpoint's recent attempts that failed, as an exponentially weighted average
 * that also decays with time, so that no endpoint is considered failing forever.
 */
final class FailureRate {

    /** Weight of the newest outcome: about the last five outcomes count. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** Time in which the rate decays by half. */
    private static final double HALF_LIFE_NANOS = 2e9;

    /** An endpoint is failing if its rate exceeds this. */
    private static final double FAILING_THRESHOLD = 0.5;

    private double rate;
    private long updatedAt;

    void record(long now, boolean success) {
        double current = rateAt(now);
        rate = current + NEWEST_WEIGHT * ((success ? 0 : 1) - current);
        updatedAt = now;
    }

    /**
     * Returns whether most recent attempts failed. An endpoint that fails fast has few requests in
     * flight, so its load alone would attract more and more of them.
     */
    boolean isFailing(long now) {
        return rateAt(now) > FAILING_THRESHOLD;
    }

    private double rateAt(long now) {
        return rate == 0 ? 0 : rate * Math.pow(2, -(now - updatedAt) / HALF_LIFE_NANOS);
    }
}
