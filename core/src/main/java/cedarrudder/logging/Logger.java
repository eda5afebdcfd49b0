package cedarrudder.logging;

import java.io.PrintStream;
import java.util.function.Predicate;

/**
 * The project's logger: it writes one line per event to one stream. An event has a name, such as
 * {@code endpoint.response_rejected}, and fields with names:
 *
 * <pre>
 *  log.warn("endpoint.response_rejected").with("endpoint", address).with("why", reason).write();
 * </pre>
 *
 * <p>An event that is suppressed, by its level or by the limit on lines, allocates no memory, and
 * its fields are not converted to text.
 *
 * <p>Not thread-safe, since everything after the start runs on one event loop. Only one event is
 * built at a time: its fields follow at once, and {@link Entry#write} ends it.
 */
public final class Logger {

    /** The one-second window of {@link LogSettings#linesPerSecond}. */
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private static final Entry SUPPRESSED_ENTRY = new Entry(null, null);

    private final Predicate<String> out;
    private final long started = System.nanoTime();
    private LineWriter currentWriter;
    private LogSettings settings = LogSettings.DEFAULT;
    private Entry entry;
    private long windowStart = started;
    private int linesInWindow;
    private int suppressed;

    /** Creates a logger that writes {@linkplain TextLines text} with the default settings. */
    public Logger(PrintStream out) {
        this(
                line -> {
                    out.println(line);
                    return true;
                });
    }

    /**
     * Creates a logger of text that passes each line to a predicate, which returns false if it has
     * no capacity for the line; the line then counts as suppressed.
     */
    public Logger(Predicate<String> out) {
        this.out = out;
        lineWriter(new TextLines());
    }

    /** Sets the format of the following lines. */
    public void lineWriter(LineWriter writer) {
        currentWriter = writer;
        entry = new Entry(this, writer);
    }

    /** Sets the settings for the following events. */
    public void settings(LogSettings next) {
        settings = next;
    }

    /** Begins an event that helps to find a fault. */
    public Entry debug(String event) {
        return begin(Level.DEBUG, event);
    }

    /** Begins a rare event of the program itself. */
    public Entry info(String event) {
        return begin(Level.INFO, event);
    }

    /** Begins an event about a fault outside the program. */
    public Entry warn(String event) {
        return begin(Level.WARN, event);
    }

    /**
     * Begins an event about a fault of the program itself; its first field is the place where the
     * fault was thrown.
     */
    public Entry fault(String event, Throwable fault) {
        Entry newEntry = begin(Level.ERROR, event);
        StackTraceElement[] trace =
                newEntry == SUPPRESSED_ENTRY ? new StackTraceElement[0] : fault.getStackTrace();
        return trace.length == 0
                ? newEntry.with("error", fault)
                : newEntry.with("at", trace[0]).with("error", fault);
    }

    private Entry begin(Level level, String event) {
        if (level.compareTo(settings.level()) < 0 || level != Level.INFO && !hasCapacity(level)) {
            return SUPPRESSED_ENTRY;
        }
        return start(level, event);
    }

    /**
     * Returns whether the limit on lines allows another one. Without the limit a peer that sends
     * invalid data without end would fill the pipe that the log is written to, and a full pipe
     * blocks the event loop. Half of the lines are not open to events that help to find a fault,
     * since every request causes some.
     */
    private boolean hasCapacity(Level level) {
        long now = System.nanoTime();
        if (now - windowStart > WINDOW_NANOS) {
            int suppressedBefore = suppressed;
            windowStart = now;
            linesInWindow = 0;
            suppressed = 0;
            if (suppressedBefore > 0) {
                start(Level.WARN, "log.lines_suppressed").with("lines", suppressedBefore).write();
            }
        }
        int allowed = settings.linesPerSecond();
        if (linesInWindow < (level == Level.DEBUG ? allowed / 2 : allowed)) {
            linesInWindow++;
            return true;
        }
        suppressed++;
        return false;
    }

    private Entry start(Level level, String event) {
        currentWriter.begin((System.nanoTime() - started) / 1_000_000, level, event);
        entry.charsLeft = settings.lineChars();
        return entry;
    }

    /** An event that is being built. */
    public static final class Entry {
        private final Logger logger;
        private final LineWriter writer;
        private int charsLeft;

        private Entry(Logger logger, LineWriter writer) {
            this.logger = logger;
            this.writer = writer;
        }

        /** Adds a field with an integer value. */
        public Entry with(String name, long value) {
            if (writer != null) {
                writer.field(name, value);
            }
            return this;
        }

        /**
         * Adds a field with a text value: the result of the value's {@code toString}, or {@code
         * null}.
         */
        public Entry with(String name, Object value) {
            if (writer != null) {
                writer.field(name, sanitized(String.valueOf(value)));
            }
            return this;
        }

        /**
         * Returns a value truncated to the remaining characters, with control characters and
         * surrogates replaced. Otherwise a peer could send long texts, or forge log lines by
         * sending line breaks. Halves of surrogate pairs are no valid text either, and truncation
         * may leave one.
         */
        private String sanitized(String value) {
            StringBuilder clean = null;
            int length = Math.min(value.length(), charsLeft);
            charsLeft -= length;
            for (int i = 0; i < length; i++) {
                char next = value.charAt(i);
                if (Character.isISOControl(next) || Character.isSurrogate(next)) {
                    clean = clean == null ? new StringBuilder(value.substring(0, length)) : clean;
                    clean.setCharAt(i, '?');
                }
            }
            return clean != null ? clean.toString() : value.substring(0, length);
        }

        /** Writes the event's line. */
        public void write() {
            if (writer != null) {
                logger.suppressed += logger.out.test(writer.end()) ? 0 : 1;
            }
        }
    }
}
