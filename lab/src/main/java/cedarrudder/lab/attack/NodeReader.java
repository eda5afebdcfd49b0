package cedarrudder.lab.attack;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Reads requests as a node gets them, and takes nothing but what is beyond doubt: any leniency here
 * would hide what passed through the proxy.
 */
final class NodeReader {

    private static final int MAX_HEAD = 64 * 1024;
    private static final String LINE = "[A-Z]+ /[!-\"$-~]* HTTP/1\\.1";
    private static final String FIELD = "[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\\t -~\\x80-\\xff]*";

    /** Fields of the client's connection, which end there. */
    private static final Set<String> ENDS_THERE =
            Set.of(
                    "connection",
                    "transfer-encoding",
                    "upgrade",
                    "te",
                    "expect",
                    "keep-alive",
                    "proxy-connection",
                    "http2-settings",
                    "x-mark-dropped");

    private static final Set<String> ONCE =
            Set.of(
                    "host",
                    "req-id",
                    "req-kind",
                    "req-deadline-ms",
                    "content-length",
                    "idempotency-key");

    /** A request with what is wrong in it; null where nothing is. */
    record Request(String target, String id, String unsound) {}

    private NodeReader() {}

    /** The next request; null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
            if (text.length() > MAX_HEAD) {
                return new Request("", "", "a head without an end");
            }
        }
        List<String> lines = List.of(text.substring(0, text.length() - 4).split("\r\n", -1));
        String unsound = lines.get(0).matches(LINE) ? null : "first line: " + lines.get(0);
        List<String> fields = lines.subList(1, lines.size());
        for (String field : fields) {
            String name =
                    field.substring(0, Math.max(0, field.indexOf(':'))).toLowerCase(Locale.ROOT);
            if (!field.matches(FIELD) || ENDS_THERE.contains(name)) {
                unsound = "field: " + field;
            }
            if (ONCE.contains(name)
                    && fields.stream()
                                    .filter(f -> f.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                                    .count()
                            > 1) {
                unsound = "two fields " + name;
            }
        }
        if (value(fields, "host") == null) {
            unsound = "no host";
        }
        String length = value(fields, "content-length");
        if (length != null && !length.matches("[0-9]{1,6}")) {
            return new Request("", "", "length: " + length);
        }
        in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        String[] parts = lines.get(0).split(" ");
        String id = value(fields, "req-id");
        return new Request(parts.length > 1 ? parts[1] : "", id == null ? "" : id, unsound);
    }

    private static String value(List<String> fields, String name) {
        return fields.stream()
                .filter(f -> f.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .findFirst()
                .map(f -> f.substring(name.length() + 1).strip())
                .orElse(null);
    }
}
