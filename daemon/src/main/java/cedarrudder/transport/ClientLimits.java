package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpDecoder;

/**
 * What clients may cost. Times are in nanoseconds.
 *
 * @param requestTimeout a request must be whole this long after its connection came, or after its
 *     first byte where others came before it. This avoids half requests and silent connections
 *     holding descriptors: whoever sends what is no request is owed an answer or a close within 3 s
 * @param silentAfter clients send their first request as they connect, and each in one piece; one
 *     that is silent, or has sent half a request, for this long gives up its place where room is
 *     needed
 * @param idleTimeout a client between requests is closed after this long. The protocol allows it
 *     after 2 s; those that ask once and stay would pile up
 * @param responseTimeout a client that hasn't read its answer for this long has given up waiting
 *     for it
 * @param maxHeadBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes; what is over {@link BodyFlow#WINDOW}
 *     flows
 * @param descriptorShare the share of the process's descriptors that clients may hold
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
     * What counts where nothing is set: operators may set each. None of it ends a request that
     * waits for its answer, so that it holds for classes of any deadline.
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

    /** How many clients may be connected at once, of a process with this many descriptors. */
    public int maxClients(int descriptors) {
        return Math.max(1, (int) (descriptors * descriptorShare));
    }
}
