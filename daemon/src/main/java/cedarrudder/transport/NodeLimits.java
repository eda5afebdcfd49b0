package cedarrudder.transport;

import cedarrudder.flow.BodyFlow;
import cedarrudder.protocol.HttpDecoder;

/**
 * What nodes may cost. Times are in nanoseconds.
 *
 * @param probePatience a probe without an answer is given up after so long
 * @param answerPatience an answer that has begun, of which nothing more has come for so long, has been
 * spoilt; one that is still coming after so long flows to its caller as it comes. Guards against waiting
 * until the RPC's end for the rest of an answer that is shorter than it says, or whose head never ends
 * @param mostHead the largest head of an answer, in bytes
 * @param mostBody the largest body of an answer, in bytes; what is over {@link BodyFlow#WINDOW} flows
 * @param descriptorsShare the share of the process's descriptors beyond which each new channel costs one
 * that is idle
 */
public record NodeLimits(long probePatience, long answerPatience, int mostHead, int mostBody,
        double descriptorsShare) {

    /** What counts where nothing is set. */
    public static final NodeLimits DEFAULT = new NodeLimits(250_000_000L, 300_000_000L,
            HttpDecoder.MOST_HEAD, HttpDecoder.MOST_FLOW, 0.25);

    /** How many channels may be open before idle ones are closed, with so many descriptors. */
    public int mostChannels(int descriptors) {
        return Math.max(1, (int) (descriptors * descriptorsShare));
    }
}
