package cedarrudder.balancer;

/**
 * The share of an endpoint's recent attempts that failed, as an exponentially weighted average that
 * also decays with time, so that no verdict lasts for good.
 */
final class FailureRate {

    /** Weight of the newest outcome: about the last five count. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** The share halves each time this long goes by. */
    private static final double HALF_LIFE_NANOS = 2e9;

    /** An endpoint is failing above this share. */
    private static final double FAILING_SHARE = 0.5;

    private double share;
    private long updatedAt;

    void record(long now, boolean success) {
        double current = shareAt(now);
        share = current + NEWEST_WEIGHT * ((success ? 0 : 1) - current);
        updatedAt = now;
    }

    /**
     * Whether most recent attempts failed. An endpoint that fails fast has few requests in flight,
     * so its load alone would attract ever more of them.
     */
    boolean isFailing(long now) {
        return shareAt(now) > FAILING_SHARE;
    }

    private double shareAt(long now) {
        return share == 0 ? 0 : share * Math.pow(2, -(now - updatedAt) / HALF_LIFE_NANOS);
    }
}
