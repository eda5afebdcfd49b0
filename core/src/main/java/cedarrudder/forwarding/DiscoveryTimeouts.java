package cedarrudder.forwarding;

/**
 * How long discovery is waited for, in nanoseconds.
 *
 * @param callNanos a call without an answer has failed after this long
 * @param hedgeNanos while no call has an answer one more is made after this long, and those before
 *     still wait. A connection may come up a second late, so less would call twice for nothing
 * @param watchSilenceNanos a watch that was silent for this long is lost: it brings a line at least
 *     every 2 s, which may come a second late, and a connection that was cut off stays open and
 *     brings nothing
 * @param jitterNanos and up to this much longer, at random, so that replicas do not all poll at
 *     once
 */
public record DiscoveryTimeouts(
        long callNanos, long hedgeNanos, long watchSilenceNanos, long jitterNanos) {

    /** What counts where nothing is set. */
    public static final DiscoveryTimeouts DEFAULT =
            new DiscoveryTimeouts(3_000_000_000L, 1_250_000_000L, 3_200_000_000L, 1_000_000_000L);
}
