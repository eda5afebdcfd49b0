package cedarrudder.balancer;

/** The load that this replica sends: attempts in flight, and rates that decay with time. */
final class TrafficStatistics {

    /** Time constant with which rates are smoothed. */
    private static final double SMOOTHING_NANOS = 2e9;

    /**
     * The decay of the peak of attempts in flight is that of the other values to this power, which
     * makes it slower.
     */
    private static final double PEAK_DECAY_POWER = 0.2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final int replicas;
    private int inFlight;
    private double averageInFlight;
    private double peakInFlight;
    private double requestRate;
    private double warmServiceRate;
    private long updatedAt;

    /**
     * @param replicas the number of replicas that send to this tier
     */
    TrafficStatistics(int replicas) {
        this.replicas = replicas;
    }

    /** Returns the number of attempts in flight whose requests are fully uploaded. */
    int inFlight() {
        return inFlight;
    }

    void addInFlight(int attempts) {
        inFlight += attempts;
    }

    /** Returns the recent average number of attempts in flight. */
    double averageInFlight() {
        return averageInFlight;
    }

    /** Returns the recent maximum number of attempts in flight. */
    double peakInFlight() {
        return peakInFlight;
    }

    /** Updates all rates when a request is admitted. */
    void onRequest(long now) {
        double retained = retainedSince(now);
        requestRate *= retained;
        warmServiceRate *= retained;
        updatedAt = now;
        averageInFlight = averageInFlight * retained + inFlight * (1 - retained);
        peakInFlight = Math.max(inFlight, peakInFlight * Math.pow(retained, PEAK_DECAY_POWER));
    }

    /**
     * Counts an admitted request. Called after the request was sent or queued, since a rate is too
     * high at the moment when a request arrives.
     *
     * @param cost in mean requests
     */
    void countRequest(double cost) {
        requestRate += cost * NANOS_PER_SECOND / SMOOTHING_NANOS;
    }

    /**
     * Counts a successful response.
     *
     * @param cost in mean requests
     * @param subsetCapacity the capacity of the whole subset when the response arrived, in warm
     *     endpoints
     */
    void countServed(double cost, double subsetCapacity) {
        if (subsetCapacity > 0) {
            warmServiceRate += cost * NANOS_PER_SECOND / SMOOTHING_NANOS / subsetCapacity;
        }
    }

    /**
     * Returns the rate at which one warm endpoint serves this replica, in mean requests per second.
     *
     * <p>Within the subset, the rate is known from responses, each divided by the capacity of the
     * subset when the response arrived. It is not derived from requests, of which there are many
     * when little can be served. If nothing more is known, since all members are cold, an even
     * fraction of the request rate is used instead, but no more than one core can serve: otherwise
     * many replicas without any knowledge would mistake the requests of a burst for the capacity of
     * the endpoints.
     *
     * @param coreTimeNanos the maximum time that one core needs for a mean request
     * @param subsetSize the number of endpoints that this replica sends to
     * @param ringSize the number of ready endpoints
     */
    double warmRate(
            long now, boolean inSubset, double coreTimeNanos, int subsetSize, int ringSize) {
        double retained = retainedSince(now);
        double coreRate = NANOS_PER_SECOND / coreTimeNanos * ringSize / replicas;
        double boundedRequestRate = Math.min(requestRate * retained, coreRate);
        return inSubset
                ? Math.max(boundedRequestRate / subsetSize, warmServiceRate * retained)
                : boundedRequestRate / ringSize;
    }

    private double retainedSince(long now) {
        return Math.min(1, Math.exp(-(now - updatedAt) / SMOOTHING_NANOS));
    }
}
