package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.UploadProgress;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A connection from a client, on which one request is answered at a time. Its states and
 * transitions are defined by {@link ClientConnectionState}; {@link RequestReader} reads its
 * requests, and {@link ClientRequest} is the open one.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    private static final String HEALTH_PATH = "/_health";

    /** The maximum duration of an upload: 32 MB at 64 kB a second take 500 s. */
    private static final long MAX_UPLOAD_NANOS = 600_000_000_000L;

    private final ServerContext server;
    private final ClientConnections connections;
    private final GracefulShutdown shutdown;
    private final ClientSocket channel;
    private final RequestReader reader;
    private final LingeringClose lingering = new LingeringClose();
    private final WriteRetry writeRetry;
    private final ClientTimeout timeout;
    private final UnansweredRequests unanswered;
    private ClientConnectionState state = ClientConnectionState.NEW;

    /** Why the connection ends; null before its end has begun. */
    private CloseReason closeReason;

    /** The open request; null if there is none. */
    private ClientRequest request;

    /** The response body that is being streamed; null if there is none. */
    private BodyWriter download;

    private boolean keepAlive;

    /** Whether a request was rejected for what it asks. */
    private boolean hadBadRequest;

    /** The instant from which the present state counts when a connection to close is chosen. */
    private long stateSince;

    /** The instant at which the response that is being written, or was last, began. */
    private long respondingSince;

    ClientConnection(
            ServerContext server,
            ClientConnections connections,
            GracefulShutdown shutdown,
            ClientSocket channel) {
        this.server = server;
        this.connections = connections;
        this.shutdown = shutdown;
        this.channel = channel;
        this.reader = new RequestReader(server, shutdown, this, channel);
        this.writeRetry = new WriteRetry(channel);
        this.timeout = new ClientTimeout(server);
        this.unanswered = new UnansweredRequests(server);
    }

    // ---- state

    ClientConnectionState state() {
        return state;
    }

    long stateSince() {
        return stateSince;
    }

    InetSocketAddress remoteAddress() {
        return channel.remoteAddress();
    }

    /**
     * Changes the state; the only method that does. An event that is illegal in the present state
     * is logged and closes this connection only.
     */
    void on(ClientConnectionState.Event event) {
        ClientConnectionState next = state.on(event);
        if (next == null) {
            server.loop()
                    .log()
                    .fault("client.failed", new IllegalStateException(event + " in " + state))
                    .with("client", remoteAddress())
                    .write();
            abort(CloseReason.FAULT);
            return;
        }
        long now = server.loop().now();
        if (connections.onStateChanged(this, state, next)) {
            stateSince = now;
        }
        timeout.enter(state, next);
        if (next.isResponding()) {
            respondingSince = now;
        }
        state = next;
    }

    void setTimeoutAt(long instant) {
        timeout.setDueAt(instant);
    }

    /** Checks the connection at regular intervals, and ends it if it has timed out. */
    void sweep(long now) {
        if (state.isResponding()) {
            writeRetry.run(now);
        }
        reader.checkUnread();
        if (isLeavingInputUnread() && channel.hasClientDisconnected()) {
            close(CloseReason.CLIENT_LEFT);
        }
        if (timeout.isDue()) {
            expire();
        }
    }

    /** Handles a timeout, unless input that has been received but not read yet extends it. */
    private void expire() {
        if (!state.isEnding()) {
            reader.readNow();
        }
        if (download != null) {
            // A client that reads everything it is sent is not timed out because an endpoint is
            // slow.
            timeout.extendResponse(download.stalledSince());
        }
        if (!timeout.isDue()) {
            return;
        }
        server.loop()
                .log()
                .debug("client.timed_out")
                .with("client", remoteAddress())
                .with("state", state)
                .write();
        if (state.acceptsRequests()) {
            closeOrLinger(CloseReason.TIMED_OUT);
        } else {
            abort(CloseReason.CLIENT_STALLED);
        }
    }

    // ---- channel events

    @Override
    public void channelActive(ChannelHandlerContext context) {
        stateSince = server.loop().now();
        timeout.enter(state, state);
        connections.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reader.receive((ByteBuf) message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (download != null && channel.isWritable()) {
            timeout.extendResponse(server.loop().now()); // the client is reading
            download.pump();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(this);
        if (state != ClientConnectionState.CLOSED) {
            logLeft(0);
            closeReason = CloseReason.CLIENT_LEFT;
        }
        on(ClientConnectionState.Event.CLOSE);
        if (request != null) {
            unanswered.onRequestDropped(remoteAddress(), closeReason);
        }
        reader.close();
        if (download != null) {
            // The download is stopped before the attempt is ended, which would otherwise abort a
            // response on a closed channel.
            download.stop();
            download = null;
        }
        abandonRequest();
        reader.dropUpload();
        connections.acceptAgain();
        shutdown.endIfEmpty();
    }

    /** Closes the connection, since its client has disconnected behind bytes that are unread. */
    void onDisconnectBehind(int unreadBytes) {
        logLeft(unreadBytes);
        abort(CloseReason.CLIENT_LEFT);
    }

    private void logLeft(int unreadBytes) {
        server.loop()
                .log()
                .debug("client.left")
                .with("client", remoteAddress())
                .with("state", state)
                .with("buffered", reader.bufferedBytes())
                .with("unread", unreadBytes)
                .write();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            context.close(); // reset by the client
            return;
        }
        server.loop().log().fault("client.failed", cause).with("client", remoteAddress()).write();
        close(CloseReason.FAULT);
    }

    // ---- requests

    /**
     * Accepts a request and passes it to the forwarder.
     *
     * @param upload what is received of the body while it is streamed; null: the request is
     *     complete
     */
    void acceptRequest(HttpMessage message, UploadProgress upload)
            throws MalformedMessageException {
        keepAlive = message.head().keepsAlive();
        if (message.head().target().equals(HEALTH_PATH)) {
            respondToHealthCheck();
            return;
        }
        PropagatedBudget budget = server.headers().carried(message);
        long receivedAt = reader.lastDecodedAt();
        Request read = server.read(message, receivedAt, shutdown.answerBy(), budget);
        long timeoutAfterUpload = read.deadline() - receivedAt;
        String id = message.head().fields().get("req-id");
        server.openId(id);
        ClientRequest accepted = new ClientRequest(server, this, message, id);
        on(ClientConnectionState.Event.REQUEST);
        Exchange<HttpMessage, HttpMessage> exchange =
                new Exchange<>(upload == null ? read : uploading(read), message, accepted, budget);
        if (upload != null) {
            exchange.withUpload(timeoutAfterUpload, upload);
        }
        accepted.setExchange(exchange);
        request = accepted;
        server.loop()
                .log()
                .debug("request.accepted")
                .with("request", read.id())
                .with("id", id)
                .with("client", remoteAddress())
                .with("upload", upload == null ? "no" : "yes")
                .write();
        server.accept(exchange, accepted);
    }

    private static Request uploading(Request request) {
        return new Request(
                request.id(),
                request.classIndex(),
                request.tenant(),
                request.deadline() + MAX_UPLOAD_NANOS,
                request.idempotencyKey(),
                request.repeat(),
                request.write(),
                request.expectedWorkNanos(),
                true);
    }

    private void respondToHealthCheck() {
        boolean healthy = server.isReady() && shutdown.isHealthy();
        boolean last = isLastResponse();
        write(ownResponse(healthy ? 200 : 503, healthy ? "ready" : "not ready", last), last);
    }

    /** Notifies the forwarder that the body of the open request is complete. */
    void uploadComplete() {
        server.forwarder().uploadComplete(request.exchange(), reader.lastDecodedAt());
    }

    /**
     * Responds to a complete request that is rejected for what it asks. The connection ends after
     * those that were read behind it.
     */
    void rejectRequest(MalformedMessageException e) {
        hadBadRequest = true;
        respondToRejected(e);
    }

    private void respondToRejected(MalformedMessageException e) {
        boolean last = isLastResponse();
        write(ownResponse(e.status(), e.getMessage(), last), last);
    }

    /**
     * Responds to a complete request that is refused for lack of resources, which does not end the
     * connection.
     */
    void refuseRequest(HttpMessage message, MalformedMessageException refusal) {
        keepAlive = message.head().keepsAlive();
        respondToRejected(refusal);
    }

    /**
     * Responds to bytes that can't be divided into requests, and closes the connection once the
     * client has had time to read the response.
     */
    void reject(MalformedMessageException e) {
        if (reader.dropsInput()) {
            return; // the rest of a body whose request was answered in the meantime
        }
        boolean streaming = download != null;
        if (streaming) {
            abort(CloseReason.MALFORMED); // another response can't follow
        }
        abandonRequest();
        reader.dropUpload();
        if (!streaming) {
            closeReason = CloseReason.MALFORMED;
            write(ownResponse(e.status(), e.getMessage(), true), true);
        }
    }

    /**
     * Returns whether the client still waits for the response to this request, after reading what
     * the socket has received by now.
     */
    boolean isClientWaiting(ClientRequest asked) {
        reader.readNow();
        return request == asked && channel.isOpen();
    }

    boolean canDetectDisconnect() {
        return reader.canDetectDisconnect();
    }

    long nanosWithoutSignOfClient() {
        return reader.nanosWithoutSignOfClient();
    }

    /** Returns whether a further attempt of the open request may need the bytes of its body. */
    boolean mayNeedContent() {
        return request == null || !request.exchange().contentDiscarded();
    }

    /** Returns whether a streamed request body is being read, or a response is being written. */
    boolean isTransferring() {
        return reader.isUploading() || state.isResponding();
    }

    /**
     * Returns whether a request is open or waits to be decoded, or a response is being written of
     * which the client has taken something within this time, in nanoseconds, or has taken all there
     * is.
     */
    boolean isAnswering(long maxStallNanos) {
        if (!state.isResponding()) {
            return request != null || !state.isEnding() && reader.hasInput();
        }
        long stalledSince = download == null ? respondingSince : download.stalledSince();
        return server.loop().now() - stalledSince < maxStallNanos;
    }

    // ---- responses

    /**
     * Returns whether the next response is the last of its connection. During a shutdown nothing
     * more is read than what has been received by then, and the last response is that to the last
     * request that was read, because none of those may stay unanswered.
     */
    boolean isLastResponse() {
        CloseReason reason = reasonToCloseAfterResponse();
        if (state != ClientConnectionState.CLOSED) {
            closeReason = reason;
        }
        return reason != null;
    }

    private CloseReason reasonToCloseAfterResponse() {
        if (!keepAlive) {
            return CloseReason.CLOSE_REQUESTED;
        }
        if (reader.isUploading()) {
            return CloseReason.BODY_DROPPED;
        }
        if (!shutdown.endsConnections() && !hadBadRequest) {
            reader.reopenInput();
            return null;
        }
        reader.endInput();
        if (reader.hasInput()) {
            return null;
        }
        return hadBadRequest ? CloseReason.BAD_REQUEST : CloseReason.SHUTDOWN;
    }

    /** Encodes a response; returns null if that fails, for example for lack of memory. */
    ByteBuf encode(Supplier<ByteBuf> encoder) {
        try {
            return encoder.get();
        } catch (RuntimeException | OutOfMemoryError e) {
            server.loop()
                    .log()
                    .fault("client.response_failed", e)
                    .with("client", remoteAddress())
                    .write();
            return null;
        }
    }

    /**
     * Ends the open request with a response.
     *
     * @param response null if it could not be encoded: the connection is closed instead
     */
    void respond(ByteBuf response, boolean last) {
        if (response == null) {
            close(CloseReason.OUT_OF_MEMORY); // which is the end of the request, too
            return;
        }
        closeRequest();
        if (state == ClientConnectionState.CLOSED) {
            response.release();
        } else {
            write(response, last);
        }
    }

    /** Streams a response; the request stays open until the end of the body. */
    void stream(BodyFlow flow, boolean chunked, boolean last, Supplier<ByteBuf> headEncoder) {
        if (state == ClientConnectionState.CLOSED) {
            return; // channelInactive follows and ends the attempt
        }
        if (last && closeReason == null) {
            closeReason = CloseReason.CLOSE_REQUESTED; // its end is the end of the connection
        }
        on(last ? ClientConnectionState.Event.LAST_RESPONSE : ClientConnectionState.Event.RESPONSE);
        if (isLeavingInputUnread()) {
            channel.config().setAutoRead(false);
        }
        ByteBuf head = encode(headEncoder);
        if (head == null) {
            close(CloseReason.OUT_OF_MEMORY); // this also ends the attempt
            return;
        }
        channel.write(head);
        download =
                new BodyWriter(server.loop(), channel, flow, chunked, () -> {}, new DownloadEnd());
        channel.flush();
        download.pump();
    }

    private final class DownloadEnd implements BodyWriter.CompletionListener {
        @Override
        public void onBodyWritten() {
            download = null;
            closeRequest();
            onWritten(true);
        }

        @Override
        public void onBodyFailed() {
            abort(CloseReason.RESPONSE_BROKEN);
        }
    }

    private ByteBuf ownResponse(int status, String text, boolean close) {
        return reader.wantsHeadOnly()
                ? HttpEncoder.answerHead(server.loop().buffers(), status, text, close)
                : HttpEncoder.answer(server.loop().buffers(), status, text, 0, close);
    }

    /**
     * Writes a response. The next request is decoded once the response is written, unless the
     * connection has ended.
     *
     * @param last whether the response is the last of the connection; input received from now on is
     *     dropped
     */
    private void write(ByteBuf response, boolean last) {
        on(last ? ClientConnectionState.Event.LAST_RESPONSE : ClientConnectionState.Event.RESPONSE);
        if (last) {
            reader.dropUpload();
            channel.config().setAutoRead(!isLeavingInputUnread());
        }
        channel.writeAndFlush(response).addListener(written -> onWritten(written.isSuccess()));
    }

    private void onWritten(boolean success) {
        if (!success) {
            close(CloseReason.CLIENT_LEFT);
            return;
        }
        on(ClientConnectionState.Event.WRITTEN);
        if (state == ClientConnectionState.LINGERING) {
            linger();
            return;
        }
        reader.decode();
        reader.continueReading();
        if (shutdown.closesIdle() && state == ClientConnectionState.IDLE) {
            closeIfQuiet();
        }
    }

    private void closeRequest() {
        ClientRequest closed = request;
        request = null;
        closed.close(reader.isUploading());
    }

    /**
     * Abandons the open request, whose response is no longer needed. The forwarder is notified
     * before the upload is dropped; otherwise the dropped upload would count as a failure of the
     * endpoint, and be answered.
     */
    private void abandonRequest() {
        if (request != null) {
            ClientRequest abandoned = request;
            server.forwarder().clientLeft(abandoned.exchange());
            if (request == abandoned) {
                closeRequest();
            }
        }
    }

    // ---- end of the connection

    /**
     * Reads pending input and returns whether the connection is still in the state for which it was
     * chosen to be closed.
     */
    boolean isUnchangedAfterRead() {
        ClientConnectionState before = state;
        long received = reader.receivedBytes();
        reader.resumeDecoding();
        reader.readNow();
        boolean hasInput = reader.receivedBytes() != received || reader.hasBytes();
        return state == before && !(hasInput && before.isBetweenRequests());
    }

    /**
     * Returns whether the connection may be closed if no request is open on it. A new connection
     * may not: its first request is on the way and would fail.
     */
    boolean mayBeClosed(long now) {
        return state != ClientConnectionState.NEW
                || now - stateSince >= ClientConnections.REQUEST_GAP_NANOS;
    }

    /**
     * Closes a connection without an open request, unless a request or a part of one has been
     * received, which is then processed instead, here or by the decoding that is in progress.
     * Closes both directions at once rather than only the output: a request that arrives at this
     * moment is reset unread, so that its client can send it elsewhere.
     */
    void closeIfQuiet() {
        reader.readNow();
        if (state.isBetweenRequests() && !reader.hasBytes()) {
            close(CloseReason.SHUTDOWN);
        }
    }

    /**
     * Closes a connection without an open request as {@link #closeIfQuiet} does, but with a
     * lingering close if part of a request has been received.
     */
    private void closeOrLinger(CloseReason reason) {
        if (state.isBetweenRequests()) {
            close(reason);
        } else {
            closeReason = reason;
            on(ClientConnectionState.Event.HALF_CLOSE);
            linger();
        }
    }

    /**
     * Expires the open request, or closes the connection if none is open, because the process is
     * about to end. A long response whose first bytes were passed on continues.
     */
    void cutOff() {
        reader.resumeDecoding();
        reader.readNow();
        if (request != null) {
            server.forwarder().expireNow(request.exchange());
        } else if (state.acceptsRequests() && !reader.hasInput()) {
            closeOrLinger(CloseReason.SHUTDOWN);
        }
    }

    /** Begins the lingering close: input that is read from here on is not forwarded. */
    private void linger() {
        reader.dropUpload();
        reader.dropBytes();
        lingering.start(stateSince);
        channel.shutdownOutput();
        channel.config().setAutoRead(!isLeavingInputUnread());
    }

    /**
     * Returns whether input is neither read nor dropped, since the connection ends by this
     * process's decision: its client may send again what was not read.
     */
    private boolean isLeavingInputUnread() {
        return state.isEnding()
                && (closeReason == CloseReason.SHUTDOWN || closeReason == CloseReason.BAD_REQUEST)
                && SocketPolling.isAvailable();
    }

    /** Records that bytes are dropped which were read and not decoded. */
    void onBytesDropped(ByteBuf bytes) {
        if (closeReason != null) {
            unanswered.onBytesDropped(remoteAddress(), closeReason, bytes);
        }
    }

    /** Drops bytes that were read. */
    void drop(ByteBuf bytes) {
        onBytesDropped(bytes);
        boolean tooMany = lingering.drop(bytes.readableBytes());
        bytes.release();
        long now = server.loop().now();
        if (tooMany) {
            timeout.setDueAt(now);
        } else if (state == ClientConnectionState.LINGERING) {
            timeout.setDueAt(lingering.dueAfter(now));
        }
    }

    /**
     * Closes the connection at once. Resets it if a response is being streamed, since a response
     * without a length that ends early would look complete.
     */
    void abort(CloseReason reason) {
        if (download != null) {
            download.stop();
            download = null;
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
        }
        close(reason);
    }

    /** Closes the connection at once, for a reason that counts unless it has begun to end. */
    void close(CloseReason reason) {
        if (closeReason == null) {
            closeReason = reason;
        }
        on(ClientConnectionState.Event.CLOSE);
        channel.close();
    }
}
