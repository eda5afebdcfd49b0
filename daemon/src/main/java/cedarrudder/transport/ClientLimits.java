package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpDecoder;

/**
 * Limits on the resources that clients may use. Times are in nanoseconds.
 *
 * @param requestTimeout the time within which a request must be complete, from the start of its
 *     connection, or from its first byte if other requests came before it. Limits the descriptors
 *     used by partial requests and silent connections: a client that sends an invalid request is
 *     answered or disconnected within 3 s
 * @param silentAfter the time after which a client that is silent, or has sent part of a request,
 *     is evicted if connections are needed; clients send their first request as they connect, and
 *     each in one piece
 * @param idleTimeout the time after which a client between requests is disconnected. The protocol
 *     allows it after 2 s; connections of clients that send one request and stay connected would
 *     accumulate
 * @param responseTimeout the time after which a client that has not read its response has stopped
 *     waiting for it
 * @param maxHeadBytes the maximum size of a request's head, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes; a body over {@link
 *     BodyFlow#WINDOW} is streamed
 * @param descriptorShare the maximum fraction of the process's descriptors that clients may use
 */
public record ClientLimits(
        long requestTimeout,
        long silentAfter,
        long idleTimeout,
        long responseTimeout,
        int maxHeadBytes,
        int maxBodyBytes,
        double descriptorShare) {

    /**
     * The limits that apply unless operators set others. None of them ends a request that waits for
     * its response, so that they suit classes of any deadline.
     */
    public static final ClientLimits DEFAULT =
            new ClientLimits(
                    2_500_000_000L,
                    1_000_000_000L,
                    5_000_000_000L,
                    10_000_000_000L,
                    HttpDecoder.MAX_HEAD,
                    HttpDecoder.MAX_FLOW,
                    0.5);

    /** Returns the maximum number of clients of a process with this many descriptors. */
    public int maxClients(int descriptors) {
        return Math.max(1, (int) (descriptors * descriptorShare));
    }
}
