package cedarrudder.protocol;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Incremental decoder for the HTTP/1.1 messages of one direction of a connection. Bytes may arrive
 * split or joined in any way. Memory is bounded by one limit for a head and one for a body.
 */
public final class HttpDecoder {

    /** Default limit on the size of a head, in bytes. */
    public static final int MAX_HEAD = 16 * 1024;

    /** Default limit on the size of a forwarded body, in bytes, as the protocol sets it. */
    public static final int MAX_BODY = 64 * 1024;

    /**
     * Default limit on the size of a body that is forwarded in pieces, in bytes: twice the size
     * that occurs.
     */
    public static final int MAX_FLOW = 64 * 1024 * 1024;

    /**
     * Limit on the line before a chunk, in bytes: a length of a few digits, and extensions, which
     * are ignored.
     */
    private static final int MAX_CHUNK_LINE = 256;

    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Limit on interim responses (1xx) before the final one. RFC 9110 15.2 sets no limit; one
     * interim response is usual.
     */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int INITIAL_BUFFER_SIZE = 512;

    /** Limit on empty lines before a message. RFC 9112 2.2 asks for one to be skipped. */
    private static final int MAX_EMPTY_LINES = 8;

    /** Limit on the length of a method; no registered method is half as long. */
    private static final int MAX_METHOD_LENGTH = 64;

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

    private Consumer<byte[]> pieceConsumer;
    private long declaredLength;
    private State state = State.HEAD;
    private byte[] lineBuffer = new byte[INITIAL_BUFFER_SIZE];
    private int lineLength;
    private int lineStart;
    private int headStart;
    private int emptyLines;
    private MessageHead partialHead;
    private MessageHead head;
    private boolean continueReported;
    private long bodyLeft;
    private long bodyBytesRead;
    private int trailerBytes;
    private int interimResponses;

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

    /**
     * Returns a decoder of whole requests, with heads and bodies of up to the given sizes in bytes.
     */
    public static HttpDecoder ofRequests(int maxHead, int maxBody) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(true, maxHead, maxBody, body, body, Integer.MAX_VALUE);
    }

    /**
     * Returns a decoder that collects at most the first {@code window} bytes of a body. At a larger
     * body the decoder stops reading until {@link #flow} names the consumer of the rest.
     *
     * @param requests true to decode requests, false to decode responses
     * @param maxBody limit on the whole body in bytes, collected or not
     */
    public static HttpDecoder ofFlows(boolean requests, int maxHead, long maxBody, int window) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(requests, maxHead, maxBody, body, body, window);
    }

    /**
     * Returns a decoder of whole responses, with heads and bodies of up to the given sizes in
     * bytes.
     */
    public static HttpDecoder ofAnswers(int maxHead, int maxBody) {
        ByteArrayOutputStream body = new ByteArrayOutputStream(0);
        return new HttpDecoder(false, maxHead, maxBody, body, body, Integer.MAX_VALUE);
    }

    /**
     * Returns a decoder of responses that writes their bodies to a sink as the bytes arrive,
     * without a limit.
     */
    public static HttpDecoder ofStreams(OutputStream sink) {
        return new HttpDecoder(false, MAX_HEAD, Long.MAX_VALUE, sink, null, Long.MAX_VALUE);
    }

    /** Returns the head of the current message, or null before the head is complete. */
    public MessageHead head() {
        return head;
    }

    /**
     * Returns whether the client waits for a 100 (Continue) response before it sends the body of
     * the current request (RFC 9110 10.1.1). Returns true at most once per request.
     */
    public boolean awaitsContinue() {
        boolean bodyNext =
                requests
                        && head != null
                        && bodyBytesRead == 0
                        && (state == State.FIXED || state == State.CHUNK_LINE && lineLength == 0);
        if (!bodyNext || continueReported) {
            return false;
        }
        continueReported = true;
        return !head.isHttp10() && head.fields().containsToken("expect", "100-continue");
    }

    /**
     * Returns whether the current request, or else the last one, asks for a response without a body
     * (HEAD).
     */
    public boolean wantsHeadOnly() {
        return partialHead != null && partialHead.method().equals("HEAD");
    }

    /**
     * Returns whether the decoder is between messages: no byte has been read since the end of the
     * last final or interim message.
     */
    public boolean between() {
        return state == State.HEAD && lineLength == 0;
    }

    /**
     * Returns whether the current message has more of a body than is collected, so that decoding
     * stops until {@link #flow} is called.
     *
     * <p>A response that declares a larger body counts as large at once, since the client waits for
     * its first bytes. A request counts as large only once the whole window is collected, since the
     * proxy can retry the request until then. A message whose body has reached the limit is not
     * large.
     */
    public boolean large() {
        return head != null
                && pieceConsumer == null
                && bodyBytesRead < maxBody
                && (!requests && declaredLength > window || bodyBytesRead >= window);
    }

    /**
     * Returns the declared length of the current body in bytes; -1 where the head declares none.
     */
    public long bodyLength() {
        return declaredLength;
    }

    /** Returns how many bytes of the current body have been read, collected or not. */
    public long bodyBytesRead() {
        return bodyBytesRead;
    }

    /** Returns how many bytes of the current body are collected. */
    public int collected() {
        return collected.size();
    }

    /**
     * Passes the rest of the current body to {@code next}, piece by piece. The message returned at
     * its end has no body.
     *
     * @return the part of the body that was collected so far
     */
    public byte[] flow(Consumer<byte[]> next) {
        byte[] first = collected.toByteArray();
        resetBodyBuffer();
        pieceConsumer = next;
        return first;
    }

    /**
     * Replaces the body buffer, so that an idle connection doesn't retain the memory of its largest
     * body.
     */
    private void resetBodyBuffer() {
        if (collected != null && collected.size() > 0) {
            collected = new ByteArrayOutputStream(0);
            sink = collected;
        }
    }

    /**
     * Reads until a message is complete and returns the message, or returns null where more bytes
     * are needed.
     */
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
                            if (lineLength > 0 && lineBuffer[0] != '\r') {
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
                return completeMessage();
            }
        }
        return null;
    }

    /**
     * Handles the end of the connection: returns a message whose body ends with the connection, or
     * null.
     */
    public HttpMessage atEnd() {
        return state == State.TO_END ? completeMessage() : null;
    }

    private HttpMessage completeMessage() {
        HttpMessage message =
                new HttpMessage(head, collected == null ? EMPTY_BODY : collected.toByteArray());
        resetBodyBuffer();
        state = State.HEAD;
        head = null;
        pieceConsumer = null;
        declaredLength = 0;
        continueReported = false;
        interimResponses = 0;
        bodyBytesRead = 0;
        lineLength = 0;
        lineStart = 0;
        if (lineBuffer.length > INITIAL_BUFFER_SIZE) {
            lineBuffer = new byte[INITIAL_BUFFER_SIZE];
        }
        return message;
    }

    /**
     * Reads the head from a copy of the received bytes. Asking the buffer for each byte took
     * milliseconds per message until the code was compiled, which slowed the start.
     *
     * <p>Each line is parsed as soon as it ends, and a byte that no head may contain is rejected at
     * once. Otherwise input that can't become a message, such as a TLS handshake, would occupy its
     * connection until the timeout.
     */
    private boolean readHead(ByteBuf in) throws MalformedMessageException {
        int from = lineLength;
        int end = copyHeadBytes(in, from);
        if (from == 0) {
            partialHead = null; // the last message, if any, is no longer the current one
        }
        if (from > lineStart && lineBuffer[from - 1] == '\r' && lineBuffer[from] != '\n') {
            throw bareCarriageReturn();
        }
        for (int i = from; i < end; i++) {
            if (lineBuffer[i] >= ' ') {
                continue;
            }
            if (lineBuffer[i] != '\n') {
                checkSpecialByte(i, end);
            } else if (endLine(i)) {
                in.skipBytes(lineStart - from);
                return endHead();
            }
        }
        in.skipBytes(end - from);
        if (partialHead == null && requests) {
            checkMethod(lineStart, end);
        }
        lineLength = headStart == end ? 0 : end;
        if (lineLength == 0) {
            lineStart = 0;
            headStart = 0;
        }
        return false;
    }

    /** Appends the received bytes to the line buffer and returns the end of the content. */
    private int copyHeadBytes(ByteBuf in, int from) throws MalformedMessageException {
        int end = from + Math.min(in.readableBytes(), maxHead - from);
        if (end == from) {
            throw new MalformedMessageException(
                    partialHead == null && requests
                            ? MalformedMessageException.URI_TOO_LONG
                            : MalformedMessageException.FIELDS_TOO_LARGE,
                    "too long a head");
        }
        if (end > lineBuffer.length) {
            lineBuffer = Arrays.copyOf(lineBuffer, Math.max(end, 2 * lineBuffer.length));
        }
        in.getBytes(in.readerIndex(), lineBuffer, from, end - from);
        return end;
    }

    /**
     * Parses the line that ends with this line feed; returns true where the head ends with the
     * line.
     */
    private boolean endLine(int lineFeed) throws MalformedMessageException {
        int start = lineStart;
        int end = lineFeed > start && lineBuffer[lineFeed - 1] == '\r' ? lineFeed - 1 : lineFeed;
        if (end == lineFeed && requests) {
            // RFC 9112 2.2 leaves this open. An intermediary might read the field after a bare line
            // feed, a length for example, as part of the field before.
            throw MalformedMessageException.badRequest("a bare line feed");
        }
        lineStart = lineFeed + 1;
        if (end == start) {
            return endEmptyLine();
        }
        if (partialHead == null) {
            partialHead = MessageHead.begin(lineBuffer, start, end, requests);
            emptyLines = 0;
        } else {
            partialHead.addField(lineBuffer, start, end);
        }
        return false;
    }

    private boolean endEmptyLine() throws MalformedMessageException {
        if (partialHead != null) {
            return true;
        }
        headStart = lineStart; // an empty line before a message is allowed and skipped
        emptyLines++;
        if (emptyLines > MAX_EMPTY_LINES) {
            throw MalformedMessageException.badRequest("nothing but empty lines");
        }
        return false;
    }

    private boolean endHead() throws MalformedMessageException {
        lineLength = 0;
        lineStart = 0;
        headStart = 0;
        head = partialHead;
        if (requests) {
            head.checkHost();
        }
        return beginBody();
    }

    /** Checks a byte of a head that is neither a line feed nor a printable ASCII character. */
    private void checkSpecialByte(int at, int end) throws MalformedMessageException {
        if (lineBuffer[at] == '\r') {
            if (at + 1 < end && lineBuffer[at + 1] != '\n') {
                throw bareCarriageReturn();
            }
        } else if (partialHead == null && requests
                || lineBuffer[at] >= 0 && lineBuffer[at] != '\t') {
            throw MalformedMessageException.badRequest(
                    partialHead == null ? "not HTTP" : "bad header field");
        }
    }

    /**
     * Returns the error for a carriage return without a line feed (RFC 9112 2.2): where one party
     * reads that as a line end and another doesn't, fields are hidden from one of the two.
     */
    private static MalformedMessageException bareCarriageReturn() {
        return MalformedMessageException.badRequest("a bare carriage return");
    }

    /** Checks the method in the received part of an incomplete first line. */
    private void checkMethod(int from, int end) throws MalformedMessageException {
        for (int i = from; i < end && lineBuffer[i] != ' '; i++) {
            if (i - from == MAX_METHOD_LENGTH) {
                throw new MalformedMessageException(
                        MalformedMessageException.NOT_IMPLEMENTED, "too long a method");
            }
            if (!MessageHead.inToken(lineBuffer[i]) && (lineBuffer[i] != '\r' || i > from)) {
                throw MalformedMessageException.badRequest("not HTTP");
            }
        }
        if (end > from && lineBuffer[from] == ' ') {
            throw MalformedMessageException.badRequest("not HTTP");
        }
    }

    private void append(byte next, int max) throws MalformedMessageException {
        if (lineLength >= max) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE, "too long a head");
        }
        if (lineLength == lineBuffer.length) {
            lineBuffer = Arrays.copyOf(lineBuffer, 2 * lineLength);
        }
        lineBuffer[lineLength++] = next;
    }

    /** Determines how the body ends; returns true where there is no body. */
    private boolean beginBody() throws MalformedMessageException {
        String length = head.fields().single("content-length");
        String coding = head.fields().single("transfer-encoding");
        if (!requests && head.status() < 200) {
            head = null; // an interim response: the final one follows
            if (++interimResponses > MAX_INTERIM_RESPONSES) {
                // An endpoint might otherwise send interim responses without ever sending the final
                // one.
                throw MalformedMessageException.badRequest("too many interim responses");
            }
            return false;
        }
        if (!requests && (head.status() == 204 || head.status() == 304)) {
            return true;
        }
        if (coding != null) {
            // Prevents request smuggling: two parties must not disagree on where a body ends.
            if (length != null || head.isHttp10()) {
                throw MalformedMessageException.badRequest("unclear length");
            }
            if (!coding.equalsIgnoreCase("chunked")) {
                throw unknownCoding(coding);
            }
            trailerBytes = 0;
            declaredLength = -1;
            state = State.CHUNK_LINE;
            return false;
        }
        if (length == null) {
            state = requests ? State.FIXED : State.TO_END;
            bodyLeft = 0;
            declaredLength = requests ? 0 : -1;
            return requests;
        }
        if (length.length() > 18 || !MessageHead.isNumber(length)) {
            throw MalformedMessageException.badRequest("bad Content-Length");
        }
        bodyLeft = Long.parseLong(length);
        checkBodySize(bodyLeft);
        declaredLength = bodyLeft;
        state = State.FIXED;
        return bodyLeft == 0;
    }

    /**
     * Returns the error for a transfer coding other than chunked. Without chunked as the last
     * coding the body has no length (RFC 9112 6.1); with it, the other codings are not implemented.
     */
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

    private void checkBodySize(long more) throws MalformedMessageException {
        if (more > maxBody - bodyBytesRead) {
            throw new MalformedMessageException(
                    MalformedMessageException.CONTENT_TOO_LARGE, "too long a body");
        }
    }

    private boolean readFixed(ByteBuf in) throws MalformedMessageException {
        long max = pieceConsumer == null ? Math.min(bodyLeft, window - bodyBytesRead) : bodyLeft;
        int count = (int) Math.min(max, in.readableBytes());
        checkBodySize(count);
        try {
            if (pieceConsumer == null) {
                in.readBytes(sink, count);
            } else {
                byte[] piece = new byte[count];
                in.readBytes(piece);
                pieceConsumer.accept(piece);
            }
        } catch (IOException e) {
            throw MalformedMessageException.badRequest("content rejected: " + e.getMessage());
        }
        bodyLeft -= count;
        bodyBytesRead += count;
        return true;
    }

    /**
     * Reads a short line of a chunked body into the line buffer; returns false where the end of the
     * line has not arrived yet.
     *
     * <p>Prevents request smuggling: unlike in a head, a line here ends in both characters and in
     * nothing else (RFC 9112 7.1). A party that accepts less would see chunks where this decoder
     * sees their content.
     */
    private boolean readLine(ByteBuf in, int max) throws MalformedMessageException {
        if (lineStart < 0) {
            lineStart = 0;
            lineLength = 0;
        }
        while (in.isReadable()) {
            byte next = in.readByte();
            boolean afterCarriageReturn = lineLength > 0 && lineBuffer[lineLength - 1] == '\r';
            if (afterCarriageReturn != (next == '\n')) {
                throw MalformedMessageException.badRequest("bad line end in a chunked body");
            }
            if (afterCarriageReturn) {
                lineLength--;
                lineStart = -1; // the next line starts with an empty buffer
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
        while (digits < lineLength && digits < 8 && Character.digit(lineBuffer[digits], 16) >= 0) {
            size = size * 16 + Character.digit(lineBuffer[digits++], 16);
        }
        int extension = digits;
        while (extension < lineLength
                && (lineBuffer[extension] == ' ' || lineBuffer[extension] == '\t')) {
            extension++;
        }
        if (digits == 0
                || extension < lineLength && lineBuffer[extension] != ';'
                || extension == lineLength && extension > digits) {
            throw MalformedMessageException.badRequest("bad chunk size");
        }
        checkBodySize(size);
        bodyLeft = size;
        state = size == 0 ? State.TRAILER : State.CHUNK;
        return false;
    }

    private boolean readTrailer(ByteBuf in) throws MalformedMessageException {
        if (!readLine(in, maxHead)) {
            return false;
        }
        if (lineLength > 0) {
            // The field is dropped, but checked, so that no request can hide in a trailer.
            MessageHead.field(lineBuffer, 0, lineLength);
        }
        trailerBytes += lineLength;
        if (trailerBytes > maxHead) {
            throw new MalformedMessageException(
                    MalformedMessageException.FIELDS_TOO_LARGE, "too long a trailer");
        }
        return lineLength == 0;
    }
}
