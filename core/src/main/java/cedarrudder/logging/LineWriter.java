package cedarrudder.logging;

/**
 * Formats the log's lines. The logger calls {@link #begin}, then {@link #field} for each field,
 * then {@link #end}; a line that was begun and not ended is dropped by the next {@code begin}.
 *
 * <p>Texts are free of control characters and within the logger's limit on length.
 */
public interface LineWriter {

    /**
     * Begins a line.
     *
     * @param millis milliseconds since the program's start
     */
    void begin(long millis, Level level, String event);

    void field(String name, String value);

    void field(String name, long value);

    /** Returns the line, without a line separator. */
    String end();
}
