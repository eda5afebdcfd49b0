package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.Exchange;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * One connection from a client, on which one request is answered at a time. Its life is the table
 * of {@link ClientConnectionState}; {@link RequestReader} reads its requests, {@link ClientRequest}
 * is the one that is open.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    private static final String HEALTH_PATH = "/_health";

    /**
     * Requests of one connection that are still answered where its last response was due, since
     * they stood right behind it; a client may send ahead without end.
     */
    private static final int MAX_BEHIND_LAST = 64;

    private final ServerContext server;
    private final ClientConnections connections;
    private final GracefulShutdown shutdown;
    private final NioSocketChannel channel;
    private final RequestReader reader;
    private final LingeringClose lingering = new LingeringClose();
    private ClientConnectionState state = ClientConnectionState.NEW;

    /** The request that is open; null where none is. */
    private ClientRequest request;

    /** The response that is being streamed; null where none is. */
    private BodyWriter download;

    private boolean keepAlive;
    private int answeredBehindLast;

    /** Since when it has been in its present state, as far as closing it is concerned. */
    private long since;

    /** When its time is over. */
    private long due;

    ClientConnection(
            ServerContext server,
            ClientConnections connections,
            GracefulShutdown shutdown,
            NioSocketChannel channel) {
        this.server = server;
        this.connections = connections;
        this.shutdown = shutdown;
        this.channel = channel;
        this.reader = new RequestReader(server, shutdown, this, channel);
    }

    // ---- its state

    ClientConnectionState state() {
        return state;
    }

    long since() {
        return since;
    }

    InetSocketAddress remoteAddress() {
        return channel.remoteAddress();
    }

    /** The one place where its state changes. What can't come in a state ends it alone. */
    void on(ClientConnectionState.Event event) {
        ClientConnectionState next = state.on(event);
        if (next == null) {
            server.loop()
                    .log()
                    .fault("client.failed", new IllegalStateException(event + " in " + state))
                    .with("client", remoteAddress())
                    .write();
            breakOff();
            return;
        }
        long now = server.loop().now();
        if (connections.move(this, state, next)) {
            since = now;
        }
        due = dueIn(next, now);
        state = next;
    }

    /** When its time is over, once it comes to this state. */
    private long dueIn(ClientConnectionState next, long now) {
        ClientLimits limits = server.limits();
        return switch (next) {
            case READING_HEAD ->
                    // The time of the first request counts from the connection.
                    state == ClientConnectionState.NEW ? due : now + limits.requestTimeout();
            case NEW, READING_BODY -> now + limits.requestTimeout();
            case IDLE -> now + limits.idleTimeout();
            case RESPONDING, SENDING_LAST_RESPONSE -> now + limits.responseTimeout();
            case LINGERING -> now + LingeringClose.QUIET_NANOS;
            case REQUEST_OPEN, CLOSED -> Long.MAX_VALUE;
        };
    }

    void setDue(long instant) {
        due = instant;
    }

    boolean isDue(long now) {
        return now >= due;
    }

    /** Its time is over, unless what it waits for has come and was not read. */
    void expire() {
        if (!state.ends()) {
            reader.readNow();
        }
        if (download != null) {
            // A client that reads all there is does not pay for an endpoint that takes its time.
            due = Math.max(due, download.waitsSince() + server.limits().responseTimeout());
        }
        if (server.loop().now() < due) {
            return;
        }
        if (state.takesRequests()) {
            giveUp();
        } else {
            breakOff();
        }
    }

    // ---- channel events

    @Override
    public void channelActive(ChannelHandlerContext context) {
        since = server.loop().now();
        due = dueIn(state, since);
        connections.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        reader.receive((ByteBuf) message);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (download != null && channel.isWritable()) {
            due = server.loop().now() + server.limits().responseTimeout(); // the client reads
            download.pump();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(this);
        on(ClientConnectionState.Event.CLOSE);
        reader.close();
        if (download != null) {
            // First, since what ends the attempt would break off a response on a closed channel.
            download.stop();
            download = null;
        }
        leave();
        reader.dropUpload();
        connections.acceptAgain();
        shutdown.endIfEmpty();
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
     * Takes a request.
     *
     * @param uploadNanos how much longer its time may be while its body is streamed; 0: it is
     *     complete
     */
    void take(HttpMessage message, long uploadNanos) throws MalformedMessageException {
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
        ClientRequest taken = new ClientRequest(server, this, message, id);
        on(ClientConnectionState.Event.REQUEST);
        Exchange<HttpMessage, HttpMessage> exchange =
                new Exchange<>(
                        uploadNanos > 0 ? uploading(read, uploadNanos) : read,
                        message,
                        taken,
                        budget);
        if (uploadNanos > 0) {
            exchange.withUpload(timeoutAfterUpload);
        }
        taken.setExchange(exchange);
        request = taken;
        server.accept(exchange, taken);
    }

    private static Request uploading(Request request, long uploadNanos) {
        return new Request(
                request.id(),
                request.classIndex(),
                request.tenant(),
                request.deadline() + uploadNanos,
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

    /** The body of the open request is complete. */
    void uploadComplete() {
        server.forwarder().uploadComplete(request.exchange());
    }

    /** Responds to a request that can't be read, and closes once the client may have read that. */
    void reject(MalformedMessageException e) {
        if (reader.dropsInput()) {
            return; // the rest of a body whose request was answered meanwhile
        }
        boolean streaming = download != null;
        if (streaming) {
            breakOff(); // another response can't follow
        }
        leave();
        reader.dropUpload();
        if (!streaming) {
            write(ownResponse(e.status(), e.getMessage(), true), true);
        }
    }

    /** Whether the client still waits for the response to this request, looked up now. */
    boolean isClientWaiting(ClientRequest asked) {
        reader.readNow();
        return request == asked && channel.isOpen();
    }

    boolean canDetectDisconnect() {
        return reader.canDetectDisconnect();
    }

    /** Whether a body is streamed, either way. */
    boolean isStreaming() {
        return reader.isUploading() || download != null;
    }

    // ---- responses

    /**
     * Whether the response at hand is the last of its connection; asked once for each. Where the
     * service ends, what has come behind the request is read first, and served: requests may not be
     * taken and never answered.
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
        answeredBehindLast++;
        return answeredBehindLast > MAX_BEHIND_LAST;
    }

    /** Encodes a response; null where that can't be done, for want of memory say. */
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
     * @param response null where it could not be encoded: the client sees a break instead
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

    /** Passes on a response that is streamed; the request is open until its end. */
    void stream(BodyFlow flow, boolean chunked, boolean last, Supplier<ByteBuf> headEncoder) {
        if (state == ClientConnectionState.CLOSED) {
            return; // the end of the connection, reported next, ends the attempt
        }
        on(last ? ClientConnectionState.Event.LAST_RESPONSE : ClientConnectionState.Event.RESPONSE);
        ByteBuf head = encode(headEncoder);
        if (head == null) {
            close(); // which ends the attempt, too
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
        public void broke() {
            breakOff();
        }
    }

    private ByteBuf ownResponse(int status, String text, boolean close) {
        return reader.wantsHeadOnly()
                ? HttpEncoder.answerHead(server.loop().buffers(), status, text, close)
                : HttpEncoder.answer(server.loop().buffers(), status, text, 0, close);
    }

    /**
     * Writes a response; the next request is decoded once it is out, or the connection ended.
     *
     * @param last whether it is the connection's last: what comes from now on is dropped
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
     * No response is owed any more. The forwarder learns of it before what the client sends is
     * dropped, which would else be taken for an endpoint's failure, and answered.
     */
    private void leave() {
        if (request != null) {
            ClientRequest left = request;
            server.forwarder().clientLeft(left.exchange());
            if (request == left) {
                closeRequest();
            }
        }
    }

    // ---- the end of the connection

    /** Reads what has come; whether the connection may still be closed as it was chosen for. */
    boolean isUnchangedAfterRead() {
        ClientConnectionState before = state;
        long received = reader.receivedBytes();
        reader.readNow();
        return state == before && (reader.receivedBytes() == received || !before.rests());
    }

    /**
     * Whether it may be closed as one on which nothing is open. One that has just come may not: its
     * first request is on its way and would fail.
     */
    boolean mayBeClosed(long now) {
        return state != ClientConnectionState.NEW
                || now - since >= ClientConnections.REQUEST_GAP_NANOS;
    }

    /**
     * Closes it, as one on which nothing is owed, unless a request has come, or a part of one,
     * which is taken instead, or by whoever is decoding. It is closed and not shut: a request that
     * comes in this very moment goes back to its client unread as a reset, and is sent elsewhere.
     */
    void closeIfQuiet() {
        reader.readNow();
        if (state.rests() && !reader.hasBytes()) {
            close();
        }
    }

    /** Nothing is owed on it: as {@link #closeIfQuiet}, but for half a request, which is read. */
    private void giveUp() {
        if (state.rests()) {
            close();
        } else {
            on(ClientConnectionState.Event.HALF_CLOSE);
            linger();
        }
    }

    /** The process ends: what is open has had its time. */
    void cutOff() {
        reader.readNow();
        if (request != null) {
            server.forwarder().expireNow(request.exchange());
        } else if (state.takesRequests()) {
            giveUp();
        }
    }

    /** Begins the lingering close: what is read from here on goes to no endpoint. */
    private void linger() {
        reader.dropUpload();
        reader.dropBytes();
        lingering.start(since);
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
    }

    /** Drops bytes that were read. */
    void drop(ByteBuf bytes) {
        boolean tooMany = lingering.drop(bytes.readableBytes());
        bytes.release();
        long now = server.loop().now();
        if (tooMany) {
            due = now;
        } else if (state == ClientConnectionState.LINGERING) {
            due = lingering.dueAfter(now);
        }
    }

    /**
     * Ends it at once: a reset where a response is streamed, since one without a length that ends
     * early would look complete.
     */
    void breakOff() {
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
