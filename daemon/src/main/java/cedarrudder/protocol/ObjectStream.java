package cedarrudder.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of bytes into the JSON objects that it holds. They may come one a line, or indented
 * over several; what they hold is not looked at. What is no object is passed on up to the end of
 * its line, for the reader to say so.
 */
public final class ObjectStream extends OutputStream {

    /** Receives what comes. */
    public interface Events {

        /** The first byte of an object came. */
        void begun();

        /** A line ended outside of an object. */
        void line();

        /** An object, whole. */
        void object(String text);
    }

    private final int max;
    private final Events events;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;

    /**
     * @param max the largest object that is read, in bytes; a larger one is an IOException
     */
    public ObjectStream(int max, Events events) {
        this.max = max;
        this.events = events;
    }

    /** The stream ended: what is left is passed on too. */
    public void end() {
        if (object.size() > 0) {
            passOn();
        }
    }

    @Override
    public void write(int next) throws IOException {
        if (object.size() == 0) {
            if (next == '\n') {
                events.line();
                return;
            }
            if (next == ' ' || next == '\t' || next == '\r') {
                return;
            }
            events.begun();
        }
        if (object.size() >= max) {
            throw new IOException("too long a list");
        }
        object.write(next);
        boolean broken =
                next == '\n' && (quoted || depth == 0); // no string holds a line feed as it is
        count(next);
        if (broken || depth == 0 && next == '}') {
            passOn();
        }
    }

    private void count(int next) {
        if (escaped) {
            escaped = false;
        } else if (quoted) {
            escaped = next == '\\';
            quoted = next != '"';
        } else if (next == '"') {
            quoted = depth > 0;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth = Math.max(0, depth - 1);
        }
    }

    private void passOn() {
        String text = object.toString(StandardCharsets.UTF_8);
        object.reset();
        depth = 0;
        quoted = false;
        escaped = false;
        events.object(text);
    }
}
