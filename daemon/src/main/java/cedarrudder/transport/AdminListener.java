package cedarrudder.transport;

import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.transport.AdminOperations.OperationResult;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The listener at the administrative address: each connection carries one request, which is
 * answered at once or when its result is known. Requests are routed to the {@link AdminOperations};
 * client requests are not handled here.
 */
public final class AdminListener {

    /**
     * The maximum number of connections. At this limit a new connection evicts the one from which
     * the fewest bytes were received, the oldest of those.
     */
    public static final int MAX_CONNECTIONS = 16;

    /**
     * The maximum size of a request's head, which contains a short path, in bytes; requests need
     * next to no body.
     */
    private static final int MAX_HEAD_BYTES = 4096;

    private static final int MAX_BODY_BYTES = 1024;

    /** The time from the connection within which a request must be complete, in nanoseconds. */
    private static final long CALL_TIMEOUT_NANOS = 5_000_000_000L;

    /** The time for which a connection stays open after its response. */
    private static final long LINGER_NANOS = 1_000_000_000L;

    private static final String NODES = "/-/nodes/";
    private static final String DRAINS = "/-/drains";
    private static final AdminResponse UNKNOWN_PATH = AdminResponse.text(404, "unknown path");

    private final ProxyEventLoop loop;
    private final AdminOperations operations;
    private final Set<AdminConnection> connections = new LinkedHashSet<>();
    private Channel channel;

    /** Creates a listener that is not open yet. */
    public AdminListener(ProxyEventLoop loop, AdminOperations operations) {
        this.loop = loop;
        this.operations = operations;
    }

    /** Listens at an address; blocks until the socket is bound. */
    public void listen(InetSocketAddress address) throws IOException, InterruptedException {
        channel = ListenRetry.listen(() -> listenOnce(address));
    }

    private Channel listenOnce(InetSocketAddress address) throws IOException, InterruptedException {
        var bound =
                new ServerBootstrap()
                        .group(loop.group())
                        .channelFactory(() -> new HandoverSocket(loop))
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.ALLOCATOR, loop.buffers())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline().addLast(new AdminConnection(channel));
                                    }
                                })
                        .bind(address)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "can't listen for operators on " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return bound.channel();
    }

    /** Returns the address at which the listener accepts connections. */
    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** A response before it is written; {@code allow} is null unless the method is wrong. */
    private record AdminResponse(int status, String type, byte[] body, String allow) {

        static AdminResponse text(int status, String text) {
            return new AdminResponse(
                    status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8), null);
        }

        static AdminResponse json(byte[] body) {
            return new AdminResponse(200, "application/json", body, null);
        }

        static AdminResponse of(OperationResult done) {
            return switch (done) {
                case DONE -> text(200, "done");
                case UNKNOWN_ENDPOINT -> text(404, "no node of this id was ever listed");
                case UNAVAILABLE -> text(503, "can't be done now, or can't be kept");
            };
        }
    }

    /** Routes a request; returns null if the response is passed to {@code later} instead. */
    private AdminResponse route(String method, String target, Consumer<AdminResponse> later)
            throws MalformedMessageException {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int verb = path.lastIndexOf('/');
        if (path.startsWith(DRAINS + "/") && operations.drains() != null) {
            return routeDrainChange(method, path.substring(DRAINS.length() + 1), later);
        }
        if (path.startsWith(NODES) && verb > NODES.length()) {
            String node = percentDecoded(path.substring(NODES.length(), verb));
            return routeNodeChange(method, node, path.substring(verb + 1));
        }
        String allowed = allowedMethod(path);
        if (allowed == null) {
            return UNKNOWN_PATH;
        }
        return method.equals(allowed) ? operate(path) : wrongMethod(allowed);
    }

    private AdminResponse routeNodeChange(String method, String node, String operation) {
        boolean known = operation.equals("disable") || operation.equals("enable");
        if (!known || node.contains("/")) {
            return UNKNOWN_PATH;
        }
        if (!method.equals("POST")) {
            return wrongMethod("POST");
        }
        return AdminResponse.of(
                operation.equals("disable") ? operations.disable(node) : operations.enable(node));
    }

    /** Returns the method that a path allows; null if there is no such path now. */
    private String allowedMethod(String path) {
        return switch (path) {
            case "/-/ready", "/-/metrics" -> "GET";
            case "/-/drain", "/-/resume" -> "POST";
            case "/-/table" -> operations.routeTable() == null ? null : "GET";
            case "/-/group" -> operations.routeTable() == null ? null : "POST";
            case DRAINS -> operations.drains() == null ? null : "GET";
            default -> null;
        };
    }

    private AdminResponse operate(String path) {
        return switch (path) {
            case "/-/ready" ->
                    operations.isReady()
                            ? AdminResponse.text(200, "ready")
                            : AdminResponse.text(503, "not ready");
            case "/-/metrics" -> AdminResponse.json(operations.metrics());
            case "/-/drain" -> AdminResponse.of(operations.drain());
            case "/-/table" -> AdminResponse.json(operations.routeTable());
            case "/-/group" -> AdminResponse.of(operations.formGroup());
            case DRAINS -> AdminResponse.json(operations.drains());
            default -> AdminResponse.of(operations.resume());
        };
    }

    /** Routes a request such as {@code zone/a/begin}. */
    private AdminResponse routeDrainChange(
            String method, String call, Consumer<AdminResponse> later)
            throws MalformedMessageException {
        String[] parts = call.split("/", -1);
        AdminOperations.DrainTarget which =
                parts.length == 3
                        ? switch (parts[0]) {
                            case "node" -> AdminOperations.DrainTarget.NODE;
                            case "zone" -> AdminOperations.DrainTarget.ZONE;
                            case "pod" -> AdminOperations.DrainTarget.POD;
                            case "kind" -> AdminOperations.DrainTarget.KIND;
                            default -> null;
                        }
                        : null;
        if (which == null
                || parts[1].isEmpty()
                || !parts[2].equals("begin") && !parts[2].equals("cancel")) {
            return UNKNOWN_PATH;
        }
        if (!method.equals("POST")) {
            return wrongMethod("POST");
        }
        operations.changeDrains(
                which,
                percentDecoded(parts[1]),
                parts[2].equals("cancel"),
                done ->
                        later.accept(
                                switch (done) {
                                    case DONE -> AdminResponse.text(200, "done");
                                    case UNKNOWN_ENDPOINT ->
                                            AdminResponse.text(
                                                    404, "no node that is listed is meant");
                                    case UNAVAILABLE ->
                                            AdminResponse.text(
                                                    503,
                                                    "not known to be agreed on; to repeat it does"
                                                            + " no harm");
                                }));
        return null;
    }

    private static AdminResponse wrongMethod(String allowed) {
        return new AdminResponse(
                405, "text/plain", "wrong method\n".getBytes(StandardCharsets.UTF_8), allowed);
    }

    /** Decodes percent-encoding, once. */
    private static String percentDecoded(String segment) throws MalformedMessageException {
        try {
            // The decoder is for forms, in which a plus sign means a blank; here it is a plus
            // sign.
            return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    MalformedMessageException.BAD_REQUEST, "bad percent-encoding");
        }
    }

    /**
     * Evicts one connection, so that clients that send nothing or a partial request can't shut out
     * those that send a complete one.
     */
    private void evictOne() {
        AdminConnection min = null;
        for (AdminConnection call : connections) {
            min = min == null || call.receivedBytes < min.receivedBytes ? call : min;
        }
        if (min != null) {
            // Removed at once rather than when the channel is closed, which happens later: the same
            // connection must not be evicted for several new ones.
            connections.remove(min);
            min.channel.close();
        }
    }

    /** A connection with one request. */
    private final class AdminConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final DuplexChannel channel;
        private final HttpDecoder decoder = HttpDecoder.ofRequests(MAX_HEAD_BYTES, MAX_BODY_BYTES);
        private long receivedBytes;
        private boolean answered;
        private boolean awaitsResult;
        private TimerService.Timer timeout;

        AdminConnection(DuplexChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (connections.size() >= MAX_CONNECTIONS) {
                evictOne();
            }
            connections.add(this);
            closeIn(CALL_TIMEOUT_NANOS);
        }

        /** Closes the connection after this time, unless it has ended before. */
        private void closeIn(long nanos) {
            cancelTimeout();
            timeout = loop.at(loop.now() + nanos, channel::close);
        }

        /**
         * Cancels the timeout, since memory would otherwise grow with the rate of requests as long
         * as their timeouts are pending.
         */
        private void cancelTimeout() {
            if (timeout != null) {
                timeout.cancel();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
            receivedBytes += in.readableBytes();
            if (answered || awaitsResult) {
                // Input after the request is read and dropped: closing with bytes unread would lose
                // the response.
                return;
            }
            try {
                HttpMessage call = decoder.decode(in);
                if (call != null) {
                    AdminResponse answer =
                            route(call.head().method(), call.head().target(), this::respondLater);
                    if (answer != null) {
                        respond(answer);
                    } else if (!answered) {
                        closeIn(CALL_TIMEOUT_NANOS); // time for the replicas to agree
                        awaitsResult = true;
                    }
                } else if (decoder.awaitsContinue()) {
                    channel.writeAndFlush(HttpEncoder.goOn(loop.buffers()));
                }
            } catch (MalformedMessageException e) {
                respond(AdminResponse.text(e.status(), e.getMessage()));
            }
        }

        private void respondLater(AdminResponse answer) {
            if (!answered && channel.isOpen()) {
                respond(answer);
            }
        }

        private void respond(AdminResponse answer) {
            answered = true;
            receivedBytes = Long.MAX_VALUE; // evicted last
            channel.writeAndFlush(
                            HttpEncoder.page(
                                    loop.buffers(),
                                    answer.status(),
                                    answer.type(),
                                    answer.body(),
                                    answer.allow()))
                    .addListener(
                            wrote -> {
                                if (channel.isOpen()) {
                                    channel.shutdownOutput();
                                    closeIn(LINGER_NANOS);
                                }
                            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            cancelTimeout();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                loop.log()
                        .fault("admin.failed", cause)
                        .with("client", channel.remoteAddress())
                        .write();
            }
            context.close();
        }
    }
}
