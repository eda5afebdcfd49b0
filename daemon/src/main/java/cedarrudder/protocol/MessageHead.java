package cedarrudder.protocol;

import java.nio.charset.StandardCharsets;

/**
 * The head of an HTTP/1.1 message: the three parts of its first line (method, target and version,
 * or version, status and reason) and the header fields.
 */
public final class MessageHead {

    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** For each character code: true if the character may occur in a token (RFC 9110 5.6.2). */
    private static final boolean[] TOKEN_CHARACTERS = new boolean[256];

    static {
        for (char c = 0; c < 128; c++) {
            if (Character.isLetterOrDigit(c) || TOKEN_MARKS.indexOf(c) >= 0) {
                TOKEN_CHARACTERS[c] = true;
            }
        }
    }

    /**
     * Characters other than letters and digits that {@code Host} may contain: RFC 3986 3.2.2,
     * without user information.
     */
    private static final String HOST_MARKS = "-._~%!$&'()*+,;=";

    private static final String SCHEME = "http://";

    /**
     * Limit on the fields of one head (RFC 6585 5; servers that limit them allow some 100). Without
     * a limit a head could take forty times its size in memory: each field is several objects, and
     * a head may contain 4,000 fields.
     */
    private static final int MAX_FIELDS = 128;

    /**
     * Common parts of first lines; these strings are shared instead of created for each message.
     */
    private static final String[] COMMON_TEXTS = {"HTTP/1.1", "GET", "POST", "200", "OK", "503"};

    private final String first;
    private final String second;
    private final String third;
    private final int status;
    private final HeaderFields fields = new HeaderFields();

    /** The host of an absolute target; null where the target is not absolute. */
    private final String authority;

    private MessageHead(String first, String second, String third, int status, String authority) {
        this.first = first;
        this.second = second;
        this.third = third;
        this.status = status;
        this.authority = authority;
    }

    /** Parses a first line, without its line end, and returns a head that has no fields yet. */
    static MessageHead begin(byte[] bytes, int from, int to, boolean request)
            throws MalformedMessageException {
        int second = indexOf(bytes, ' ', from, to) + 1;
        int third = second == 0 ? 0 : indexOf(bytes, ' ', second, to) + 1;
        if (request ? third == 0 || indexOf(bytes, ' ', third, to) >= 0 : second == 0) {
            throw MalformedMessageException.badRequest("not HTTP");
        }
        String one = commonText(bytes, from, second - 1);
        String two = commonText(bytes, second, third == 0 ? to : third - 1);
        String three = third == 0 ? "" : commonText(bytes, third, to);
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
     * Normalizes the target: accepts the forms that a server must accept (RFC 9112 3.2), and
     * converts an absolute target to a path, so that endpoints always receive a path.
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
     * Checks the version by RFC 9110 2.5: a higher minor version is treated as the highest
     * supported one; another major version is rejected.
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

    /** Parses a field line, without its line end, and adds the field. */
    void addField(byte[] bytes, int from, int to) throws MalformedMessageException {
        if (fields.all().size() == MAX_FIELDS) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE,
                    "more than " + MAX_FIELDS + " header fields");
        }
        fields.add(field(bytes, from, to));
    }

    /**
     * Checks a request's {@code Host} by RFC 9112 3.2, once all fields have been added. The host of
     * an absolute target replaces the field, and a request of HTTP/1.0 without the field gets an
     * empty one, since the request is forwarded as HTTP/1.1.
     *
     * <p>Otherwise two parties that distinguish requests by host could read the host from different
     * places.
     */
    void checkHost() throws MalformedMessageException {
        String host = fields.single("host");
        if (host == null && !isHttp10()) {
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

    private static String commonText(byte[] bytes, int from, int to) {
        for (String common : COMMON_TEXTS) {
            if (common.length() == to - from
                    && common.charAt(0) == bytes[from]
                    && matches(bytes, from, common)) {
                return common;
            }
        }
        return text(bytes, from, to);
    }

    private static boolean matches(byte[] bytes, int from, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (bytes[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Parses a field line, without its line end. */
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
            if (!TOKEN_CHARACTERS[text.charAt(i) & 0xff]) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns whether this byte may occur in a token, such as a method or a field name. */
    static boolean inToken(byte character) {
        return TOKEN_CHARACTERS[character & 0xff];
    }

    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /**
     * Returns whether a text is a host, which may be empty or an address in brackets, with or
     * without a port.
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

    /** Returns whether a text consists of at least one digit and nothing else. */
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

    /** Returns the status of a response; 0 for a request. */
    public int status() {
        return status;
    }

    public HeaderFields fields() {
        return fields;
    }

    /** Returns whether the message has version HTTP/1.0. */
    boolean isHttp10() {
        return first.equals("HTTP/1.0") || third.equals("HTTP/1.0");
    }

    /** Returns whether the sender accepts chunked bodies. */
    public boolean takesChunks() {
        return !isHttp10();
    }

    /** Returns whether the sender keeps the connection open after this message. */
    public boolean keepsAlive() {
        return !isHttp10()
                ? !fields.containsToken("connection", "close")
                : fields.containsToken("connection", "keep-alive");
    }
}
