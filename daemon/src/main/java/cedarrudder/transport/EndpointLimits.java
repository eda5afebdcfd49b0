package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.protocol.HttpDecoder;

/**
 * What endpoints may cost. Times are in nanoseconds.
 *
 * @param probeTimeout a probe without an answer is given up after this long
 * @param responseTimeout an answer that has begun, of which nothing more has come for this long,
 *     has been spoilt; one that is still coming after this long flows to its client as it comes.
 *     Guards against waiting until the request's end for the rest of an answer that is shorter than
 *     it says, or whose head never ends
 * @param maxHeadBytes the largest head of an answer, in bytes
 * @param maxBodyBytes the largest body of an answer, in bytes; what is over {@link BodyFlow#WINDOW}
 *     flows
 * @param descriptorShare the share of the process's descriptors beyond which each new channel costs
 *     one that is idle
 */
public record EndpointLimits(
        long probeTimeout,
        long responseTimeout,
        int maxHeadBytes,
        int maxBodyBytes,
        double descriptorShare) {

    /**
     * What counts where nothing is set: operators may set each. An attempt ends by its deadline
     * anyway.
     */
    public static final EndpointLimits DEFAULT =
            new EndpointLimits(
                    250_000_000L, 300_000_000L, HttpDecoder.MAX_HEAD, HttpDecoder.MAX_FLOW, 0.25);

    /**
     * Of what clients leave, this many descriptors are no channel's: 16 calls of operators,
     * discovery, the log, the program's own files. Where there are few, a fifth of all.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /**
     * How many channels there may be.
     *
     * @param maxIdle beyond this many, each new one costs one that is idle
     * @param max beyond this many, none is opened
     */
    public record Bounds(int maxIdle, int max) {}

    /** The bounds of a process with this many descriptors, of which clients may hold some. */
    public Bounds bounds(int descriptors, int callers) {
        return new Bounds(
                Math.max(1, (int) (descriptors * descriptorShare)),
                Math.max(
                        1,
                        descriptors - callers - Math.min(RESERVED_DESCRIPTORS, descriptors / 5)));
    }
}
