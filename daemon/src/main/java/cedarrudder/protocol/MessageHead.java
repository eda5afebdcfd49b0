package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;

/**
 * The head of an HTTP/1.1 message: the three parts of its first line (method, target and version,
 * or version, status and reason) and the header fields.
 */
public final class MessageHead {

    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** Whether each character may stand in a token (RFC 9110 5.6.2). */
    private static final boolean[] TOKEN = new boolean[256];

    static {
        for (char c = 0; c < 128; c++) {
            if (Character.isLetterOrDigit(c) || TOKEN_MARKS.indexOf(c) >= 0) {
                TOKEN[c] = true;
            }
        }
    }

    /**
     * What {@code Host} may hold beside letters and digits: RFC 3986 3.2.2, without a user's name.
     */
    private static final String HOST_MARKS = "-._~%!$&'()*+,;=";

    private static final String SCHEME = "http://";

    /**
     * Fields of one head, at most (RFC 6585 5; servers that bound them allow some 100). Guards
     * against a head that takes forty times its bytes: each field is some objects, and a head has
     * room for 4,000.
     */
    private static final int MAX_FIELDS = 128;

    /** What first lines mostly hold: made once, and not for each message. */
    private static final String[] USUAL = {"HTTP/1.1", "GET", "POST", "200", "OK", "503"};

    private final String first;
    private final String second;
    private final String third;
    private final int status;
    private final HeaderFields fields = new HeaderFields();

    /** The host that an absolute target names; null where the target is none. */
    private final String authority;

    private MessageHead(String first, String second, String third, int status, String authority) {
        this.first = first;
        this.second = second;
        this.third = third;
        this.status = status;
        this.authority = authority;
    }

    /** Begins a head with its first line, which is given without its end. */
    static MessageHead begin(byte[] bytes, int from, int to, boolean request)
            throws MalformedMessageException {
        int second = indexOf(bytes, ' ', from, to) + 1;
        int third = second == 0 ? 0 : indexOf(bytes, ' ', second, to) + 1;
        if (request ? third == 0 || indexOf(bytes, ' ', third, to) >= 0 : second == 0) {
            throw MalformedMessageException.badRequest("not HTTP");
        }
        String one = usualText(bytes, from, second - 1);
        String two = usualText(bytes, second, third == 0 ? to : third - 1);
        String three = third == 0 ? "" : usualText(bytes, third, to);
        checkVersion(request ? three : one, request);
        if (!request) {
            if (!isStatus(two)) {
                throw MalformedMessageException.badRequest("bad first line");
            }
            return new MessageHead(one, two, three, Integer.parseInt(two), null);
        }
        if (!isToken(one) || !isTarget(two)) {
            throw MalformedMessageException.badRequest("bad first line");
        }
        return ofRequest(one, two, three);
    }

    /**
     * Takes the forms of a target that a server must take (RFC 9112 3.2), and makes one of them, so
     * that endpoints get a path however the client wrote it.
     */
    private static MessageHead ofRequest(String method, String target, String version)
            throws MalformedMessageException {
        if (target.startsWith("/") || target.equals("*") && method.equals("OPTIONS")) {
            return new MessageHead(method, target, version, 0, null);
        }
        if (!target.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw MalformedMessageException.badRequest("bad target");
        }
        int end = SCHEME.length();
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        String authority = target.substring(SCHEME.length(), end);
        if (authority.isEmpty() || !isHost(authority)) {
            throw MalformedMessageException.badRequest("bad target");
        }
        String path = target.substring(end);
        return new MessageHead(
                method, path.startsWith("/") ? path : "/" + path, version, 0, authority);
    }

    /**
     * RFC 9110 2.5: a higher minor version is served as the highest we know, another major one is
     * not.
     */
    private static void checkVersion(String version, boolean request)
            throws MalformedMessageException {
        if (version.equals("HTTP/1.1") || version.equals("HTTP/1.0")) {
            return;
        }
        boolean named =
                version.length() == 8
                        && version.startsWith("HTTP/")
                        && isDigit(version.charAt(5))
                        && version.charAt(6) == '.'
                        && isDigit(version.charAt(7));
        if (!named || !request) {
            throw MalformedMessageException.badRequest("not HTTP/1.1");
        }
        if (version.charAt(5) != '1') {
            throw new MalformedMessageException(
                    MalformedMessageException.VERSION_NOT_SUPPORTED, "not HTTP/1.1");
        }
    }

    /** Adds a field line, which is given without its end. */
    void addField(byte[] bytes, int from, int to) throws MalformedMessageException {
        if (fields.all().size() == MAX_FIELDS) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE,
                    "more than " + MAX_FIELDS + " header fields");
        }
        fields.add(field(bytes, from, to));
    }

    /**
     * Checks a request's {@code Host} by RFC 9112 3.2, once its fields are all there. An absolute
     * target replaces it, and a request of HTTP/1.0 without one gets an empty one, as it goes on as
     * HTTP/1.1.
     *
     * <p>This avoids two parties that tell requests apart by host and take different fields for it.
     */
    void checkHost() throws MalformedMessageException {
        String host = fields.single("host");
        if (host == null && !isOld()) {
            throw MalformedMessageException.badRequest("no Host");
        }
        if (host != null && !isHost(host)) {
            throw MalformedMessageException.badRequest("bad Host");
        }
        if (host == null || authority != null) {
            fields.set("Host", authority == null ? "" : authority);
        }
    }

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static int indexOf(byte[] bytes, char wanted, int from, int to) {
        for (int i = from; i < to; i++) {
            if (bytes[i] == wanted) {
                return i;
            }
        }
        return -1;
    }

    private static String usualText(byte[] bytes, int from, int to) {
        for (String usual : USUAL) {
            if (usual.length() == to - from
                    && usual.charAt(0) == bytes[from]
                    && holds(bytes, from, usual)) {
                return usual;
            }
        }
        return text(bytes, from, to);
    }

    private static boolean holds(byte[] bytes, int from, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (bytes[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Reads a field line, which is given without its end. */
    static HeaderFields.Field field(byte[] bytes, int from, int to)
            throws MalformedMessageException {
        int colon = indexOf(bytes, ':', from, to);
        FieldName name = colon < 0 ? null : FieldName.read(bytes, from, colon);
        if (name == null) {
            throw MalformedMessageException.badRequest("bad header field");
        }
        for (int i = colon + 1; i < to; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 0x7f) {
                throw MalformedMessageException.badRequest("bad header field");
            }
        }
        int start = colon + 1;
        int end = to;
        while (start < end && (bytes[start] == ' ' || bytes[start] == '\t')) {
            start++;
        }
        while (end > start && (bytes[end - 1] == ' ' || bytes[end - 1] == '\t')) {
            end--;
        }
        return new HeaderFields.Field(name, text(bytes, start, end));
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!TOKEN[text.charAt(i) & 0xff]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Whether this byte may stand in a method, or in a field's name. */
    static boolean inToken(byte character) {
        return TOKEN[character & 0xff];
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /**
     * Whether this is a host, which may be empty or an address in brackets, with or without a port.
     */
    private static boolean isHost(String text) {
        int close = text.startsWith("[") ? text.indexOf(']') : -1;
        if (text.startsWith("[") && close < 0) {
            return false;
        }
        int colon = text.indexOf(':', close + 1);
        int end = colon < 0 ? text.length() : colon;
        for (int i = 1; i < close; i++) {
            if (Character.digit(text.charAt(i), 16) < 0 && ":.".indexOf(text.charAt(i)) < 0) {
                return false;
            }
        }
        if (close >= 0 && end != close + 1) {
            return false;
        }
        for (int i = close + 1; i < end; i++) {
            char c = text.charAt(i);
            if (!isDigit(c)
                    && !(c >= 'a' && c <= 'z')
                    && !(c >= 'A' && c <= 'Z')
                    && HOST_MARKS.indexOf(c) < 0) {
                return false;
            }
        }
        for (int i = end + 1; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 0x7f || c == '#') {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isStatus(String text) {
        return text.length() == 3 && isNumber(text);
    }

    /** Whether this is digits and nothing else, and at least one. */
    static boolean isNumber(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    public String method() {
        return first;
    }

    public String target() {
        return second;
    }

    /** The status of an answer; 0 where it is a request. */
    public int status() {
        return status;
    }

    public HeaderFields fields() {
        return fields;
    }

    /** Whether it is a message of HTTP/1.0. */
    boolean isOld() {
        return first.equals("HTTP/1.0") || third.equals("HTTP/1.0");
    }

    /** Whether the sender takes bodies in chunks. */
    public boolean takesChunks() {
        return !isOld();
    }

    /** Whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        return !isOld()
                ? !fields.lists("connection", "close")
                : fields.lists("connection", "keep-alive");
    }
}
