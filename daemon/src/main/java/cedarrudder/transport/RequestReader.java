package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MessageHead;
import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Reads the requests of one client connection: one at a time is taken, the bytes of later ones
 * wait. It bounds what it reads ahead, and knows whether the end of the client would be seen.
 */
final class RequestReader {

    /**
     * Bytes of a client behind its open request that are read and kept, charged to the account of
     * buffers; what one turn of the loop reads may come on top. The end of a client that has left
     * stands behind what it sent, so without this its request would still be forwarded. Beyond it,
     * or with the account used up, reading stops: the client's end is then seen no sooner than its
     * response is out, and no attempt starts after {@link #UNSEEN_NANOS}.
     */
    private static final int MAX_READ_AHEAD_BYTES = 32 * 1024;

    /**
     * Once what a client sends has not been read for this long, for want of buffers, it may have
     * left unseen. Half of what an attempt may start late behind its client's end: the end may have
     * stood there before reading stopped, for as long as a loop is late.
     */
    private static final long UNSEEN_NANOS = 50_000_000L;

    /** One look at a socket reads so often at most, also one that is sent to at full speed. */
    private static final int MAX_READS_PER_LOOK = 8;

    /** A client that sends nothing more of a body for this long, though it could, has given up. */
    private static final long UPLOAD_SILENCE_NANOS = 5_000_000_000L;

    /** A body that is streamed may take this long: 32 MB at 64 kB a second take 500 s. */
    private static final long MAX_UPLOAD_NANOS = 600_000_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    private final ServerContext server;
    private final GracefulShutdown shutdown;
    private final ClientConnection connection;
    private final NioSocketChannel channel;
    private final HttpDecoder decoder;
    private final ReadAheadBuffer buffer;
    private final BufferAccount account;

    /** The body that is being streamed; null where none is. */
    private BodyFlow upload;

    private boolean decoding;

    /** Bytes of a request that is being collected, as charged to the account. */
    private int collected;

    /** Since when there may be bytes of the client, or its end, that are not read. */
    private long unreadSince = NEVER;

    RequestReader(
            ServerContext server,
            GracefulShutdown shutdown,
            ClientConnection connection,
            NioSocketChannel channel) {
        this.server = server;
        this.shutdown = shutdown;
        this.connection = connection;
        this.channel = channel;
        this.account = server.buffers();
        ClientLimits limits = server.limits();
        this.decoder =
                HttpDecoder.ofFlows(
                        true, limits.maxHeadBytes(), limits.maxBodyBytes(), BodyFlow.WINDOW);
        this.buffer = new ReadAheadBuffer(account, server.loop()::now);
    }

    // ---- what is received

    /** Takes bytes that were read, which it releases. */
    void receive(ByteBuf bytes) {
        buffer.onReceived(bytes.readableBytes());
        if (bytes.isWritable()) {
            unreadSince = NEVER; // the socket had no more
        }
        if (dropsInput()) {
            connection.drop(bytes);
            return;
        }
        buffer.add(bytes);
        decode();
        continueReading();
    }

    /** Whether what comes is dropped. */
    boolean dropsInput() {
        return connection.state().ends() && !decodesInput();
    }

    /**
     * Whether what comes is decoded. A client that sends requests and reads no responses would
     * otherwise have them all kept here.
     */
    private boolean decodesInput() {
        return upload != null
                ? connection.state() != ClientConnectionState.CLOSED
                : connection.state().takesRequests();
    }

    /** Reads on, or stops reading where enough waits. */
    void continueReading() {
        if (dropsInput()) {
            return; // whoever ends the connection reads as it needs to
        }
        boolean reads = mayRead();
        channel.config().setAutoRead(reads);
        if (!reads) {
            noteUnread();
        }
        if (upload != null) {
            // Progress counts, and not the whole time: a large body may take as long as it takes.
            long now = server.loop().now();
            connection.setDue(upload.isFull() ? NEVER : now + UPLOAD_SILENCE_NANOS);
        }
    }

    private void noteUnread() {
        unreadSince = Math.min(unreadSince, server.loop().now());
    }

    /** Whether more may be read, so that neither requests nor a body are kept without end. */
    private boolean mayRead() {
        boolean waits = buffer.hasBytes() || upload != null && upload.isFull();
        return !waits || buffer.size() < MAX_READ_AHEAD_BYTES && !account.isExhausted();
    }

    /**
     * Reads what has come on the socket by now: requests, and ends, that the kernel has and the
     * loop has not got round to.
     *
     * <p>It may run within a read of the same socket, as far down as in the decoder: what it brings
     * is added behind what is there, and whoever decodes goes on with it.
     */
    void readNow() {
        for (int i = 0; i < MAX_READS_PER_LOOK && channel.isOpen() && mayRead(); i++) {
            long before = buffer.received();
            channel.unsafe().read();
            if (buffer.received() == before) {
                unreadSince = NEVER;
                return;
            }
        }
        noteUnread();
    }

    /** Whether it would be seen that the client has left. */
    boolean canDetectDisconnect() {
        return unreadSince == NEVER || server.loop().now() - unreadSince < UNSEEN_NANOS;
    }

    /** Whether bytes were read that wait to be decoded. */
    boolean hasBytes() {
        return buffer.hasBytes();
    }

    /** How many bytes were received on the connection. */
    long receivedBytes() {
        return buffer.received();
    }

    /** When the last byte that was decoded had been received. */
    long lastDecodedAt() {
        return buffer.lastDecodedAt();
    }

    /** Whether the request at hand is answered without a body. */
    boolean wantsHeadOnly() {
        return decoder.wantsHeadOnly();
    }

    // ---- decoding

    /** Decodes what has come, up to the end of a request; the next waits until it is answered. */
    void decode() {
        if (decoding) {
            return;
        }
        decoding = true;
        try {
            while (buffer.hasBytes() && decodesInput()) {
                if (upload != null && upload.isFull()) {
                    break;
                }
                decodeNext();
            }
        } catch (MalformedMessageException e) {
            server.loop()
                    .log()
                    .warn("client.rejected")
                    .with("client", connection.remoteAddress())
                    .with("status", e.status())
                    .with("why", e.getMessage())
                    .write();
            connection.reject(e);
        } finally {
            decoding = false;
        }
        if (!buffer.hasBytes() || dropsInput()) {
            dropBytes();
        } else {
            buffer.retain();
        }
    }

    private void decodeNext() throws MalformedMessageException {
        if (upload != null) {
            decodeUpload();
            return;
        }
        if (connection.state().rests()) {
            connection.on(ClientConnectionState.Event.BYTES);
        }
        HttpMessage request = decoder.decode(buffer.bytes());
        chargeCollected();
        if (request != null) {
            connection.take(request, 0);
        } else if (decoder.large()) {
            startUpload();
        } else {
            awaitRest();
        }
    }

    /** Takes what has come of a body that is streamed. */
    private void decodeUpload() throws MalformedMessageException {
        BodyFlow flow = upload;
        boolean complete = decoder.decode(buffer.bytes()) != null;
        // What was decoded may have had its request answered, which drops the rest.
        if (complete && upload == flow) {
            upload = null;
            connection.setDue(NEVER);
            connection.uploadComplete();
            flow.end();
        }
    }

    /** Charges what is held of a request that is being read to the account. */
    private void chargeCollected() {
        int now = decoder.collected();
        account.add(now - collected);
        collected = now;
    }

    /** A request that is too large to be buffered: the rest of it is streamed. */
    private void startUpload() throws MalformedMessageException {
        BodyFlow flow = new BodyFlow(account);
        MessageHead head = decoder.head();
        long length = decoder.bodyLength();
        HttpMessage request =
                new HttpMessage(head, decoder.flow(flow::put), new BodyRemainder(flow, length));
        chargeCollected();
        upload = flow;
        flow.whenWritable(() -> server.loop().run(this::continueUpload));
        boolean mayBegin = server.loop().now() < shutdown.answerBy();
        connection.take(request, mayBegin ? MAX_UPLOAD_NANOS : 0);
    }

    /** There is room again for what the client sends. */
    private void continueUpload() {
        if (upload != null) {
            decode();
            continueReading();
        }
    }

    /** Half a request is there, or what comes before one. */
    private void awaitRest() throws MalformedMessageException {
        if (decoder.head() != null && connection.state() == ClientConnectionState.READING_HEAD) {
            connection.on(ClientConnectionState.Event.HEAD);
            if (account.isExhausted()) {
                throw new MalformedMessageException(
                        MalformedMessageException.UNAVAILABLE, "too much is held");
            }
        }
        if (decoder.awaitsContinue()) {
            channel.writeAndFlush(HttpEncoder.goOn(server.loop().buffers()));
        }
    }

    // ---- the end

    /** Whether a body is being streamed. */
    boolean isUploading() {
        return upload != null;
    }

    void dropUpload() {
        if (upload != null) {
            upload.fail();
            upload = null;
        }
    }

    /** Drops what waits; not while it is being decoded, since whoever does so drops it. */
    void dropBytes() {
        if (!decoding) {
            buffer.clear();
        }
    }

    /** The connection is closed. */
    void close() {
        dropBytes();
        account.add(-collected);
        collected = 0;
    }
}
