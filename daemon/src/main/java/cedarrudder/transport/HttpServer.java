package cedarrudder.transport;

import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.RequestHeaders;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/**
 * The server side: accepts clients, whose requests {@link ClientConnection} decodes and answers.
 *
 * <p>All but {@link #listen} and {@link #maxShutdownNanos} is called on the event loop.
 */
public final class HttpServer {

    /** Lets several processes of one proxy listen at the same address. */
    static final ChannelOption<Boolean> REUSE_PORT =
            NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private static final int BACKLOG = 1024;

    /** How often connections are looked over. */
    private static final long SWEEP_NANOS = 100_000_000L;

    /**
     * Bytes read from one client before it is another's turn, in this many reads, so that a client
     * that sends at full speed takes little of each turn of the loop.
     */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int READS_PER_TURN = 2;
    private static final int FIRST_READ_BYTES = 1024;
    private static final int ACCEPTS_PER_TURN = 8;

    private final ProxyEventLoop loop;
    private final ServerContext context;
    private final ClientConnections connections;
    private final GracefulShutdown shutdown;
    private HandoverSocket listening;

    /**
     * A server that does not listen yet.
     *
     * @param ready whether the proxy can serve, as its health check says
     * @param maxClients how many connections there may be
     * @param buffers the account of all buffered bytes
     */
    public HttpServer(
            ProxyEventLoop loop,
            RequestForwarder<HttpMessage, HttpMessage> forwarder,
            RequestHeaders headers,
            BooleanSupplier ready,
            ClientLimits limits,
            int maxClients,
            BufferAccount buffers) {
        this.loop = loop;
        this.context = new ServerContext(loop, forwarder, headers, ready, limits, buffers);
        this.shutdown = new GracefulShutdown(context, SWEEP_NANOS);
        this.connections =
                new ClientConnections(
                        context,
                        maxClients,
                        accepting -> listening.config().setAutoRead(accepting));
        shutdown.attach(connections);
    }

    /** How many clients are connected. */
    public int clients() {
        return connections.size();
    }

    /**
     * From now on these limits count; connections that are open keep their bounds on bytes. Where
     * fewer clients may be there than are, those that wait for nothing are closed.
     */
    public void apply(ClientLimits limits, int maxClients) {
        context.setLimits(limits);
        connections.setMax(maxClients);
    }

    /** Lets someone else answer requests, which the forwarder takes where this says false. */
    public void setInterceptor(
            BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>>
                    interceptor) {
        context.setInterceptor(interceptor);
    }

    /**
     * Begins to listen at an address, in place of the one before; blocks until it does. Not on the
     * loop.
     *
     * @param shared whether another process of this proxy may listen there too
     * @return where it listens: what was asked for, with a port where that left it open
     * @throws IOException where it can't listen there
     */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared)
            throws IOException, InterruptedException {
        ServerBootstrap bootstrap = bootstrap(shared);
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        loop.run(
                () ->
                        bootstrap
                                .bind(address)
                                .addListener((ChannelFuture done) -> onBound(done, bound)));
        try {
            return bound.get();
        } catch (ExecutionException e) {
            throw new IOException(
                    "can't listen on " + address + ": " + e.getCause().getMessage(), e);
        }
    }

    private ServerBootstrap bootstrap(boolean shared) {
        return new ServerBootstrap()
                .group(loop.group())
                .channelFactory(() -> new HandoverSocket(loop))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(REUSE_PORT, shared)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_PER_TURN))
                .childOption(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                        FIRST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(READS_PER_TURN))
                .childOption(ChannelOption.ALLOCATOR, loop.buffers())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BodyWriter.WRITE_AHEAD)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<NioSocketChannel>() {
                            @Override
                            protected void initChannel(NioSocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ClientConnection(
                                                        context, connections, shutdown, channel));
                            }
                        });
    }

    /**
     * On the loop, before the first client comes: neither a client nor the shutdown may find the
     * former socket, or none.
     */
    private void onBound(ChannelFuture bound, CompletableFuture<InetSocketAddress> result) {
        if (!bound.isSuccess()) {
            result.completeExceptionally(bound.cause());
            return;
        }
        HandoverSocket former = listening;
        listening = (HandoverSocket) bound.channel();
        shutdown.setListening(listening);
        if (former != null) {
            former.close();
        } else {
            sweep();
        }
        result.complete(listening.localAddress());
    }

    private void sweep() {
        long now = loop.now();
        loop.at(now + SWEEP_NANOS, this::sweep); // first, so that a fault below does not end it
        connections.sweep(now);
        shutdown.sweep(now);
    }

    /** Operators send clients away; without effect where they do already. */
    public void drainByOperator() {
        shutdown.drainByOperator();
    }

    /** Operators let clients come again. */
    public void resumeByOperator() {
        shutdown.resumeByOperator();
    }

    /** Whether operators send clients away. */
    public boolean isDrained() {
        return shutdown.isDrained();
    }

    /** Whether this process goes on, for all that signals have said. */
    public boolean isServing() {
        return shutdown.isServing();
    }

    /** Whether a body is streamed, which has no bound in time. */
    public boolean isStreaming() {
        return connections.copy().stream().anyMatch(ClientConnection::isStreaming);
    }

    /**
     * After this long, in nanoseconds, a shutdown over which nothing is streamed is stuck; from any
     * thread.
     */
    public long maxShutdownNanos() {
        return shutdown.maxShutdownNanos();
    }

    /** Ends the service; {@code whenDone} runs once no connection is left. */
    public void shutDown(Runnable whenDone) {
        shutdown.shutDown(whenDone);
    }

    /**
     * Ends the service where a successor listens at the same address; {@code whenDone} runs once no
     * connection is left.
     */
    public void handOver(Runnable whenDone) {
        shutdown.handOver(whenDone);
    }
}
