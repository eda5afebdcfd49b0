package cedarrudder.lab.attack;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * An answer as a client reads it. The reader is strict: it takes only what a client needs no
 * leniency for.
 *
 * @param head its first line and fields
 */
public record Answer(int status, String head, String body) {

    private static final int MAX_HEAD = 32 * 1024;

    /** One that is no answer of HTTP. */
    static final class UnsoundException extends IOException {
        private static final long serialVersionUID = 1L;

        UnsoundException(String message) {
            super(message);
        }
    }

    /**
     * Reads the next one; null where the connection ends before it.
     *
     * @param bodiless the request was one whose answers have no body, whatever their length says
     */
    public static Answer read(InputStream in, boolean bodiless) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0 && head.isEmpty()) {
                return null;
            }
            if (next < 0) {
                throw new EOFException("an answer was cut in its head");
            }
            head.append((char) next);
            if (head.length() > MAX_HEAD) {
                throw new UnsoundException("an answer's head has no end");
            }
        }
        String[] lines = head.toString().split("\r\n");
        if (!lines[0].matches("HTTP/1\\.1 [1-5][0-9]{2} [ -~]*")) {
            throw new UnsoundException("no status line: " + lines[0]);
        }
        int status = Integer.parseInt(lines[0].substring(9, 12));
        Integer length = null;
        for (int i = 1; i < lines.length; i++) {
            if (!lines[i].matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*")) {
                throw new UnsoundException("a bad field in an answer: " + lines[i]);
            }
            if (lines[i].regionMatches(true, 0, "content-length:", 0, 15)) {
                if (length != null) {
                    throw new UnsoundException("two lengths in an answer");
                }
                length = Integer.parseInt(lines[i].substring(15).strip());
            }
        }
        if (bodiless && status >= 200 || status < 200) {
            return new Answer(status, head.toString(), "");
        }
        if (length == null) {
            throw new UnsoundException("an answer without a length");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("an answer was cut in its body");
        }
        return new Answer(status, head.toString(), new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Whether it says that its connection ends behind it. */
    boolean closes() {
        return head.toLowerCase(java.util.Locale.ROOT).contains("\r\nconnection: close\r\n");
    }
}
