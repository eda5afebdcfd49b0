package cedarrudder.draining;

/**
 * The figures of the mechanism; times are nanoseconds.
 *
 * @param patience a replica that has said nothing for this long keeps waves from beginning and
 *     drains from ending
 * @param forgets and one that lives no more is waited for this long: membership may be wrong
 * @param unlisted a node that is not listed for this long is gone
 * @param beat while drains are open the agreed clock is committed so often
 */
public record DrainSettings(long patience, long forgets, long unlisted, long beat) {

    private static final long SECOND = 1_000_000_000L;

    /** What serves where nothing else is said. */
    public static final DrainSettings DEFAULT =
            new DrainSettings(3 * SECOND, 10 * SECOND, SECOND, 2 * SECOND);

    /** Checks that all are over 0; what is wrong is an IllegalArgumentException that names it. */
    public DrainSettings {
        DrainPolicy.check(patience > 0, "patience", patience, "over 0");
        DrainPolicy.check(forgets > 0, "forgets", forgets, "over 0");
        DrainPolicy.check(unlisted > 0, "unlisted", unlisted, "over 0");
        DrainPolicy.check(beat > 0, "beat", beat, "over 0");
    }
}
