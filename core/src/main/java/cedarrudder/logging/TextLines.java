package cedarrudder.logging;

/**
 * Formats human-readable lines: seconds since the start, level, event, then {@code name=value} for
 * each field. A value that is empty or has a space, a quote or an equals sign is quoted, with
 * quotes and backslashes in it escaped.
 */
public final class TextLines implements LineWriter {

    /** Initial capacity of a line's buffer, in characters. */
    private static final int INITIAL_CHARS = 120;

    private StringBuilder line = new StringBuilder();

    @Override
    public void begin(long millis, Level level, String event) {
        line =
                new StringBuilder(INITIAL_CHARS)
                        .append(millis / 1000)
                        .append('.')
                        .append(millis % 1000 / 100)
                        .append(millis % 100 / 10)
                        .append(millis % 10)
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(event);
    }

    @Override
    public void field(String name, long value) {
        line.append(' ').append(name).append('=').append(value);
    }

    @Override
    public void field(String name, String value) {
        line.append(' ').append(name).append('=');
        if (!value.isEmpty()
                && value.indexOf(' ') < 0
                && value.indexOf('"') < 0
                && value.indexOf('=') < 0) {
            line.append(value);
            return;
        }
        line.append('"');
        for (int i = 0; i < value.length(); i++) {
            char next = value.charAt(i);
            if (next == '"' || next == '\\') {
                line.append('\\');
            }
            line.append(next);
        }
        line.append('"');
    }

    @Override
    public String end() {
        return line.toString();
    }
}
