package cedarrudder.balancer;

/**
 * The probes of this replica to one endpoint: the probe in flight and the reports of earlier ones.
 */
final class ProbeState {

    /** A probe without a response for this long is lost, and the endpoint may be probed again. */
    private static final long LOST_AFTER_NANOS = 5_000_000_000L;

    private boolean inFlight;
    private boolean lastFailed;
    private long sentAt;
    private int ownInFlightAtSend;
    private double reportedLatency;

    /**
     * Returns whether the endpoint may be probed now: no probe is in flight, or the last one is
     * lost.
     */
    boolean maySend(long now) {
        return !inFlight || now - sentAt > LOST_AFTER_NANOS;
    }

    void onSent(long now, int ownInFlight) {
        inFlight = true;
        sentAt = now;
        ownInFlightAtSend = ownInFlight;
    }

    /**
     * Records the end of the probe that was sent at an instant.
     *
     * @return whether this is the probe in flight; the end of an older probe, or a repeated end,
     *     does not count
     */
    boolean onAnswer(long probeSentAt) {
        if (!inFlight || probeSentAt < sentAt) {
            return false;
        }
        inFlight = false;
        return true;
    }

    void setLastFailed(boolean failed) {
        lastFailed = failed;
    }

    /** Returns whether the last probe failed. */
    boolean lastFailed() {
        return lastFailed;
    }

    /** Returns the number of this replica's own attempts in flight when the last probe was sent. */
    int ownInFlightAtSend() {
        return ownInFlightAtSend;
    }

    /** Adds a reported latency to the smoothed latency and returns the latter. */
    double smoothLatency(double newest, double weight) {
        reportedLatency =
                reportedLatency == 0
                        ? newest
                        : reportedLatency + weight * (newest - reportedLatency);
        return reportedLatency;
    }
}
