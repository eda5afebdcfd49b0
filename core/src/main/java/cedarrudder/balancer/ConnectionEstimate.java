package cedarrudder.balancer;

/**
 * An estimate of the connections that this replica has open to one endpoint: one for each attempt
 * that was in flight at once. No event reports connections to the balancer.
 */
final class ConnectionEstimate {

    /** An endpoint that took no connection is taken to be out of them for this long. */
    private static final long OUT_OF_CONNECTIONS_NANOS = 300_000_000L;

    private int open;

    /** The most attempts in flight since the last look for surplus connections. */
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

    /** Whether one more attempt would have to open a connection. */
    boolean needsNewConnection(int inFlight) {
        return inFlight >= open;
    }

    /** Whether an attempt would wait for a connection that the endpoint has lately refused. */
    boolean isOutOfConnections(long now, int inFlight) {
        return now < outOfConnectionsUntil && needsNewConnection(inFlight);
    }

    /** Whether more connections are open than were used since the last call. */
    boolean takeSurplus(int inFlight) {
        boolean surplus = open > Math.max(1, peakInFlight);
        peakInFlight = inFlight;
        return surplus;
    }
}
