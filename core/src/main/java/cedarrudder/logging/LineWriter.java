package cedarrudder.logging;

/**
 * The form of the log's lines. The logger calls {@link #begin}, then {@link #field} for each field,
 * then {@link #end}; a line that was begun and not ended is dropped by the next {@code begin}.
 *
 * <p>Texts come without control characters and within the logger's bound on length.
 */
public interface LineWriter {

    /**
     * @param millis milliseconds since the program's start
     */
    void begin(long millis, Level level, String event);

    void field(String name, String value);

    void field(String name, long value);

    /** The line, without its end. */
    String end();
}
