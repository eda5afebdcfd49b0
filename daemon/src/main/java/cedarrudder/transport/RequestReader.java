package cedarrudder.transport;

import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.UploadProgress;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MessageHead;
import io.netty.buffer.ByteBuf;

/**
 * Reads the requests of one client connection. One request is processed at a time; the bytes of
 * pipelined requests are buffered up to a limit. It also determines whether a disconnect of the
 * client would be detected.
 */
final class RequestReader {

    /**
     * The number of bytes that are read ahead of the open request, charged to the account of
     * buffers, unless the account is exhausted; the bytes of one read may exceed it. The client's
     * end of stream follows the bytes that it has sent, so without reading ahead the request of a
     * client that has disconnected would still be forwarded.
     */
    private static final int READ_AHEAD_BYTES = 32 * 1024;

    /** The same while the account has spare capacity. */
    private static final int MAX_READ_AHEAD_BYTES = 1024 * 1024;

    /**
     * The maximum number of reads in one check of a socket, even if its client sends at full speed.
     */
    private static final int MAX_READS_PER_CHECK = 8;

    /**
     * The time after which a client that sends no more of a body, although it could, is considered
     * gone.
     */
    private static final long UPLOAD_SILENCE_NANOS = 2_500_000_000L;

    /**
     * The maximum number of requests that are decoded from one read; further ones wait for the next
     * turn of the event loop, so that a client that pipelines requests uses little of each turn.
     */
    private static final int MAX_REQUESTS_PER_READ = 16;

    /** The delay of the next turn: timers run once per turn, unlike tasks. */
    private static final long NEXT_TURN_NANOS = 1;

    /**
     * The most that a client's socket holds: Linux's default maximum of a send buffer, 4 MiB, and
     * what one write may add to a buffer that is not full.
     */
    private static final long MAX_SEND_BUFFER_BYTES = (4 * 1024 + 256) * 1024;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE;

    private final ServerContext server;
    private final GracefulShutdown shutdown;
    private final ClientConnection connection;
    private final ClientSocket channel;
    private final DisconnectDetector disconnects;
    private final HttpDecoder decoder;
    private final ReadAheadBuffer buffer;
    private final BufferAccount account;

    /** The request body that is being streamed; null if there is none. */
    private BodyFlow upload;

    /** What is received of the request body that is being streamed. */
    private UploadProgress progress;

    private boolean decoding;
    private int requestsDecoded;

    /** Whether complete requests may wait for the next turn of the event loop. */
    private boolean waitsForNextTurn;

    /** The bytes of the request that is being read that are charged to the account. */
    private int collected;

    /** Whether the body that is being read is discarded, and its request refused at the end. */
    private boolean discardsBody;

    private long readingStoppedAt;

    /** Whether only what has been received by now is read, and the rest of a partial request. */
    private boolean inputEnded;

    /** Once input has ended: the number of bytes of the connection that are read. */
    private long inputEnd;

    RequestReader(
            ServerContext server,
            GracefulShutdown shutdown,
            ClientConnection connection,
            ClientSocket channel) {
        this.server = server;
        this.shutdown = shutdown;
        this.connection = connection;
        this.channel = channel;
        this.disconnects = new DisconnectDetector(channel, server.loop()::now);
        this.account = server.buffers();
        ClientLimits limits = server.limits();
        this.decoder =
                HttpDecoder.ofFlows(
                        true, limits.maxHeadBytes(), limits.maxBodyBytes(), BodyFlow.WINDOW);
        this.buffer = new ReadAheadBuffer(account);
    }

    // ---- receiving

    /** Processes bytes that were read from the channel, and releases them. */
    void receive(ByteBuf bytes) {
        int received = bytes.readableBytes();
        buffer.onReceived(received, arrivedSince());
        boolean allBytesRead = bytes.isWritable(); // an end of stream may still follow them
        disconnects.onRead(received, allBytesRead);
        if (dropsInput()) {
            connection.drop(bytes);
            return;
        }
        buffer.add(bytes);
        if (!decoding) {
            requestsDecoded = 0;
        }
        decode();
        noteProgress(allBytesRead);
        continueReading();
    }

    /**
     * Returns the instant since which bytes that are read now may have waited for it. Those of a
     * body are not counted as waiting: {@link UploadProgress} knows since when it may be complete.
     */
    private long arrivedSince() {
        return upload == null ? disconnects.arrivedSince() : server.loop().now();
    }

    private void noteProgress(boolean allBytesRead) {
        if (upload == null) {
            return;
        }
        long now = server.loop().now();
        progress.received(
                decoder.bodyBytesRead(), buffer.size() + socketBytes(), allBytesRead, now);
        if (upload.isFull() || !mayRead()) {
            progress.stopped(now);
        }
    }

    /** Returns the most that the sockets between the client and the proxy hold now, in bytes. */
    private long socketBytes() {
        // The virtual machine reports half of what the kernel holds (socket(7), SO_RCVBUF).
        return MAX_SEND_BUFFER_BYTES + 2L * channel.config().getReceiveBufferSize();
    }

    /** Returns whether input is dropped. */
    boolean dropsInput() {
        return connection.state().isEnding() && !decodesInput();
    }

    /**
     * Returns whether input is decoded. Otherwise the requests of a client that sends requests and
     * reads no responses would all be buffered here.
     */
    private boolean decodesInput() {
        return upload != null
                ? connection.state() != ClientConnectionState.CLOSED
                : connection.state().acceptsRequests();
    }

    /** Continues to read, or stops reading if enough bytes are buffered. */
    void continueReading() {
        if (dropsInput()) {
            return; // during the end of a connection, ClientConnection controls reading
        }
        boolean reads = mayRead();
        if (reads != channel.config().isAutoRead()) {
            logReading(reads);
        }
        channel.config().setAutoRead(reads);
        if (reads) {
            disconnects.onReadingOn();
        } else {
            disconnects.onUnread();
        }
        if (upload != null) {
            // The timeout counts from the last progress: a large body may take as long as it
            // needs.
            long now = server.loop().now();
            connection.setTimeoutAt(upload.isFull() ? NEVER : now + UPLOAD_SILENCE_NANOS);
        }
    }

    private void logReading(boolean resumes) {
        Logger log = server.loop().log();
        long now = server.loop().now();
        if (resumes) {
            log.debug("client.reading_resumed")
                    .with("client", connection.remoteAddress())
                    .with("buffered", buffer.size())
                    .with("stopped_ms", (now - readingStoppedAt) / NANOS_PER_MILLI)
                    .write();
        } else {
            readingStoppedAt = now;
            log.debug("client.reading_stopped")
                    .with("client", connection.remoteAddress())
                    .with("buffered", buffer.size())
                    .with("account", account.bufferedBytes())
                    .write();
        }
    }

    /**
     * Returns whether more may be read, so that neither requests nor a body are buffered without
     * limit.
     */
    private boolean mayRead() {
        if (inputEnded && upload == null && !isBeforeInputEnd()) {
            return false;
        }
        boolean hasPendingInput = buffer.hasBytes() || upload != null && upload.isFull();
        if (!hasPendingInput) {
            return true;
        }
        return buffer.size() < READ_AHEAD_BYTES
                ? !account.isExhausted()
                : buffer.size() < MAX_READ_AHEAD_BYTES
                        && account.hasSpare()
                        && connection.mayNeedContent();
    }

    /**
     * Ends the input of a connection that is to be closed: what the client has sent by now is read,
     * up to the bytes that are read ahead, and after that only the rest of a partial request. So
     * what is still to be answered is bounded by what is read, whatever the client sends.
     */
    void endInput() {
        if (inputEnded) {
            return;
        }
        readNow();
        // Behind a closed window the client's own system holds more back.
        int unread =
                disconnects.mayHaveClosedWindow()
                        ? MAX_READ_AHEAD_BYTES
                        : Math.max(0, channel.unreadBytes());
        inputEnded = true;
        inputEnd = buffer.received() + unread;
    }

    /** Continues the input of a connection that is no longer to be closed. */
    void reopenInput() {
        inputEnded = false;
    }

    private boolean isBeforeInputEnd() {
        boolean completesRequest = connection.state().isReadingRequest();
        return buffer.received() < inputEnd + (completesRequest ? MAX_READ_AHEAD_BYTES : 0);
    }

    /**
     * Reads what the socket has received by now: requests and ends of stream that the event loop
     * has not read yet.
     *
     * <p>May run within a read of the same socket, even within the decoder: the bytes that it reads
     * are appended to the buffer, and the decoding that is in progress continues with them.
     */
    void readNow() {
        disconnects.beforeCheck();
        for (int i = 0; i < MAX_READS_PER_CHECK && channel.isOpen() && mayRead(); i++) {
            long before = buffer.received();
            channel.unsafe().read();
            if (buffer.received() == before) {
                disconnects.onSocketEmpty();
                if (upload != null && !upload.isFull()) {
                    progress.foundEmpty(server.loop().now());
                }
                return;
            }
        }
        disconnects.onUnread();
        closeIfDisconnected();
    }

    /** Closes the connection if its input is not read and its client has disconnected. */
    void checkUnread() {
        if (!channel.config().isAutoRead()) {
            disconnects.beforeCheck();
            closeIfDisconnected();
        }
    }

    private void closeIfDisconnected() {
        if (channel.isOpen() && !dropsInput() && disconnects.hasDisconnected()) {
            connection.onDisconnectBehind(channel.unreadBytes());
        }
    }

    /** Returns whether a disconnect of the client would be detected. */
    boolean canDetectDisconnect() {
        return disconnects.canDetect();
    }

    /** Returns for how long the client has not been known to be connected, in nanoseconds. */
    long nanosWithoutSignOfClient() {
        return disconnects.nanosWithoutSign();
    }

    /** Returns how many bytes were read and wait to be decoded. */
    int bufferedBytes() {
        return buffer.size();
    }

    /** Returns whether bytes that were read wait to be decoded. */
    boolean hasBytes() {
        return buffer.hasBytes();
    }

    /** Returns whether bytes wait to be decoded, or to be read although input has ended. */
    boolean hasInput() {
        if (hasBytes() || !inputEnded || !isBeforeInputEnd()) {
            return hasBytes();
        }
        disconnects.beforeCheck();
        return channel.unreadBytes() > 0 || disconnects.isReopening();
    }

    /** Returns how many bytes were received on the connection. */
    long receivedBytes() {
        return buffer.received();
    }

    /** Returns when the last decoded byte was received. */
    long lastDecodedAt() {
        return buffer.lastDecodedAt();
    }

    /** Returns whether the current request is answered without a body. */
    boolean wantsHeadOnly() {
        return decoder.wantsHeadOnly();
    }

    // ---- decoding

    /**
     * Decodes received bytes up to the end of a request; the next request waits until it is
     * answered.
     */
    void decode() {
        if (decoding) {
            return;
        }
        decoding = true;
        try {
            while (!waitsForNextTurn && buffer.hasBytes() && decodesInput()) {
                if (upload != null && upload.isFull()) {
                    break;
                }
                if (requestsDecoded >= MAX_REQUESTS_PER_READ) {
                    waitForNextTurn();
                    break;
                }
                decodeNext();
            }
        } catch (MalformedMessageException e) {
            logRejected(e);
            connection.reject(e);
        } finally {
            decoding = false;
        }
        if (!buffer.hasBytes() || dropsInput()) {
            dropBytes();
        } else {
            buffer.moveToHeap();
        }
    }

    private void waitForNextTurn() {
        waitsForNextTurn = true;
        server.loop().at(server.loop().now() + NEXT_TURN_NANOS, this::resumeDecoding);
    }

    /** Decodes the requests that wait for the next turn of the event loop, if any do. */
    void resumeDecoding() {
        if (waitsForNextTurn) {
            waitsForNextTurn = false;
            requestsDecoded = 0;
            decode();
            continueReading();
        }
    }

    private void decodeNext() throws MalformedMessageException {
        if (upload != null) {
            decodeUpload();
            return;
        }
        if (connection.state().isBetweenRequests()) {
            connection.on(ClientConnectionState.Event.BYTES);
        }
        HttpMessage request = decoder.decode(buffer.bytes());
        chargeCollected();
        if (request != null) {
            requestsDecoded++;
            onComplete(request);
        } else if (decoder.large()) {
            startUpload();
        } else {
            awaitRest();
        }
    }

    private void onComplete(HttpMessage request) {
        if (!discardsBody) {
            acceptComplete(request);
            return;
        }
        discardsBody = false;
        MalformedMessageException refusal =
                new MalformedMessageException(
                        MalformedMessageException.UNAVAILABLE, "too much is held");
        logRejected(refusal);
        connection.refuseRequest(request, refusal);
    }

    /** Accepts a complete request, or rejects it, which does not affect those behind it. */
    private void acceptComplete(HttpMessage request) {
        try {
            connection.acceptRequest(request, null);
        } catch (MalformedMessageException e) {
            logRejected(e);
            connection.rejectRequest(e);
        }
    }

    private void logRejected(MalformedMessageException e) {
        server.loop()
                .log()
                .warn("client.rejected")
                .with("client", connection.remoteAddress())
                .with("status", e.status())
                .with("why", e.getMessage())
                .write();
    }

    /** Decodes received bytes of a body that is streamed. */
    private void decodeUpload() throws MalformedMessageException {
        BodyFlow flow = upload;
        boolean complete = decoder.decode(buffer.bytes()) != null;
        // Decoding may have caused the request to be answered, which drops the rest of its body.
        if (complete && upload == flow) {
            upload = null;
            connection.setTimeoutAt(NEVER);
            connection.uploadComplete();
            flow.end();
        }
    }

    /** Charges the buffered bytes of the request that is being read to the account. */
    private void chargeCollected() {
        int now = decoder.collected();
        account.add(now - collected);
        collected = now;
    }

    /** Starts streaming the rest of a request that is too large to be buffered. */
    private void startUpload() throws MalformedMessageException {
        BodyFlow flow = new BodyFlow(account);
        MessageHead head = decoder.head();
        long length = decoder.bodyLength();
        HttpMessage request =
                new HttpMessage(head, decoder.flow(flow::put), new BodyRemainder(flow, length));
        chargeCollected();
        upload = flow;
        flow.whenWritable(() -> server.loop().run(this::continueUpload));
        long now = server.loop().now();
        progress = new UploadProgress(length);
        connection.acceptRequest(request, now < shutdown.answerBy() ? progress : null);
    }

    /** Resumes an upload whose flow has capacity again. */
    private void continueUpload() {
        if (upload != null) {
            decode();
            noteProgress(false);
            continueReading();
        }
    }

    /** Handles an incomplete request, or bytes before one. */
    private void awaitRest() {
        if (decoder.head() != null && connection.state() == ClientConnectionState.READING_HEAD) {
            connection.on(ClientConnectionState.Event.HEAD);
            if (account.isExhausted()) {
                discardBody();
            }
        }
        if (discardsBody && decoder.bodyBytesRead() >= BodyFlow.WINDOW) {
            // A body of this size would be streamed, so it may take as long as one that is.
            connection.setTimeoutAt(server.loop().now() + UPLOAD_SILENCE_NANOS);
        }
        if (decoder.awaitsContinue()) {
            channel.writeAndFlush(HttpEncoder.goOn(server.loop().buffers()));
        }
    }

    /**
     * Discards the body that is being read. The request is refused only once it is complete,
     * because those behind it can be told apart from its body only then.
     */
    private void discardBody() {
        discardsBody = true;
        decoder.flow(piece -> {});
        chargeCollected();
    }

    // ---- end

    /** Returns whether a request body is being streamed. */
    boolean isUploading() {
        return upload != null;
    }

    void dropUpload() {
        if (upload != null) {
            upload.fail();
            upload = null;
        }
    }

    /**
     * Drops buffered bytes, unless they are being decoded: the decoding in progress drops them
     * then.
     */
    void dropBytes() {
        if (!decoding) {
            connection.onBytesDropped(buffer.bytes());
            buffer.clear();
        }
    }

    /** Releases the buffers of a closed connection. */
    void close() {
        dropBytes();
        account.add(-collected);
        collected = 0;
    }
}
