package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpDecoder;

/**
 * Limits on the resources that endpoints may use. Times are in nanoseconds.
 *
 * @param probeTimeout the time after which a probe without a response has failed
 * @param responseTimeout the time after which an incomplete response of which nothing more is
 *     received counts as paused, so that another attempt may be sent beside its own; one that is
 *     still being received after this time is streamed to its client
 * @param maxHeadBytes the maximum size of a response's head, in bytes
 * @param maxBodyBytes the maximum size of a response's body, in bytes; a body over {@link
 *     BodyFlow#WINDOW} is streamed
 * @param descriptorShare the fraction of the process's descriptors beyond which each new connection
 *     to an endpoint replaces an idle one
 */
public record EndpointLimits(
        long probeTimeout,
        long responseTimeout,
        int maxHeadBytes,
        int maxBodyBytes,
        double descriptorShare) {

    /**
     * The limits that apply unless operators set others. An attempt ends by its deadline in any
     * case.
     */
    public static final EndpointLimits DEFAULT =
            new EndpointLimits(
                    250_000_000L, 300_000_000L, HttpDecoder.MAX_HEAD, HttpDecoder.MAX_FLOW, 0.25);

    /**
     * The number of descriptors, of those not used by clients, that endpoint connections leave
     * free: for 16 connections of operators, discovery, the log and the program's own files. If
     * there are few descriptors, a fifth of all.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /**
     * Bounds on the number of connections to endpoints.
     *
     * @param maxIdle beyond this number, each new connection replaces an idle one
     * @param max beyond this number, no connection is opened
     */
    public record Bounds(int maxIdle, int max) {}

    /**
     * Returns the bounds of a process with this many descriptors, of which clients may use up to
     * {@code maxClients}.
     */
    public Bounds bounds(int descriptors, int maxClients) {
        return new Bounds(
                Math.max(1, (int) (descriptors * descriptorShare)),
                Math.max(
                        1,
                        descriptors
                                - maxClients
                                - Math.min(RESERVED_DESCRIPTORS, descriptors / 5)));
    }
}
