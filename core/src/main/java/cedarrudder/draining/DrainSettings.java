package cedarrudder.draining;

/**
 * Timeouts and intervals of drains, in nanoseconds.
 *
 * @param reportTimeout how long a report counts; a live replica without a later one keeps waves
 *     from beginning and drains from ending
 * @param forgetAfter how long drains wait for a dead replica, as membership may be wrong about it
 * @param unlistedTimeout how long a node is unlisted before it counts as gone
 * @param heartbeat how often the replicated clock is committed while drains are open
 */
public record DrainSettings(
        long reportTimeout, long forgetAfter, long unlistedTimeout, long heartbeat) {

    private static final long SECOND = 1_000_000_000L;

    /** The default settings. */
    public static final DrainSettings DEFAULT =
            new DrainSettings(3 * SECOND, 10 * SECOND, SECOND, 2 * SECOND);

    /**
     * Checks that all values are over 0; throws an IllegalArgumentException that names a value that
     * isn't.
     */
    public DrainSettings {
        DrainPolicy.check(reportTimeout > 0, "patience", reportTimeout, "over 0");
        DrainPolicy.check(forgetAfter > 0, "forgets", forgetAfter, "over 0");
        DrainPolicy.check(unlistedTimeout > 0, "unlisted", unlistedTimeout, "over 0");
        DrainPolicy.check(heartbeat > 0, "beat", heartbeat, "over 0");
    }
}
