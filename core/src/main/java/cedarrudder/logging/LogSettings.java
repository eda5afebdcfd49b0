package cedarrudder.logging;

/**
 * What is logged, and how much of it.
 *
 * @param level events below it are suppressed
 * @param linesPerSecond maximum number of lines per second of all levels but {@code INFO}, which
 *     occurs rarely; further lines are counted, and the count is logged
 * @param lineChars maximum characters of all texts of one line together; longer texts are truncated
 */
public record LogSettings(Level level, int linesPerSecond, int lineChars) {

    /** The default settings. */
    public static final LogSettings DEFAULT = new LogSettings(Level.INFO, 20, 300);
}
