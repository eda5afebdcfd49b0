package cedarrudder.logging;

/**
 * What is logged, and how much of it.
 *
 * @param level events below it are left out
 * @param linesPerSecond this many lines of each second may be of the levels that come in any
 *     number, all but {@code INFO}; the rest is counted and the count logged
 * @param lineChars the texts in one line have this many characters together at most; what is longer
 *     is cut
 */
public record LogSettings(Level level, int linesPerSecond, int lineChars) {

    /** What counts where nothing is set. */
    public static final LogSettings DEFAULT = new LogSettings(Level.INFO, 20, 300);
}
