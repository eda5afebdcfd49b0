package cedarrudder.transport;

import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.transport.AdminOperations.Done;
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
 * The operators' address: one call to a connection, answered at once. It routes calls to the {@link
 * AdminOperations} and knows nothing of requests.
 */
public final class AdminListener {

    /**
     * Connections at once; at this bound the one that has said least makes room, the oldest of
     * those.
     */
    public static final int MAX_CALLS = 16;

    /** Bytes of a call, which has a short path and no body to speak of. */
    private static final int MAX_HEAD = 4096;

    private static final int MAX_BODY = 1024;

    /** A call must be whole by then, in nanoseconds from its connection. */
    private static final long PATIENCE = 5_000_000_000L;

    /** Who has its answer may stay for this long. */
    private static final long LAST_WORD = 1_000_000_000L;

    private static final String NODES = "/-/nodes/";
    private static final String DRAINS = "/-/drains";
    private static final Answer UNKNOWN_PATH = Answer.text(404, "unknown path");

    private final ProxyEventLoop loop;
    private final AdminOperations desk;
    private final Set<Call> calls = new LinkedHashSet<>();
    private Channel listening;

    public AdminListener(ProxyEventLoop loop, AdminOperations desk) {
        this.loop = loop;
        this.desk = desk;
    }

    /** Begins to listen; blocks until it does. */
    public void listen(InetSocketAddress address) throws IOException, InterruptedException {
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
                                        channel.pipeline().addLast(new Call(channel));
                                    }
                                })
                        .bind(address)
                        .await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "can't listen for operators on " + address + ": " + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** An answer before it is written; {@code allow} is null but where the method is wrong. */
    private record Answer(int status, String type, byte[] body, String allow) {

        static Answer text(int status, String text) {
            return new Answer(
                    status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8), null);
        }

        static Answer done(Done done) {
            return switch (done) {
                case YES -> text(200, "done");
                case UNKNOWN -> text(404, "no node of this id was ever listed");
                case NO -> text(503, "can't be done now, or can't be kept");
            };
        }
    }

    /** Null where the answer comes later, to {@code later}. */
    private Answer route(String method, String target, Consumer<Answer> later)
            throws MalformedMessageException {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int verb = path.lastIndexOf('/');
        if (path.startsWith(DRAINS + "/") && desk.drains() != null) {
            return remove(method, path.substring(DRAINS.length() + 1), later);
        }
        if (path.startsWith(NODES) && verb > NODES.length()) {
            String node = decoded(path.substring(NODES.length(), verb));
            return node.contains("/")
                    ? UNKNOWN_PATH
                    : switch (path.substring(verb + 1)) {
                        case "disable" ->
                                method.equals("POST")
                                        ? Answer.done(desk.disable(node))
                                        : wrong("POST");
                        case "enable" ->
                                method.equals("POST")
                                        ? Answer.done(desk.enable(node))
                                        : wrong("POST");
                        default -> UNKNOWN_PATH;
                    };
        }
        String allowed =
                switch (path) {
                    case "/-/ready", "/-/metrics" -> "GET";
                    case "/-/drain", "/-/resume" -> "POST";
                    case "/-/table" -> desk.table() == null ? null : "GET";
                    case "/-/group" -> desk.table() == null ? null : "POST";
                    case DRAINS -> desk.drains() == null ? null : "GET";
                    default -> null;
                };
        if (allowed == null) {
            return UNKNOWN_PATH;
        }
        if (!method.equals(allowed)) {
            return wrong(allowed);
        }
        return switch (path) {
            case "/-/ready" ->
                    desk.ready() ? Answer.text(200, "ready") : Answer.text(503, "not ready");
            case "/-/metrics" -> new Answer(200, "application/json", desk.figures(), null);
            case "/-/drain" -> Answer.done(desk.drain());
            case "/-/table" -> new Answer(200, "application/json", desk.table(), null);
            case "/-/group" -> Answer.done(desk.group());
            case DRAINS -> new Answer(200, "application/json", desk.drains(), null);
            default -> Answer.done(desk.resume());
        };
    }

    /** A call such as {@code zone/a/begin}. */
    private Answer remove(String method, String call, Consumer<Answer> later)
            throws MalformedMessageException {
        String[] parts = call.split("/", -1);
        AdminOperations.Which which =
                parts.length == 3
                        ? switch (parts[0]) {
                            case "node" -> AdminOperations.Which.NODE;
                            case "zone" -> AdminOperations.Which.ZONE;
                            case "pod" -> AdminOperations.Which.POD;
                            case "kind" -> AdminOperations.Which.KIND;
                            default -> null;
                        }
                        : null;
        if (which == null
                || parts[1].isEmpty()
                || !parts[2].equals("begin") && !parts[2].equals("cancel")) {
            return UNKNOWN_PATH;
        }
        if (!method.equals("POST")) {
            return wrong("POST");
        }
        desk.remove(
                which,
                decoded(parts[1]),
                parts[2].equals("cancel"),
                done ->
                        later.accept(
                                switch (done) {
                                    case YES -> Answer.text(200, "done");
                                    case UNKNOWN ->
                                            Answer.text(404, "no node that is listed is meant");
                                    case NO ->
                                            Answer.text(
                                                    503,
                                                    "not known to be agreed on; to repeat it does"
                                                            + " no harm");
                                }));
        return null;
    }

    private static Answer wrong(String allowed) {
        return new Answer(
                405, "text/plain", "wrong method\n".getBytes(StandardCharsets.UTF_8), allowed);
    }

    /** Decodes what is percent-encoded, once. */
    private static String decoded(String segment) throws MalformedMessageException {
        try {
            // A plus sign is one: the decoder is for forms, where it stands for a blank.
            return URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    MalformedMessageException.BAD_REQUEST, "bad percent-encoding");
        }
    }

    /**
     * This avoids clients who say nothing, or half a call, shutting out those who say all of it.
     */
    private void makeRoom() {
        Call min = null;
        for (Call call : calls) {
            min = min == null || call.said < min.said ? call : min;
        }
        if (min != null) {
            // Not once it has closed, which is later: this avoids the same one making room for
            // many.
            calls.remove(min);
            min.channel.close();
        }
    }

    /** One connection, with one call. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final DuplexChannel channel;
        private final HttpDecoder decoder = HttpDecoder.ofRequests(MAX_HEAD, MAX_BODY);
        private long said;
        private boolean answered;
        private boolean waits;
        private TimerService.Timer patience;

        Call(DuplexChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (calls.size() >= MAX_CALLS) {
                makeRoom();
            }
            calls.add(this);
            closeIn(PATIENCE);
        }

        /** Closes it then, if it is still there. */
        private void closeIn(long nanos) {
            stopWaiting();
            patience = loop.at(loop.now() + nanos, channel::close);
        }

        /**
         * This avoids memory that grows with the rate of calls, as long as their time is not over.
         */
        private void stopWaiting() {
            if (patience != null) {
                patience.cancel();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
            said += in.readableBytes();
            if (answered || waits) {
                return; // what comes behind a call is read, since closing with bytes unread loses
                // the answer
            }
            try {
                HttpMessage call = decoder.decode(in);
                if (call != null) {
                    Answer answer =
                            route(call.head().method(), call.head().target(), this::answerLater);
                    if (answer != null) {
                        answer(answer);
                    } else if (!answered) {
                        closeIn(PATIENCE); // for those who have to agree on it
                        waits = true;
                    }
                } else if (decoder.awaitsContinue()) {
                    channel.writeAndFlush(HttpEncoder.goOn(loop.buffers()));
                }
            } catch (MalformedMessageException e) {
                answer(Answer.text(e.status(), e.getMessage()));
            }
        }

        private void answerLater(Answer answer) {
            if (!answered && channel.isOpen()) {
                answer(answer);
            }
        }

        private void answer(Answer answer) {
            answered = true;
            said = Long.MAX_VALUE; // it goes last where room is needed
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
                                    closeIn(LAST_WORD);
                                }
                            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            calls.remove(this);
            stopWaiting();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                loop.log()
                        .fault("admin.failed", cause)
                        .with("caller", channel.remoteAddress())
                        .write();
            }
            context.close();
        }
    }
}
