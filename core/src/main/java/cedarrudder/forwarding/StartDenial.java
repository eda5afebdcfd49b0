package cedarrudder.forwarding;

import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * Why an attempt that waits for its connection may not send its first byte.
 *
 * @param outcome the outcome with which the attempt ends
 */
record StartDenial(Reason reason, Outcome outcome) {

    /** The reasons, in the order in which they are checked. */
    enum Reason {
        /** The client may have disconnected without this being detectable. */
        CLIENT_UNKNOWN,
        /** The request has its answer, has expired, or its content is no longer held. */
        REQUEST_OVER,
        /** The endpoint is no longer listed. */
        ENDPOINT_GONE,
        /** The balancer denies it: the endpoint drains or has restarted, or the key has expired. */
        BALANCER
    }
}
