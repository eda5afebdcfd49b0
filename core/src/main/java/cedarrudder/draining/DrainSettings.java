package cedarrudder.draining;

/**
 * The figures of the mechanism; times are nanoseconds.
 *
 * @param reportTimeout a replica that has said nothing for this long keeps waves from beginning and
 *     drains from ending
 * @param forgetAfter and one that is dead is waited for this long: membership may be wrong
 * @param unlistedTimeout a node that is not listed for this long is gone
 * @param heartbeat while drains are open the agreed clock is committed so often
 */
public record DrainSettings(
        long reportTimeout, long forgetAfter, long unlistedTimeout, long heartbeat) {

    private static final long SECOND = 1_000_000_000L;

    /** What serves where nothing else is said. */
    public static final DrainSettings DEFAULT =
            new DrainSettings(3 * SECOND, 10 * SECOND, SECOND, 2 * SECOND);

    /** Checks that all are over 0; what is wrong is an IllegalArgumentException that names it. */
    public DrainSettings {
        DrainPolicy.check(reportTimeout > 0, "patience", reportTimeout, "over 0");
        DrainPolicy.check(forgetAfter > 0, "forgets", forgetAfter, "over 0");
        DrainPolicy.check(unlistedTimeout > 0, "unlisted", unlistedTimeout, "over 0");
        DrainPolicy.check(heartbeat > 0, "beat", heartbeat, "over 0");
    }
}
