package cedarrudder.transport;

import cedarrudder.protocol.BadMessageException;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.Message;
import cedarrudder.protocol.RpcFields;
import cedarrudder.routing.Driver;
import cedarrudder.routing.Exchange;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** The server side: accepts callers, decodes their RPCs and answers them. */
public final class Listener {

    private static final String HEALTH = "/_health";

    /** After SIGTERM connections still come for up to 0.4 s; they are taken for this long. */
    private static final long LINGER = 600_000_000L;

    /** A request that has begun to come must be whole within this time. */
    private static final long REQUEST_PATIENCE = 10_000_000_000L;

    /** How long a caller that sent nonsense may go on sending before it must have read our answer. */
    private static final long LAST_WORD = 1_000_000_000L;

    /** Bytes of further requests that are kept while one is being answered. */
    private static final int MOST_AHEAD = HttpDecoder.MOST_BODY + HttpDecoder.MOST_HEAD;

    private final Loop loop;
    private final Driver<Message, Message> driver;
    private final RpcFields fields;
    private final BooleanSupplier ready;
    private final int mostCallers;
    private final Set<Caller> callers = new HashSet<>();
    private final Set<Caller> idle = new LinkedHashSet<>();
    private Channel listening;
    private long lastId;
    private Runnable whenEmpty;
    private BiPredicate<Exchange<Message, Message>, Exchange.Reply<Message>> aside = (rpc, reply) -> false;

    public Listener(Loop loop, Driver<Message, Message> driver, RpcFields fields, BooleanSupplier ready,
            int mostCallers) {
        this.loop = loop;
        this.driver = driver;
        this.fields = fields;
        this.ready = ready;
        this.mostCallers = mostCallers;
    }

    /** Lets someone else answer RPCs before the driver takes them, which it does where this says false. */
    public void setAside(BiPredicate<Exchange<Message, Message>, Exchange.Reply<Message>> answers) {
        aside = answers;
    }

    /** Begins to listen; blocks until it does. */
    public void listen(InetSocketAddress address) throws IOException, InterruptedException {
        var bound = new ServerBootstrap().group(loop.group()).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.ALLOCATOR, loop.buffers())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new Caller(channel));
                    }
                }).bind(address).await();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
        listening = bound.channel();
    }

    /**
     * Ends the service: connections still come for a while, all that is taken is answered, and
     * {@code whenDone} runs once no connection is left.
     */
    public void drain(Runnable whenDone) {
        if (whenEmpty != null) {
            return;
        }
        whenEmpty = whenDone;
        for (Caller caller : List.copyOf(idle)) {
            caller.channel.close();
        }
        loop.at(loop.now() + LINGER, () -> listening.close().addListener(closed -> {
            for (Caller caller : List.copyOf(idle)) {
                caller.channel.close();
            }
            endIfEmpty();
        }));
    }

    private void endIfEmpty() {
        if (whenEmpty != null && callers.isEmpty() && !listening.isOpen()) {
            whenEmpty.run();
        }
    }

    /** One connection from a caller, on which one RPC is answered at a time. */
    private final class Caller extends ChannelInboundHandlerAdapter implements Exchange.Reply<Message> {
        private final DuplexChannel channel;
        private final HttpDecoder decoder = HttpDecoder.ofRequests();
        private ByteBuf ahead;
        private Exchange<Message, Message> exchange;
        private boolean keepAlive;
        private boolean decoding;
        private boolean closing;
        private long requestNumber;
        private boolean timed;

        Caller(DuplexChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            callers.add(this);
            idle.add(this);
            if (callers.size() > mostCallers && idle.size() > 1) {
                // Guards against running out of descriptors: a connection between requests may be closed.
                idle.iterator().next().channel.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            if (closing) {
                in.release();
                return;
            }
            ahead = ahead == null ? in : append(in);
            decode();
            if (ahead != null && ahead.readableBytes() > MOST_AHEAD) {
                channel.close();
            }
        }

        private ByteBuf append(ByteBuf in) {
            ByteBuf joined = loop.buffers().buffer(ahead.readableBytes() + in.readableBytes());
            joined.writeBytes(ahead).writeBytes(in);
            ahead.release();
            in.release();
            return joined;
        }

        /** Decodes what has come, up to the end of a request; the next waits until that one is answered. */
        private void decode() {
            if (decoding) {
                return;
            }
            decoding = true;
            try {
                while (ahead != null && exchange == null && !closing && ahead.isReadable()) {
                    idle.remove(this);
                    Message request = decoder.decode(ahead);
                    if (request != null) {
                        requestNumber++;
                        take(request);
                    }
                }
            } catch (BadMessageException e) {
                loop.log().warn("caller " + channel.remoteAddress() + ": " + e.getMessage());
                reject(e);
            } finally {
                decoding = false;
            }
            if (ahead != null && !ahead.isReadable()) {
                ahead.release();
                ahead = null;
            }
            if (exchange == null && !closing) {
                if (decoder.between()) {
                    idle.add(this);
                } else if (!timed) {
                    timed = true;
                    long number = requestNumber;
                    loop.at(loop.now() + REQUEST_PATIENCE, () -> expire(number));
                }
            }
        }

        /** Guards against a request that never becomes whole holding its connection for good. */
        private void expire(long number) {
            timed = false;
            if (number == requestNumber && exchange == null) {
                channel.close();
            }
        }

        private void take(Message request) throws BadMessageException {
            keepAlive = request.head().keepsAlive();
            String target = request.head().target();
            if (target.equals(HEALTH)) {
                boolean healthy = ready.getAsBoolean() && whenEmpty == null;
                write(HttpEncoder.answer(loop.buffers(), healthy ? 200 : 503, healthy ? "ready" : "not ready",
                        0, closes()));
                return;
            }
            long id = ++lastId;
            var told = fields.read(request.head(), id, loop.now(), loop.lateness());
            exchange = new Exchange<>(told, request, this);
            if (!aside.test(exchange, this)) {
                driver.accept(exchange);
            }
        }

        private boolean closes() {
            return !keepAlive || whenEmpty != null;
        }

        @Override
        public void served(Message answer) {
            reply(HttpEncoder.served(loop.buffers(), answer, closes()));
        }

        @Override
        public void refused(long retryAfter) {
            reply(HttpEncoder.answer(loop.buffers(), 503, "unavailable", retryAfter, closes()));
        }

        @Override
        public void failed() {
            reply(HttpEncoder.answer(loop.buffers(), 502, "failed", 0, closes()));
        }

        private void reply(ByteBuf answer) {
            exchange = null;
            write(answer);
            decode();
        }

        private void write(ByteBuf answer) {
            if (closes()) {
                closing = true;
                channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
            } else {
                channel.writeAndFlush(answer);
            }
        }

        /**
         * Answers a request that can't be read, and closes. Guards against the answer being lost: closing
         * with bytes unread resets the connection, so the caller may first finish sending.
         */
        private void reject(BadMessageException e) {
            closing = true;
            channel.writeAndFlush(HttpEncoder.answer(loop.buffers(), e.status(), e.getMessage(), 0, true))
                    .addListener(wrote -> channel.shutdownOutput());
            loop.at(loop.now() + LAST_WORD, channel::close);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            callers.remove(this);
            idle.remove(this);
            if (ahead != null) {
                ahead.release();
                ahead = null;
            }
            closing = true;
            if (exchange != null) {
                Exchange<Message, Message> left = exchange;
                exchange = null;
                driver.left(left);
            }
            endIfEmpty();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                loop.log().fault("caller " + channel.remoteAddress(), cause);
            }
            context.close();
        }
    }
}
