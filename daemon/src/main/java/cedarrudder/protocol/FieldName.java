package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * The name of a header field, and what follows from it. Names that are usual are made once: a
 * message has some ten fields, and making the texts of each name anew was the largest cost of
 * reading it.
 */
public final class FieldName {

    /** Fields that concern one connection alone, or that are written anew. */
    private static final Set<String> NOT_PASSED_ON =
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

    /** Those that are seen often; others are read as well, and made anew. */
    private static final String[] USUAL = {
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

    /** A power of two, some times larger than there are usual names in two spellings. */
    private static final int SLOTS = 256;

    private static final FieldName[] TABLE = new FieldName[SLOTS];

    static {
        for (String name : USUAL) {
            learn(new FieldName(name));
            learn(new FieldName(name.toLowerCase(Locale.ROOT)));
        }
    }

    private final String text;
    private final String key;
    private final byte[] bytes;
    private final boolean passedOn;
    private final boolean isEndToEnd;

    private FieldName(String text) {
        this.text = text;
        String lower = text.toLowerCase(Locale.ROOT);
        this.key = lower.equals(text) ? text : lower;
        this.bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        this.passedOn = !NOT_PASSED_ON.contains(key);
        this.isEndToEnd =
                key.startsWith("req-") || key.equals("idempotency-key") || key.equals("host");
    }

    private static void learn(FieldName name) {
        int at = slot(name.bytes, 0, name.bytes.length);
        while (TABLE[at] != null) {
            at = at + 1 & SLOTS - 1;
        }
        TABLE[at] = name;
    }

    /** A name that is given as text: a token, since it is the program's own. */
    static FieldName of(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        FieldName usual = usual(bytes, 0, bytes.length);
        return usual != null ? usual : new FieldName(text);
    }

    /** The name that these bytes hold; null where they hold none (RFC 9110 5.1: a token). */
    static FieldName read(byte[] bytes, int from, int to) {
        FieldName usual = from < to ? usual(bytes, from, to) : null;
        if (usual != null) {
            return usual;
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

    private static FieldName usual(byte[] bytes, int from, int to) {
        for (int at = slot(bytes, from, to); TABLE[at] != null; at = at + 1 & SLOTS - 1) {
            if (TABLE[at].is(bytes, from, to)) {
                return TABLE[at];
            }
        }
        return null;
    }

    /**
     * Length and three bytes: enough to tell the usual names apart, and the same cost for a long
     * name.
     */
    private static int slot(byte[] bytes, int from, int to) {
        int length = to - from;
        int hash = length * 31 + bytes[from];
        hash = hash * 31 + bytes[to - 1];
        return hash * 31 + bytes[from + length / 2] & SLOTS - 1;
    }

    private boolean is(byte[] other, int from, int to) {
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

    /** As it came. */
    public String text() {
        return text;
    }

    /** In lower case, which names are compared in. */
    public String key() {
        return key;
    }

    /** Whether such a field may go further than the connection it came on. */
    boolean passedOn() {
        return passedOn;
    }

    /**
     * Whether it goes further even where {@code Connection} lists it. This avoids a client that
     * strips a request of what makes it one, its key say.
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
