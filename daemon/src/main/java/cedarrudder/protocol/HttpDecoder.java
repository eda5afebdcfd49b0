package cedarrudder.protocol;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Decodes the HTTP/1.1 messages of one direction of a connection. Bytes may come split or joined in
 * any way. Memory is bounded: this much for a head, and this much for a body.
 */
public final class HttpDecoder {

    /** The largest head that is read where nothing else is set. */
    public static final int MAX_HEAD = 16 * 1024;

    /** The largest body that is passed on where nothing else is set, by the protocol. */
    public static final int MAX_BODY = 64 * 1024;

    /**
     * The largest body that is passed on in pieces where nothing else is set: twice what occurs.
     */
    public static final int MAX_FLOW = 64 * 1024 * 1024;

    /** The line before a chunk: a length of a few digits, and extensions that nobody reads. */
    private static final int MAX_CHUNK_LINE = 256;

    private static final byte[] EMPTY = new byte[0];

    /**
     * Interim answers (1xx) before the final one; RFC 9110 15.2 sets no bound, and one is usual.
     */
    private static final int MAX_INTERIM = 16;

    private static final int FIRST_HEAD_SIZE = 512;

    /** Empty lines before a message: RFC 9112 2.2 asks for one to be skipped. */
    private static final int MAX_BLANK = 8;

    /** No method that is registered is half as long. */
    private static final int MAX_METHOD = 64;

    private enum State {
        HEAD,
        FIXED,
        CHUNK_LINE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_END
    }

    private final boolean requests;
    private final int maxHead;
    private final long maxBody;
    private final long window;
    private OutputStream sink;
    private ByteArrayOutputStream collected;

    private Consumer<byte[]> pieces;
    private long declared;
    private State state = State.HEAD;
    private byte[] line = new byte[FIRST_HEAD_SIZE];
    private int lineLength;
    private int lineStart;
    private int headStart;
    private int blank;
    private MessageHead begun;
    private MessageHead head;
    private boolean continued;
    private long bodyLeft;
    private long bodySeen;
    private int trailerSeen;
    private int interim;

    private HttpDecoder(
            boolean requests,
            int maxHead,
            long maxBody,
            OutputStream sink,
            ByteArrayOutputStream collected,
            long window) {
        this.window = window;
        this.requests = requests;
        this.maxHead = maxHead;
        this.maxBody = maxBody;
        this.sink = sink;
        this.collected = collected;
    }

    /** Decodes whole requests, with heads and bodies of up to this many bytes. */
    public static HttpDecoder ofRequests(int maxHead, int maxBody) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(true, maxHead, maxBody, body, body, Integer.MAX_VALUE);
    }

    /**
     * Decodes messages of which this much of the body is collected, at most. Where there is more
     * the decoder stands until {@link #flow} says where to.
     *
     * @param requests whether they are requests, else answers
     * @param maxBody the largest body that is read, collected or not
     */
    public static HttpDecoder ofFlows(boolean requests, int maxHead, long maxBody, int window) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(requests, maxHead, maxBody, body, body, window);
    }

    /** Decodes whole answers, with heads and bodies of up to this many bytes. */
    public static HttpDecoder ofAnswers(int maxHead, int maxBody) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(false, maxHead, maxBody, body, body, Integer.MAX_VALUE);
    }

    /** Decodes answers whose bodies go to a sink as they come, without a bound. */
    public static HttpDecoder ofStreams(OutputStream sink) {
        return new HttpDecoder(false, MAX_HEAD, Long.MAX_VALUE, sink, null, Long.MAX_VALUE);
    }

    /** The head of the message at hand, or null before it is whole. */
    public MessageHead head() {
        return head;
    }

    /**
     * Whether the sender waits for a 100 before it sends the body of the request at hand (RFC 9110
     * 10.1.1); true once for each request at most.
     */
    public boolean awaitsContinue() {
        boolean bodyNext =
                requests
                        && head != null
                        && bodySeen == 0
                        && (state == State.FIXED || state == State.CHUNK_LINE && lineLength == 0);
        if (!bodyNext || continued) {
            return false;
        }
        continued = true;
        return !head.isOld() && head.fields().lists("expect", "100-continue");
    }

    /** Whether the request at hand, or else the last one, wants an answer without a body. */
    public boolean wantsHeadOnly() {
        return begun != null && begun.method().equals("HEAD");
    }

    /** Whether no byte of a message has been read since the last whole one, or interim one. */
    public boolean between() {
        return state == State.HEAD && lineLength == 0;
    }

    /**
     * Whether the message at hand has more of a body than is collected, and stands until it flows.
     * An answer that says so is large at once, since its first bytes are waited for; a request once
     * all is collected that may be, since it can be sent again for this long; and where no more may
     * come it is not.
     */
    public boolean large() {
        return head != null
                && pieces == null
                && bodySeen < maxBody
                && (!requests && declared > window || bodySeen >= window);
    }

    /** The length of the body at hand, by its head; -1 where that doesn't say. */
    public long bodyLength() {
        return declared;
    }

    /** How many bytes of a body are collected. */
    public int collected() {
        return collected.size();
    }

    /**
     * From here on the body of the message at hand goes to {@code next}, piece by piece, and the
     * message that ends it has none.
     *
     * @return what was collected of it so far
     */
    public byte[] flow(Consumer<byte[]> next) {
        byte[] first = collected.toByteArray();
        startAfresh();
        pieces = next;
        return first;
    }

    /**
     * This avoids a connection that keeps the room of its largest body for as long as it stands.
     */
    private void startAfresh() {
        if (collected != null && collected.size() > 0) {
            collected = new ByteArrayOutputStream(0);
            sink = collected;
        }
    }

    /** Reads until a message is whole and returns it, or null where more bytes are wanted. */
    public HttpMessage decode(ByteBuf in) throws MalformedMessageException {
        while (in.isReadable() && !large()) {
            boolean complete =
                    switch (state) {
                        case HEAD -> readHead(in);
                        case FIXED -> readFixed(in) && bodyLeft == 0;
                        case CHUNK_LINE -> readChunkLine(in);
                        case CHUNK -> {
                            if (readFixed(in) && bodyLeft == 0) {
                                state = State.CHUNK_END;
                            }
                            yield false;
                        }
                        case CHUNK_END -> {
                            if (readLine(in, MAX_CHUNK_LINE)) {
                                state = State.CHUNK_LINE;
                            }
                            if (lineLength > 0 && line[0] != '\r') {
                                throw MalformedMessageException.badRequest("bad chunk");
                            }
                            yield false;
                        }
                        case TRAILER -> readTrailer(in);
                        case TO_END -> {
                            bodyLeft = in.readableBytes();
                            readFixed(in);
                            yield false;
                        }
                    };
            if (complete) {
                return take();
            }
        }
        return null;
    }

    /** The connection has ended: returns a message that this makes whole, or null. */
    public HttpMessage atEnd() {
        return state == State.TO_END ? take() : null;
    }

    private HttpMessage take() {
        HttpMessage message =
                new HttpMessage(head, collected == null ? EMPTY : collected.toByteArray());
        startAfresh();
        state = State.HEAD;
        head = null;
        pieces = null;
        declared = 0;
        continued = false;
        interim = 0;
        bodySeen = 0;
        lineLength = 0;
        lineStart = 0;
        if (line.length > FIRST_HEAD_SIZE) {
            line = new byte[FIRST_HEAD_SIZE];
        }
        return message;
    }

    /**
     * Copies what has come in one piece and looks for line ends in the copy. This avoids a slow
     * start: asking the buffer for each byte took milliseconds a message until the code was
     * compiled.
     *
     * <p>Each line is read as it ends, and no byte passes that none may hold. This avoids what
     * can't become a message, such as a TLS handshake, holding its connection until patience ends.
     */
    private boolean readHead(ByteBuf in) throws MalformedMessageException {
        int from = lineLength;
        int end = copyHeadBytes(in, from);
        if (from == 0) {
            begun = null; // the last message, if there was one, is no longer at hand
        }
        if (from > lineStart && line[from - 1] == '\r' && line[from] != '\n') {
            throw bareReturn();
        }
        for (int i = from; i < end; i++) {
            if (line[i] >= ' ') {
                continue;
            }
            if (line[i] != '\n') {
                checkOddByte(i, end);
            } else if (endLine(i)) {
                in.skipBytes(lineStart - from);
                return endHead();
            }
        }
        in.skipBytes(end - from);
        if (begun == null && requests) {
            checkMethod(lineStart, end);
        }
        lineLength = headStart == end ? 0 : end;
        if (lineLength == 0) {
            lineStart = 0;
            headStart = 0;
        }
        return false;
    }

    /** Copies what has come behind what was there before, and says where it ends. */
    private int copyHeadBytes(ByteBuf in, int from) throws MalformedMessageException {
        int end = from + Math.min(in.readableBytes(), maxHead - from);
        if (end == from) {
            throw new MalformedMessageException(
                    begun == null && requests
                            ? MalformedMessageException.URI_TOO_LONG
                            : MalformedMessageException.FIELDS_TOO_LARGE,
                    "too long a head");
        }
        if (end > line.length) {
            line = Arrays.copyOf(line, Math.max(end, 2 * line.length));
        }
        in.getBytes(in.readerIndex(), line, from, end - from);
        return end;
    }

    /** Reads the line that ends with this line feed; true where the head ends with it. */
    private boolean endLine(int lineFeed) throws MalformedMessageException {
        int start = lineStart;
        int end = lineFeed > start && line[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
        if (end == lineFeed && requests) {
            // RFC 9112 2.2 leaves it open. This avoids a field that an intermediary takes for a
            // part of the one before it: a length, say.
            throw MalformedMessageException.badRequest("a bare line feed");
        }
        lineStart = lineFeed + 1;
        if (end == start) {
            return endEmptyLine();
        }
        if (begun == null) {
            begun = MessageHead.begin(line, start, end, requests);
            blank = 0;
        } else {
            begun.addField(line, start, end);
        }
        return false;
    }

    private boolean endEmptyLine() throws MalformedMessageException {
        if (begun != null) {
            return true;
        }
        headStart = lineStart; // an empty line before a message is allowed, and skipped
        blank++;
        if (blank > MAX_BLANK) {
            throw MalformedMessageException.badRequest("nothing but empty lines");
        }
        return false;
    }

    private boolean endHead() throws MalformedMessageException {
        lineLength = 0;
        lineStart = 0;
        headStart = 0;
        head = begun;
        if (requests) {
            head.checkHost();
        }
        return beginBody();
    }

    /** A byte of a head that is no line end, and no character of ASCII that can be seen. */
    private void checkOddByte(int at, int end) throws MalformedMessageException {
        if (line[at] == '\r') {
            if (at + 1 < end && line[at + 1] != '\n') {
                throw bareReturn();
            }
        } else if (begun == null && requests || line[at] >= 0 && line[at] != '\t') {
            throw MalformedMessageException.badRequest(
                    begun == null ? "not HTTP" : "bad header field");
        }
    }

    /**
     * RFC 9112 2.2: what some take for a line end, and others don't, hides fields from one of the
     * two.
     */
    private static MalformedMessageException bareReturn() {
        return MalformedMessageException.badRequest("a bare carriage return");
    }

    /** Checks what has come of a first line without its end, as far as its method goes. */
    private void checkMethod(int from, int end) throws MalformedMessageException {
        for (int i = from; i < end && line[i] != ' '; i++) {
            if (i - from == MAX_METHOD) {
                throw new MalformedMessageException(
                        MalformedMessageException.NOT_IMPLEMENTED, "too long a method");
            }
            if (!MessageHead.inToken(line[i]) && (line[i] != '\r' || i > from)) {
                throw MalformedMessageException.badRequest("not HTTP");
            }
        }
        if (end > from && line[from] == ' ') {
            throw MalformedMessageException.badRequest("not HTTP");
        }
    }

    private void append(byte next, int max) throws MalformedMessageException {
        if (lineLength >= max) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE, "too long a head");
        }
        if (lineLength == line.length) {
            line = Arrays.copyOf(line, 2 * lineLength);
        }
        line[lineLength++] = next;
    }

    /** Works out how the body ends; true where there is none. */
    private boolean beginBody() throws MalformedMessageException {
        String length = head.fields().single("content-length");
        String coding = head.fields().single("transfer-encoding");
        if (!requests && head.status() < 200) {
            head = null; // an interim answer: the final one follows
            if (++interim > MAX_INTERIM) {
                // This avoids an endpoint that never comes to its answer.
                throw MalformedMessageException.badRequest("too many interim answers");
            }
            return false;
        }
        if (!requests && (head.status() == 204 || head.status() == 304)) {
            return true;
        }
        if (coding != null) {
            // This avoids request smuggling: two parties that disagree on where a body ends.
            if (length != null || head.isOld()) {
                throw MalformedMessageException.badRequest("unclear length");
            }
            if (!coding.equalsIgnoreCase("chunked")) {
                throw unknownCoding(coding);
            }
            trailerSeen = 0;
            declared = -1;
            state = State.CHUNK_LINE;
            return false;
        }
        if (length == null) {
            state = requests ? State.FIXED : State.TO_END;
            bodyLeft = 0;
            declared = requests ? 0 : -1;
            return requests;
        }
        if (length.length() > 18 || !MessageHead.isNumber(length)) {
            throw MalformedMessageException.badRequest("bad Content-Length");
        }
        bodyLeft = Long.parseLong(length);
        check(bodyLeft);
        declared = bodyLeft;
        state = State.FIXED;
        return bodyLeft == 0;
    }

    /** RFC 9112 6.1: one that isn't chunked at its end leaves no length; others we have not. */
    private static MalformedMessageException unknownCoding(String coding) {
        String[] all = coding.toLowerCase(Locale.ROOT).split("[ \t]*,[ \t]*", -1);
        boolean framed = all[all.length - 1].equals("chunked");
        for (int i = 0; i < all.length - 1; i++) {
            framed &= !all[i].equals("chunked");
        }
        return framed
                ? new MalformedMessageException(
                        MalformedMessageException.NOT_IMPLEMENTED, "unknown coding")
                : MalformedMessageException.badRequest("unclear length");
    }

    private void check(long more) throws MalformedMessageException {
        if (more > maxBody - bodySeen) {
            throw new MalformedMessageException(
                    MalformedMessageException.CONTENT_TOO_LARGE, "too long a body");
        }
    }

    private boolean readFixed(ByteBuf in) throws MalformedMessageException {
        long max = pieces == null ? Math.min(bodyLeft, window - bodySeen) : bodyLeft;
        int count = (int) Math.min(max, in.readableBytes());
        check(count);
        try {
            if (pieces == null) {
                in.readBytes(sink, count);
            } else {
                byte[] piece = new byte[count];
                in.readBytes(piece);
                pieces.accept(piece);
            }
        } catch (IOException e) {
            throw MalformedMessageException.badRequest("content not taken: " + e.getMessage());
        }
        bodyLeft -= count;
        bodySeen += count;
        return true;
    }

    /**
     * Reads a short line of a chunked body into {@code line}; false where its end has not come yet.
     *
     * <p>This avoids request smuggling: other than in a head, a line ends in both characters here
     * and in nothing else (RFC 9112 7.1), since whoever takes less sees chunks where we see their
     * content.
     */
    private boolean readLine(ByteBuf in, int max) throws MalformedMessageException {
        if (lineStart < 0) {
            lineStart = 0;
            lineLength = 0;
        }
        while (in.isReadable()) {
            byte next = in.readByte();
            boolean returned = lineLength > 0 && line[lineLength - 1] == '\r';
            if (returned != (next == '\n')) {
                throw MalformedMessageException.badRequest("bad line end in a chunked body");
            }
            if (returned) {
                lineLength--;
                lineStart = -1; // the next line starts afresh
                return true;
            }
            append(next, max);
        }
        return false;
    }

    private boolean readChunkLine(ByteBuf in) throws MalformedMessageException {
        if (!readLine(in, MAX_CHUNK_LINE)) {
            return false;
        }
        int digits = 0;
        long size = 0;
        while (digits < lineLength && digits < 8 && Character.digit(line[digits], 16) >= 0) {
            size = size * 16 + Character.digit(line[digits++], 16);
        }
        int extension = digits;
        while (extension < lineLength && (line[extension] == ' ' || line[extension] == '\t')) {
            extension++;
        }
        if (digits == 0
                || extension < lineLength && line[extension] != ';'
                || extension == lineLength && extension > digits) {
            throw MalformedMessageException.badRequest("bad chunk size");
        }
        check(size);
        bodyLeft = size;
        state = size == 0 ? State.TRAILER : State.CHUNK;
        return false;
    }

    private boolean readTrailer(ByteBuf in) throws MalformedMessageException {
        if (!readLine(in, maxHead)) {
            return false;
        }
        if (lineLength > 0) {
            MessageHead.field(
                    line, 0, lineLength); // dropped, but this avoids a request that hides there
        }
        trailerSeen += lineLength;
        if (trailerSeen > maxHead) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE, "too long a trailer");
        }
        return lineLength == 0;
    }
}
