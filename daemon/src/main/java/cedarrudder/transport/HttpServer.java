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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/**
 * The server side of the proxy: accepts client connections, whose requests {@link ClientConnection}
 * decodes and answers.
 *
 * <p>All methods are called on the event loop, except {@link #listen} and {@link
 * #maxShutdownNanos}.
 */
public final class HttpServer {

    /** The socket option that lets several processes of one proxy listen at the same address. */
    static final ChannelOption<Boolean> REUSE_PORT =
            NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private static final int BACKLOG = 1024;

    /** The interval between two sweeps over the connections. */
    private static final long SWEEP_NANOS = 100_000_000L;

    /**
     * The maximum number of bytes of one read from a client. With {@link #READS_PER_TURN} it limits
     * what is read from one client per turn of the event loop, so that a client that sends at full
     * speed uses little of each turn.
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
    private boolean warnedOfUnreportedDisconnects;

    /**
     * Creates a server that does not listen yet.
     *
     * @param ready returns whether the proxy can serve, as reported by its health check
     * @param maxClients the maximum number of connections
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
                        context, maxClients, accepting -> listening.setAccepting(accepting));
        shutdown.attach(connections);
    }

    /** Returns the number of client connections. */
    public int clients() {
        return connections.size();
    }

    /**
     * Sets the limits that apply from now on. Open connections keep their limits on bytes. If there
     * are more clients than the new maximum, connections without an open request are closed.
     */
    public void apply(ClientLimits limits, int maxClients) {
        context.setLimits(limits);
        connections.setMax(maxClients);
    }

    /**
     * Sets a predicate that may answer a request itself; if it returns false, the request goes to
     * the forwarder.
     */
    public void setInterceptor(
            BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>>
                    interceptor) {
        context.setInterceptor(interceptor);
    }

    /**
     * Listens at an address, in place of the previous one, and blocks until the socket is bound.
     * Not called on the event loop.
     *
     * @param shared whether another process of this proxy may listen there too
     * @return the address that is bound, with the actual port if none was given
     * @throws IOException if it can't listen there
     */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared)
            throws IOException, InterruptedException {
        return ListenRetry.listen(() -> listenOnce(address, shared));
    }

    private InetSocketAddress listenOnce(InetSocketAddress address, boolean shared)
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
                        new ChannelInitializer<ClientSocket>() {
                            @Override
                            protected void initChannel(ClientSocket channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ClientConnection(
                                                        context, connections, shutdown, channel));
                            }
                        });
    }

    /**
     * Replaces the listening socket. Runs on the event loop before the first client is accepted, so
     * that neither a client nor the shutdown uses the previous socket, or none.
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

    /** Logs once that ends of streams are known by reading alone, so that more is refused. */
    private void warnIfDisconnectsAreUnreported() {
        if (!SocketPolling.isAvailable() && !warnedOfUnreportedDisconnects) {
            warnedOfUnreportedDisconnects = true;
            loop.log().warn("client.disconnects_unreported").write();
        }
    }

    private void sweep() {
        long now = loop.now();
        warnIfDisconnectsAreUnreported();
        // first, so that an exception below does not end the sweeps
        loop.at(now + SWEEP_NANOS, this::sweep);
        connections.sweep(now);
        shutdown.sweep(now);
    }

    /**
     * Starts to drain the proxy on an operator's request: clients are disconnected one by one. Has
     * no effect if the proxy is drained already.
     */
    public void drainByOperator() {
        shutdown.drainByOperator();
    }

    /** Ends the drain on an operator's request: clients may connect again. */
    public void resumeByOperator() {
        shutdown.resumeByOperator();
    }

    /** Returns whether operators have drained the proxy. */
    public boolean isDrained() {
        return shutdown.isDrained();
    }

    /** Returns whether no signal to end has been received. */
    public boolean isServing() {
        return shutdown.isServing();
    }

    /** Returns whether a streamed body or a response is being transferred, which may take long. */
    public boolean isTransferring() {
        return connections.snapshot().stream().anyMatch(ClientConnection::isTransferring);
    }

    /**
     * Returns the time, in nanoseconds, after which a shutdown during which nothing is transferred
     * is considered stuck. May be called from any thread.
     */
    public long maxShutdownNanos() {
        return shutdown.maxShutdownNanos();
    }

    /** Shuts the server down; {@code whenDone} runs once no connection is left. */
    public void shutDown(Runnable whenDone) {
        shutdown.shutDown(whenDone);
    }

    /**
     * Shuts the server down while a successor listens at the same address; {@code whenDone} runs
     * once no connection is left.
     */
    public void handOver(Runnable whenDone) {
        shutdown.handOver(whenDone);
    }
}
