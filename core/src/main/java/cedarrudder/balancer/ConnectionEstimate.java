package cedarrudder.balancer;

/**
 * An estimate of the number of connections that this replica has open to one endpoint: one for each
 * attempt that was in flight at the same time. No event reports connections to the balancer.
 */
final class ConnectionEstimate {

    /**
     * An endpoint that accepted no connection is assumed to be out of connections for this long.
     */
    private static final long OUT_OF_CONNECTIONS_NANOS = 300_000_000L;

    private int open;

    /** Maximum number of attempts in flight since the last check for surplus connections. */
    private int peakInFlight;

    private long outOfConnectionsUntil = Long.MIN_VALUE;

    void onAttemptSent(int inFlight) {
        open = Math.max(open, inFlight);
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    void onConnectFailed(long now, int inFlight) {
        open = Math.max(inFlight, open - 1);
        outOfConnectionsUntil = now + OUT_OF_CONNECTIONS_NANOS;
    }

    void onIdleClosed(int inFlight) {
        open = inFlight;
    }

    /** Returns whether one more attempt would have to open a connection. */
    boolean needsNewConnection(int inFlight) {
        return inFlight >= open;
    }

    /**
     * Returns whether an attempt would need a new connection, which the endpoint has recently
     * failed to accept.
     */
    boolean isOutOfConnections(long now, int inFlight) {
        return now < outOfConnectionsUntil && needsNewConnection(inFlight);
    }

    /**
     * Returns whether more connections are open than were used since the last call, and starts the
     * next measurement.
     */
    boolean checkForSurplus(int inFlight) {
        boolean surplus = open > Math.max(1, peakInFlight);
        peakInFlight = inFlight;
        return surplus;
    }
}
