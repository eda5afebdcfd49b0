package cedarrudder.balancer;

/** The load that this replica sends: attempts in flight, and rates that decay with time. */
final class TrafficStatistics {

    /** Time over which rates are smoothed. */
    private static final double SMOOTHING_NANOS = 2e9;

    /** The peak of attempts in flight decays with this power of the others' decay: more slowly. */
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
     * @param replicas how many replicas send to this tier
     */
    TrafficStatistics(int replicas) {
        this.replicas = replicas;
    }

    /** Attempts in flight whose requests are fully uploaded. */
    int inFlight() {
        return inFlight;
    }

    void addInFlight(int attempts) {
        inFlight += attempts;
    }

    /** Attempts in flight on average over the recent past. */
    double averageInFlight() {
        return averageInFlight;
    }

    /** The most attempts in flight in the recent past. */
    double peakInFlight() {
        return peakInFlight;
    }

    /** Brings all rates up to date as a request is admitted. */
    void onRequest(long now) {
        double retained = retainedSince(now);
        requestRate *= retained;
        warmServiceRate *= retained;
        updatedAt = now;
        averageInFlight = averageInFlight * retained + inFlight * (1 - retained);
        peakInFlight = Math.max(inFlight, peakInFlight * Math.pow(retained, PEAK_DECAY_POWER));
    }

    /**
     * Counts an admitted request, after it was sent or queued: a rate is too high by itself in the
     * moment a request arrives.
     *
     * @param cost in mean requests
     */
    void countRequest(double cost) {
        requestRate += cost * NANOS_PER_SECOND / SMOOTHING_NANOS;
    }

    /**
     * Counts a good answer.
     *
     * @param cost in mean requests
     * @param subsetCapacity what the whole subset could do as it came, in warm endpoints
     */
    void countServed(double cost, double subsetCapacity) {
        if (subsetCapacity > 0) {
            warmServiceRate += cost * NANOS_PER_SECOND / SMOOTHING_NANOS / subsetCapacity;
        }
    }

    /**
     * What one warm endpoint does for this replica, in mean requests a second.
     *
     * <p>Within the subset it is known by answers, each divided by what the subset could do as it
     * came; not by requests, which are many when little can be done. Where more is not known, all
     * members being cold, an even part of the requests stands for it, but no more than one core can
     * do: many replicas that know nothing would else take the requests of a burst for what the
     * endpoints bear.
     *
     * @param coreTimeNanos the longest that one core takes for a mean request
     * @param subsetSize how many endpoints this replica sends to
     * @param ringSize how many endpoints are ready
     */
    double warmRate(
            long now, boolean inSubset, double coreTimeNanos, int subsetSize, int ringSize) {
        double retained = retainedSince(now);
        double coreRate = NANOS_PER_SECOND / coreTimeNanos * ringSize / replicas;
        double evenPart = Math.min(requestRate * retained, coreRate);
        return inSubset
                ? Math.max(evenPart / subsetSize, warmServiceRate * retained)
                : evenPart / ringSize;
    }

    private double retainedSince(long now) {
        return Math.min(1, Math.exp(-(now - updatedAt) / SMOOTHING_NANOS));
    }
}
