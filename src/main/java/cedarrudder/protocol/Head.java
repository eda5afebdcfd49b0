package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;

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

    /** Reads a head, line by line with their ends, up to and without its empty line. */
    static Head parse(byte[] bytes, int length, boolean request) throws BadMessageException {
        String text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
        int end = lineEnd(text, 0);
        String[] parts = text.substring(0, end).split(" ", request ? -1 : 3);
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
        for (int at = text.indexOf('\n') + 1; at < length; at = text.indexOf('\n', at) + 1) {
            head.parseField(text.substring(at, lineEnd(text, at)));
        }
        return head;
    }

    /** Where the line that begins here ends, without its CR and LF. */
    private static int lineEnd(String text, int from) {
        int end = text.indexOf('\n', from);
        return end > from && text.charAt(end - 1) == '\r' ? end - 1 : end;
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
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c > 127 || !Character.isLetterOrDigit(c) && TOKEN_MARKS.indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
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
