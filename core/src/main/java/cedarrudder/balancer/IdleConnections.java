package cedarrudder.balancer;

import cedarrudder.balancer.LoadBalancer.Actions;

/**
 * Decides which idle connections are closed. Endpoints accept a limited number of connections, an
 * open one costs them capacity, and an idle connection of one replica is one that another replica
 * lacks.
 */
final class IdleConnections {

    /**
     * No idle connections are retained for this long after an endpoint failed to accept a
     * connection.
     */
    private static final long SHORTAGE_NANOS = 3_000_000_000L;

    private final Actions actions;
    private long shortageUntil = Long.MIN_VALUE;

    IdleConnections(Actions actions) {
        this.actions = actions;
    }

    /** Records that a listed endpoint accepted no connection in time. */
    void onConnectionShortage(long now) {
        shortageUntil = now + SHORTAGE_NANOS;
    }

    /**
     * Closes the endpoint's idle connections if they are no longer needed after the end of an
     * attempt.
     */
    void onAttemptEnded(long now, EndpointState endpoint) {
        boolean surplusDuringShortage = now < shortageUntil && !endpoint.needsNewConnection();
        boolean outsideSubset = endpoint.inFlight() == 0 && !endpoint.isInSubset();
        if (surplusDuringShortage || outsideSubset) {
            close(endpoint);
        }
    }

    /** Closes idle connections that are no longer needed after a burst. */
    void closeSurplus(EndpointSubset subset) {
        for (EndpointState endpoint : subset.members()) {
            if (endpoint.checkForSurplusConnections()) {
                close(endpoint);
            }
        }
    }

    void close(EndpointState endpoint) {
        actions.closeIdleConnections(endpoint.id());
        endpoint.onIdleConnectionsClosed();
    }
}
