package cedarrudder.lab.experiment;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;

/**
 * Reads lines as bytes, with the byte that ends them, so that a last line without it can be told.
 */
final class LineBytes implements Closeable {

    private final InputStream in;

    LineBytes(InputStream in, int buffer) {
        this.in = new BufferedInputStream(in, buffer);
    }

    /** The next line; null at the end. */
    byte[] next() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int each = in.read();
        while (each >= 0) {
            line.write(each);
            if (each == '\n') {
                break;
            }
            each = in.read();
        }
        return line.size() == 0 ? null : line.toByteArray();
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
