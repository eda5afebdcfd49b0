package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The head of an HTTP/1.1 message: the three parts of its first line (method, target and version, or
 * version, status and reason) and the header fields.
 */
public final class Head {

    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    private final String first;
    private final String second;
    private final String third;
    private final HeaderFields fields = new HeaderFields();

    private Head(String first, String second, String third) {
        this.first = first;
        this.second = second;
        this.third = third;
    }

    /** Reads a head up to and without its empty line. */
    static Head parse(byte[] bytes, int length, boolean request) throws BadMessageException {
        String[] lines = new String(Arrays.copyOf(bytes, length), StandardCharsets.ISO_8859_1).split("\r?\n");
        String[] parts = lines[0].split(" ", request ? -1 : 3);
        if (request ? parts.length != 3 : parts.length < 2) {
            throw BadMessageException.badRequest("not HTTP");
        }
        Head head = new Head(parts[0], parts[1], parts.length > 2 ? parts[2] : "");
        String version = request ? head.third : head.first;
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw BadMessageException.badRequest("not HTTP/1.1");
        }
        if (request ? !isToken(head.first) || !isTarget(head.second) : !isStatus(head.second)) {
            throw BadMessageException.badRequest("bad first line");
        }
        for (int i = 1; i < lines.length; i++) {
            head.parseField(lines[i]);
        }
        return head;
    }

    private void parseField(String line) throws BadMessageException {
        int colon = line.indexOf(':');
        if (colon < 0 || !isToken(line.substring(0, colon))) {
            throw BadMessageException.badRequest("bad header field");
        }
        String value = line.substring(colon + 1);
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                throw BadMessageException.badRequest("bad header field");
            }
        }
        fields.add(line.substring(0, colon), value.strip());
    }

    private static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c < 128
                && (Character.isLetterOrDigit(c) || TOKEN_MARKS.indexOf(c) >= 0));
    }

    private static boolean isTarget(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c != 0x7f);
    }

    private static boolean isStatus(String text) {
        return text.length() == 3 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    public String method() {
        return first;
    }

    public String target() {
        return second;
    }

    public int status() {
        return Integer.parseInt(second);
    }

    public HeaderFields fields() {
        return fields;
    }

    /** Whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        boolean persistent = !first.equals("HTTP/1.0") && !third.equals("HTTP/1.0");
        return persistent ? !fields.lists("Connection", "close") : fields.lists("Connection", "keep-alive");
    }
}
