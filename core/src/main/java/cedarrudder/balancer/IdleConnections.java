package cedarrudder.balancer;

import cedarrudder.balancer.LoadBalancer.Actions;

/**
 * Which idle connections are closed. Endpoints accept a limited number, an open one costs them
 * capacity, and the idle ones of one replica are those that another lacks.
 */
final class IdleConnections {

    /** No idle connection is kept for this long after an endpoint took none. */
    private static final long SCARCITY_NANOS = 3_000_000_000L;

    private final Actions actions;
    private long scarceUntil = Long.MIN_VALUE;

    IdleConnections(Actions actions) {
        this.actions = actions;
    }

    /** An endpoint that is listed took no connection in time. */
    void onScarce(long now) {
        scarceUntil = now + SCARCITY_NANOS;
    }

    /** An attempt has ended: closes what the endpoint's connections are no longer needed for. */
    void onAttemptEnded(long now, EndpointState endpoint) {
        boolean spare = now < scarceUntil && !endpoint.needsNewConnection();
        boolean outsideSubset = endpoint.inFlight() == 0 && !endpoint.isInSubset();
        if (spare || outsideSubset) {
            close(endpoint);
        }
    }

    /** Closes connections that a burst has left behind. */
    void closeSurplus(EndpointSubset subset) {
        for (EndpointState endpoint : subset.members()) {
            if (endpoint.takeSurplusConnections()) {
                close(endpoint);
            }
        }
    }

    void close(EndpointState endpoint) {
        actions.closeIdleConnections(endpoint.id());
        endpoint.onIdleConnectionsClosed();
    }
}
