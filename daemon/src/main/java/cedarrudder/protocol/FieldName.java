package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * The name of a header field, with the properties that follow from the name. Instances for common
 * names are created once: a message has some ten fields, and creating the strings of each name
 * again was the largest cost of parsing a message.
 */
public final class FieldName {

    /** Hop-by-hop fields, and fields that the proxy writes itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect",
                    "srv-load");

    /** Common names; an instance for any other name is created for each message. */
    private static final String[] COMMON_NAMES = {
        "Host",
        "Connection",
        "Keep-Alive",
        "Content-Length",
        "Content-Type",
        "Transfer-Encoding",
        "Date",
        "Server",
        "User-Agent",
        "Accept",
        "Accept-Encoding",
        "Expect",
        "Idempotency-Key",
        "Req-Id",
        "Req-Kind",
        "Req-Owner",
        "Req-Deadline-Ms",
        "Req-Cost",
        "Req-Retry",
        "Srv-Load",
        "Srv-Declined",
        "Retry-After"
    };

    /**
     * Size of the table: a power of two, several times the number of common names in their two
     * spellings.
     */
    private static final int SLOTS = 256;

    private static final FieldName[] TABLE = new FieldName[SLOTS];

    static {
        for (String name : COMMON_NAMES) {
            addToTable(new FieldName(name));
            addToTable(new FieldName(name.toLowerCase(Locale.ROOT)));
        }
    }

    private final String text;
    private final String key;
    private final byte[] bytes;
    private final boolean forwardable;
    private final boolean isEndToEnd;

    private FieldName(String text) {
        this.text = text;
        String lower = text.toLowerCase(Locale.ROOT);
        this.key = lower.equals(text) ? text : lower;
        this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        this.forwardable = !NOT_FORWARDED.contains(key);
        this.isEndToEnd =
                key.startsWith("req-") || key.equals("idempotency-key") || key.equals("host");
    }

    private static void addToTable(FieldName name) {
        int at = slot(name.bytes, 0, name.bytes.length);
        while (TABLE[at] != null) {
            at = at + 1 & SLOTS - 1;
        }
        TABLE[at] = name;
    }

    /** Returns the name with this text, which must be a token. */
    static FieldName of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        FieldName common = findCommon(bytes, 0, bytes.length);
        return common != null ? common : new FieldName(text);
    }

    /** Returns the name in these bytes; null where they are not a token (RFC 9110 5.1). */
    static FieldName read(byte[] bytes, int from, int to) {
        FieldName common = from < to ? findCommon(bytes, from, to) : null;
        if (common != null) {
            return common;
        }
        for (int i = from; i < to; i++) {
            if (!MessageHead.inToken(bytes[i])) {
                return null;
            }
        }
        return from == to
                ? null
                : new FieldName(new String(bytes, from, to - from, StandardCharsets.ISO_8859_1));
    }

    private static FieldName findCommon(byte[] bytes, int from, int to) {
        for (int at = slot(bytes, from, to); TABLE[at] != null; at = at + 1 & SLOTS - 1) {
            if (TABLE[at].matches(bytes, from, to)) {
                return TABLE[at];
            }
        }
        return null;
    }

    /**
     * Hashes the length and three bytes, which suffice to distinguish the common names and cost the
     * same for a long name.
     */
    private static int slot(byte[] bytes, int from, int to) {
        int length = to - from;
        int hash = length * 31 + bytes[from];
        hash = hash * 31 + bytes[to - 1];
        return hash * 31 + bytes[from + length / 2] & SLOTS - 1;
    }

    private boolean matches(byte[] other, int from, int to) {
        if (to - from != bytes.length) {
            return false;
        }
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != other[from + i]) {
                return false;
            }
        }
        return true;
    }

    /** Returns the name as received. */
    public String text() {
        return text;
    }

    /** Returns the name in lower case, for comparisons. */
    public String key() {
        return key;
    }

    /** Returns whether such a field may be forwarded beyond the connection on which it arrived. */
    boolean isForwardable() {
        return forwardable;
    }

    /**
     * Returns whether the field is forwarded even where {@code Connection} lists it. Otherwise a
     * client could strip a request of essential fields, such as its idempotency key.
     */
    boolean isEndToEnd() {
        return isEndToEnd;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FieldName name && text.equals(name.text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    @Override
    public String toString() {
        return text;
    }
}
