package cedarrudder.balancer;

/** The probes of this replica to one endpoint: the one in flight and what earlier ones reported. */
final class ProbeState {

    /** A probe without an answer for this long is lost, and the endpoint may be probed again. */
    private static final long LOST_AFTER_NANOS = 5_000_000_000L;

    private boolean inFlight;
    private boolean lastFailed;
    private long sentAt;
    private int ownInFlightAtSend;
    private double reportedLatency;

    /** Whether the endpoint may be probed now: no probe is in flight, or the last one is lost. */
    boolean maySend(long now) {
        return !inFlight || now - sentAt > LOST_AFTER_NANOS;
    }

    void onSent(long now, int ownInFlight) {
        inFlight = true;
        sentAt = now;
        ownInFlightAtSend = ownInFlight;
    }

    /**
     * Takes the answer to the probe sent at an instant.
     *
     * @return whether it answers the probe in flight; an older or repeated answer does not count
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

    /** Whether the last probe brought no answer. */
    boolean lastFailed() {
        return lastFailed;
    }

    /** This replica's own attempts in flight when the last probe was sent. */
    int ownInFlightAtSend() {
        return ownInFlightAtSend;
    }

    /** Adds a reported latency to the smoothed one and returns that. */
    double smoothLatency(double newest, double weight) {
        reportedLatency =
                reportedLatency == 0
                        ? newest
                        : reportedLatency + weight * (newest - reportedLatency);
        return reportedLatency;
    }
}
