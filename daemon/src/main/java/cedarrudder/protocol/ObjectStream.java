package cedarrudder.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of bytes into JSON objects, either one per line or indented over several lines.
 * The content of an object is not checked. Bytes that are not an object are passed to the listener
 * up to the end of their line, so that the reader rejects them.
 */
public final class ObjectStream extends OutputStream {

    /** Receives the content of a stream. */
    public interface Events {

        /** Called at the first byte of an object. */
        void begun();

        /** Called at a line end outside an object. */
        void line();

        /** Called with the text of a complete object. */
        void object(String text);
    }

    private final int max;
    private final Events events;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /**
     * @param max limit on an object in bytes; a larger object causes an IOException
     */
    public ObjectStream(int max, Events events) {
        this.max = max;
        this.events = events;
    }

    /** Handles the end of the stream: passes incomplete bytes to the listener as well. */
    public void end() {
        if (buffer.size() > 0) {
            emit();
        }
    }

    @Override
    public void write(int next) throws IOException {
        if (buffer.size() == 0) {
            if (next == '\n') {
                events.line();
                return;
            }
            if (next == ' ' || next == '\t' || next == '\r') {
                return;
            }
            events.begun();
        }
        if (buffer.size() >= max) {
            throw new IOException("list exceeds the size limit");
        }
        buffer.write(next);
        boolean broken =
                next == '\n'
                        && (inString
                                || depth == 0); // a JSON string contains no unescaped line feed
        trackNesting(next);
        if (broken || depth == 0 && next == '}') {
            emit();
        }
    }

    private void trackNesting(int next) {
        if (escaped) {
            escaped = false;
        } else if (inString) {
            escaped = next == '\\';
            inString = next != '"';
        } else if (next == '"') {
            inString = depth > 0;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth = Math.max(0, depth - 1);
        }
    }

    private void emit() {
        String text = buffer.toString(StandardCharsets.UTF_8);
        buffer.reset();
        depth = 0;
        inString = false;
        escaped = false;
        events.object(text);
    }
}
