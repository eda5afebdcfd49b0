package cedarrudder.logging;

import java.io.PrintStream;
import java.util.function.Predicate;

/**
 * The project's logger: one line an event on one stream. An event has a name, such as {@code
 * node.spoilt}, and fields with names of their own:
 *
 * <pre>
 * log.warn("endpoint.response_rejected").with("endpoint", address).with("why", reason).write();
 * </pre>
 *
 * <p>An event that is left out, by its level or by the bound on lines, costs no memory, and its
 * fields are not turned into text.
 *
 * <p>Not thread-safe, as all that runs after the start runs on one event loop. One event is made at
 * a time: its fields follow at once, and {@link Entry#write} ends it.
 */
public final class Logger {

    /** The second of {@link LogSettings#linesPerSecond}. */
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private static final Entry LEFT_OUT = new Entry(null, null);

    private final Predicate<String> out;
    private final long started = System.nanoTime();
    private LineWriter lines;
    private LogSettings settings = LogSettings.DEFAULT;
    private Entry entry;
    private long window = started;
    private int written;
    private int suppressed;

    /** A logger of {@linkplain TextLines text} with the default settings. */
    public Logger(PrintStream out) {
        this(
                line -> {
                    out.println(line);
                    return true;
                });
    }

    /**
     * The same, to whom takes lines, or says that there is no room for one: it counts as left out.
     */
    public Logger(Predicate<String> out) {
        this.out = out;
        lineWriter(new TextLines());
    }

    /** From now on lines have this form. */
    public void lineWriter(LineWriter writer) {
        lines = writer;
        entry = new Entry(this, writer);
    }

    /** From now on these settings count. */
    public void settings(LogSettings next) {
        settings = next;
    }

    /** Begins an event that helps to find a fault. */
    public Entry debug(String event) {
        return begin(Level.DEBUG, event);
    }

    /** Begins a rare event of the program's own life. */
    public Entry info(String event) {
        return begin(Level.INFO, event);
    }

    /** Begins an event that tells of something wrong outside. */
    public Entry warn(String event) {
        return begin(Level.WARN, event);
    }

    /**
     * Begins an event that tells of a fault of the program itself; where it came from is its first
     * field.
     */
    public Entry fault(String event, Throwable fault) {
        Entry begun = begin(Level.ERROR, event);
        StackTraceElement[] trace =
                begun == LEFT_OUT ? new StackTraceElement[0] : fault.getStackTrace();
        return trace.length == 0
                ? begun.with("error", fault)
                : begun.with("at", trace[0]).with("error", fault);
    }

    private Entry begin(Level level, String event) {
        if (level.compareTo(settings.level()) < 0 || level != Level.INFO && !hasCapacity()) {
            return LEFT_OUT;
        }
        return start(level, event);
    }

    /**
     * This avoids a peer that sends nonsense without end: writing it all down would fill the pipe
     * that the log goes to, and a full pipe blocks the event loop.
     */
    private boolean hasCapacity() {
        long now = System.nanoTime();
        if (now - window > WINDOW_NANOS) {
            int left = suppressed;
            window = now;
            written = 0;
            suppressed = 0;
            if (left > 0) {
                start(Level.WARN, "log.lines_suppressed").with("lines", left).write();
            }
        }
        if (written < settings.linesPerSecond()) {
            written++;
            return true;
        }
        suppressed++;
        return false;
    }

    private Entry start(Level level, String event) {
        lines.begin((System.nanoTime() - started) / 1_000_000, level, event);
        entry.charsLeft = settings.lineChars();
        return entry;
    }

    /** An event in the making. */
    public static final class Entry {
        private final Logger logger;
        private final LineWriter writer;
        private int charsLeft;

        private Entry(Logger logger, LineWriter writer) {
            this.logger = logger;
            this.writer = writer;
        }

        /** A field that holds a whole number. */
        public Entry with(String name, long value) {
            if (writer != null) {
                writer.field(name, value);
            }
            return this;
        }

        /** A field that holds a text: what the value's {@code toString} says, or {@code null}. */
        public Entry with(String name, Object value) {
            if (writer != null) {
                writer.field(name, bounded(String.valueOf(value)));
            }
            return this;
        }

        /**
         * This avoids a peer that sends long texts, and against one that writes log lines of its
         * own by sending line ends. Halves of character pairs are no text either, and a cut may
         * leave one.
         */
        private String bounded(String value) {
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
