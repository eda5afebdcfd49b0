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

    /**
     * The maximum number of pipelined requests that are still answered after the response that was
     * to be the last of the connection. Bounded because a client may pipeline requests without end.
     */
    private static final int MAX_PIPELINED_AFTER_LAST = 64;

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
    private ClientConnectionState state = ClientConnectionState.NEW;

    /** The open request; null if there is none. */
    private ClientRequest request;

    /** The response body that is being streamed; null if there is none. */
    private BodyWriter download;

    private boolean keepAlive;
    private int answeredAfterLast;

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
            abort();
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
            closeOrLinger();
        } else {
            abort();
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
        }
        on(ClientConnectionState.Event.CLOSE);
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
        abort();
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
        if (!(cause instanceof IOException)) {
            server.loop()
                    .log()
                    .fault("client.failed", cause)
                    .with("client", remoteAddress())
                    .write();
        }
        context.close();
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
     * Responds to a malformed request, and closes the connection once the client has had time to
     * read the response.
     */
    void reject(MalformedMessageException e) {
        if (reader.dropsInput()) {
            return; // the rest of a body whose request was answered in the meantime
        }
        boolean streaming = download != null;
        if (streaming) {
            abort(); // another response can't follow
        }
        abandonRequest();
        reader.dropUpload();
        if (!streaming) {
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

    /** Returns whether a further attempt of the open request may need the bytes of its body. */
    boolean mayNeedContent() {
        return request == null || !request.exchange().contentDiscarded();
    }

    /** Returns whether a streamed request body is being read, or a response is being written. */
    boolean isTransferring() {
        return reader.isUploading() || state.isResponding();
    }

    /**
     * Returns whether a request is open, or a response is being written of which the client has
     * taken something within this time, in nanoseconds, or has taken all there is.
     */
    boolean isAnswering(long maxStallNanos) {
        if (!state.isResponding()) {
            return request != null;
        }
        long stalledSince = download == null ? respondingSince : download.stalledSince();
        return server.loop().now() - stalledSince < maxStallNanos;
    }

    // ---- responses

    /**
     * Returns whether the next response is the last of its connection; called once for each
     * response. During a shutdown, pipelined requests are read first and answered, because a
     * request that was read must not stay unanswered.
     */
    boolean isLastResponse() {
        if (!keepAlive || reader.isUploading()) {
            return true;
        }
        if (!shutdown.endsConnections()) {
            return false;
        }
        reader.readNow();
        if (!reader.hasBytes()) {
            return true;
        }
        answeredAfterLast++;
        return answeredAfterLast > MAX_PIPELINED_AFTER_LAST;
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
        closeRequest();
        if (response == null) {
            close();
        } else if (state == ClientConnectionState.CLOSED) {
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
        on(last ? ClientConnectionState.Event.LAST_RESPONSE : ClientConnectionState.Event.RESPONSE);
        ByteBuf head = encode(headEncoder);
        if (head == null) {
            close(); // this also ends the attempt
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
            abort();
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
            channel.config().setAutoRead(true);
        }
        channel.writeAndFlush(response).addListener(written -> onWritten(written.isSuccess()));
    }

    private void onWritten(boolean success) {
        if (!success) {
            close();
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
            close();
        }
    }

    /**
     * Closes a connection without an open request as {@link #closeIfQuiet} does, but with a
     * lingering close if part of a request has been received.
     */
    private void closeOrLinger() {
        if (state.isBetweenRequests()) {
            close();
        } else {
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
        } else if (state.acceptsRequests()) {
            closeOrLinger();
        }
    }

    /** Begins the lingering close: input that is read from here on is not forwarded. */
    private void linger() {
        reader.dropUpload();
        reader.dropBytes();
        lingering.start(stateSince);
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
    }

    /** Drops bytes that were read. */
    void drop(ByteBuf bytes) {
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
    void abort() {
        if (download != null) {
            download.stop();
            download = null;
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
        }
        close();
    }

    void close() {
        on(ClientConnectionState.Event.CLOSE);
        channel.close();
    }
}
