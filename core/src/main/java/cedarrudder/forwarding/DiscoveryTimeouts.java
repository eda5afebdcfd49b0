package cedarrudder.forwarding;

/**
 * How long discovery is waited for, in nanoseconds.
 *
 * @param call a call without an answer has failed after so long
 * @param again while none has an answer one more is made after so long, and those before still
 *     wait. A connection may come up a second late, so less than that would ask twice for nothing
 * @param watch a watch brings a line at least every 2 s, which may come a second late; one that was
 *     silent for so long is lost. Guards against a network that was cut: its connection stays open
 *     and says nothing
 * @param spread and up to so much longer, by chance, as where it ended: guards against all copies
 *     asking at once
 */
public record DiscoveryTimeouts(long call, long again, long watch, long spread) {

    /** What counts where nothing is set. */
    public static final DiscoveryTimeouts DEFAULT =
            new DiscoveryTimeouts(3_000_000_000L, 1_250_000_000L, 3_200_000_000L, 1_000_000_000L);
}
