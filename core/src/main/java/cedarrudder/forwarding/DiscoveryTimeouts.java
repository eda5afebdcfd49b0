package cedarrudder.forwarding;

/**
 * Timeouts of calls to discovery, in nanoseconds.
 *
 * @param callNanos the time after which a call without a response has failed
 * @param hedgeNanos while no call has a response, another one is made after this long, and the
 *     earlier ones stay in flight. A connection may be established a second late, so a shorter
 *     delay would make calls twice for nothing
 * @param watchSilenceNanos the time without data after which a watch is lost. A watch delivers a
 *     line at least every 2 s, which may arrive a second late; a connection that was cut off stays
 *     open and delivers nothing
 * @param jitterNanos the maximum random addition to {@code watchSilenceNanos}, so that replicas do
 *     not all poll at once
 */
public record DiscoveryTimeouts(
        long callNanos, long hedgeNanos, long watchSilenceNanos, long jitterNanos) {

    /** The timeouts that apply unless others are set. */
    public static final DiscoveryTimeouts DEFAULT =
            new DiscoveryTimeouts(3_000_000_000L, 1_250_000_000L, 3_200_000_000L, 1_000_000_000L);
}
