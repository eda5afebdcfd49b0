package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.HopPath;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MessageHead;
import cedarrudder.protocol.RequestHeaders;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** The server side: accepts callers, decodes their RPCs and answers them. */
public final class HttpServer {

    static final ChannelOption<Boolean> REUSE_PORT =
            NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

    private static final String HEALTH = "/_health";

    /**
     * After SIGTERM connections still come for up to 0.4 s; they are let in for this long at the
     * least.
     */
    private static final long LET_IN = 600_000_000L;

    /**
     * SIGKILL follows SIGTERM no sooner than the longest wait (3 s where it is longer) and 0.7 s.
     * What is taken after SIGTERM is answered a little before that.
     */
    private static final long LONGEST_COUNTED = 3_000_000_000L;

    private static final long KILLED_AFTER = 500_000_000L;

    /**
     * An end that is not over so long after its last answers were due can't be carried out. Longer
     * than any loop is late: guards against a process that ends over answers it is about to give.
     */
    private static final long STUCK = 3_000_000_000L;

    /** Nothing new is taken for so long before; most RPCs need less. */
    private static final long WIND_UP = 400_000_000L;

    /**
     * Cut off so long before, what is left of the service is closed: half written answers, late
     * ends.
     */
    private static final long LAST_CALL = 100_000_000L;

    /**
     * The lingering close (RFC 9112 9.6): for how long, in nanoseconds, what a caller still sends
     * is read and dropped behind the end of our output, until it has been quiet for so long, and so
     * long in all; and how many bytes of it. Guards against the last answer being lost, since
     * closing with bytes unread resets a connection, and against callers that send on without end.
     */
    private static final long LAST_WORD = 1_000_000_000L;

    private static final long LAST_WORDS = 5_000_000_000L;
    private static final long MAX_DROPPED = HttpDecoder.MAX_FLOW;

    /**
     * Bytes of a caller behind its open RPC that are read and kept, charged to the account of
     * bodies; what one turn of the loop reads may come on top. Guards against a caller that has
     * gone and is not seen to, since its end stands behind what it sent: its RPC would still be
     * sent on. Beyond it, or with the account used up, reading stops: whoever sends so much ahead
     * is made to wait, its end is then seen no sooner than its answer is out, and no attempt of its
     * RPC begins after {@link #UNSEEN}.
     */
    private static final int READ_AHEAD = 32 * 1024;

    /**
     * Once what a caller sends has not been read for so long, in nanoseconds, for want of room, it
     * may have gone unseen. Half of what an attempt may begin late behind its caller's end: the end
     * may have stood there before reading stopped, for as long as a loop is late.
     */
    private static final long UNSEEN = 50_000_000L;

    /**
     * Bytes that are read within so long, in nanoseconds, count as read with the first of them; and
     * beyond so many such arrivals that wait all do. Guards against memory that a caller takes up
     * by single bytes.
     */
    private static final long ARRIVAL = 10_000_000L;

    private static final int MAX_ARRIVALS = 64;

    /**
     * One look at a socket reads so often at the most. Guards against one that is sent to at full
     * speed.
     */
    private static final int LOOKS = 8;

    /**
     * Requests of one connection that are still answered where its last answer was due, since they
     * stood right behind it. Guards against a caller that sends ahead without end and never lets
     * go.
     */
    private static final int MAX_BEHIND = 64;

    /**
     * How clients are sent away when operators drain the proxy, counted from then: the front still
     * brings new ones until the first, and no connection is left idle from the second on.
     */
    private static final long AWAY_FROM = 500_000_000L;

    private static final long AWAY_BY = 1_800_000_000L;

    /** The same, after SIGTERM, where a successor listens at the address. */
    private static final long OVER_FROM = 300_000_000L;

    private static final long OVER_BY = 1_500_000_000L;

    /** How often connections are looked over. */
    private static final long SWEEP = 100_000_000L;

    /**
     * Bytes taken from one caller before it is another's turn, in so many reads. Guards against
     * callers that send at full speed without end: each turn of the loop reads little of theirs.
     */
    private static final int MAX_READ = 16 * 1024;

    private static final int READS = 2;
    private static final int FIRST_READ = 1024;
    private static final int ACCEPTS = 8;

    /** A caller that sends nothing more of a body for so long, though it could, has given it up. */
    private static final long UPLOAD_SILENCE = 5_000_000_000L;

    /** A body that flows may take so long: 32 MB at 64 kB a second take 500 s. */
    private static final long MAX_UPLOAD = 600_000_000_000L;

    /**
     * The bytes of a request that is sent in one piece come sooner, even to a loop that runs late.
     */
    private static final long HALF_LONG = 100_000_000L;

    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> driver;
    private final RequestHeaders fields;
    private final BooleanSupplier ready;
    private ClientLimits limits;
    private int maxCallers;
    private final Set<ClientConnection> callers = new HashSet<>();

    /**
     * The callers that may be closed to make room, by why they may; those longest so come first.
     */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> half = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** The ids of the RPCs that are open. */
    private final Set<String> open = new HashSet<>();

    private HandoverSocket listening;
    private boolean full;
    private long lastId;
    private Runnable whenEmpty;
    private boolean lettingIn;
    private boolean stopping;
    private ServiceState service = ServiceState.FIRST;
    private long drainedAt;
    private long replacedAt;
    private long answerBy = Long.MAX_VALUE;
    private BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>> aside =
            (request, reply) -> false;
    private final BufferAccount held;

    public HttpServer(
            ProxyEventLoop loop,
            RequestForwarder<HttpMessage, HttpMessage> driver,
            RequestHeaders fields,
            BooleanSupplier ready,
            ClientLimits limits,
            int maxCallers,
            BufferAccount held) {
        this.held = held;
        this.loop = loop;
        this.driver = driver;
        this.fields = fields;
        this.ready = ready;
        this.limits = limits;
        this.maxCallers = maxCallers;
    }

    /** How many callers are connected. */
    public int callers() {
        return callers.size();
    }

    /**
     * From now on these limits count; connections that are open keep their bounds on bytes. Where
     * fewer callers may be there than are, those that wait for nothing are closed.
     */
    public void apply(ClientLimits next, int max) {
        limits = next;
        maxCallers = max;
        for (int over = callers.size() - maxCallers; !full && over > 0; over--) {
            makeRoom();
        }
        takeMore();
    }

    /**
     * Lets someone else answer RPCs before the driver takes them, which it does where this says
     * false.
     */
    public void setAside(
            BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>> answers) {
        aside = answers;
    }

    /**
     * Begins to listen at an address, in place of the one before; blocks until it does.
     *
     * @param shared whether another process of this proxy may listen there too
     * @return where it listens: what was asked for, with a port where that left it open
     */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared)
            throws IOException, InterruptedException {
        ServerBootstrap doors =
                new ServerBootstrap()
                        .group(loop.group())
                        .channelFactory(() -> new HandoverSocket(loop))
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(REUSE_PORT, shared)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS))
                        .childOption(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(FIRST_READ, FIRST_READ, MAX_READ)
                                        .maxMessagesPerRead(READS))
                        .childOption(ChannelOption.ALLOCATOR, loop.buffers())
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, BodyWriter.WRITE_AHEAD)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<NioSocketChannel>() {
                                    @Override
                                    protected void initChannel(NioSocketChannel channel) {
                                        channel.pipeline().addLast(new ClientConnection(channel));
                                    }
                                });
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        loop.run(
                () -> doors.bind(address).addListener((ChannelFuture done) -> opened(done, bound)));
        try {
            return bound.get();
        } catch (ExecutionException e) {
            throw new IOException("can't listen on " + address + ": " + e.getCause().getMessage());
        }
    }

    /**
     * On the loop, before the first caller comes. Guards against callers, or the end of the
     * service, that find no door, or the one before, until another thread has gone on.
     */
    private void opened(ChannelFuture bound, CompletableFuture<InetSocketAddress> told) {
        if (!bound.isSuccess()) {
            told.completeExceptionally(bound.cause());
            return;
        }
        HandoverSocket before = listening;
        listening = (HandoverSocket) bound.channel();
        if (before != null) {
            before.close();
        } else {
            sweep();
        }
        told.complete(listening.localAddress());
    }

    private void sweep() {
        long now = loop.now();
        loop.at(now + SWEEP, this::sweep); // first: guards against a fault below ending it for good
        for (ClientConnection caller : List.copyOf(callers)) {
            if (now >= caller.due) {
                caller.expire();
            }
        }
        for (int over = callers.size() - maxCallers; full && over > 0; over--) {
            makeRoom();
        }
        takeMore();
        if (stopping) {
            closeIdle();
        } else if (sendingAway()) {
            sendAway(now, replacedAt == 0 ? drainedAt + AWAY_BY : replacedAt + OVER_BY);
        }
    }

    /** Operators send clients away; on the loop. Without effect where they do already. */
    public void drainByHand() {
        if (!service.drained()) {
            service = service.on(ServiceState.Event.DRAIN);
            drainedAt = loop.now();
            loop.log().info("proxy.drained").write();
        }
    }

    /** Operators let clients come again; on the loop. */
    public void resume() {
        if (service.drained()) {
            service = service.on(ServiceState.Event.RESUME);
            loop.log().info("proxy.resumed").write();
        }
    }

    /** Whether operators send clients away. */
    public boolean drained() {
        return service.drained();
    }

    /** Whether this process goes on, for all that signals have said. */
    public boolean lasts() {
        return service.lasts();
    }

    /** Whether a body flows, which has no bound in time; on the loop. */
    public boolean flows() {
        return callers.stream()
                .anyMatch(caller -> caller.upload != null || caller.download != null);
    }

    /** After so long, in nanoseconds, an end over which nothing flows is stuck; from any thread. */
    public long maxEnding() {
        return Math.min(LONGEST_COUNTED, fields.longestWait()) + KILLED_AFTER + STUCK;
    }

    private boolean sendingAway() {
        long now = loop.now();
        return service.drained() && now - drainedAt >= AWAY_FROM
                || replacedAt != 0 && now - replacedAt >= OVER_FROM;
    }

    /**
     * Closes a part of the connections on which nothing is open, those first that have been idle
     * longest, so that they go evenly and none is left at the end. Guards against clients coming
     * all at once to whoever serves them next.
     */
    private void sendAway(long now, long end) {
        long left = Math.max(1, (end - now) / SWEEP);
        long max = (idle.size() + silent.size() + left - 1) / left;
        for (Set<ClientConnection> from : List.of(idle, silent)) {
            for (ClientConnection caller : List.copyOf(from)) {
                if (max-- > 0 && caller.mayGo(now)) {
                    caller.closeIfQuiet();
                }
            }
        }
    }

    /**
     * Guards against running out of descriptors: beyond the bound each new connection costs one
     * that may be closed, those first that have their last answer, then those that have long said
     * nothing or half a request, then idle ones, then half a request that does not seem to be on
     * its way, then the silent one that has been there longest. Where there is none, new ones wait
     * to be accepted.
     *
     * <p>A connection that has just come goes last. Guards against closing callers whose first
     * request is on its way, which then fails, where a caller between requests would only have to
     * connect again. What has come on one that is to go is read first: a request that it brings is
     * taken, and another one goes, also where it is answered at once and the connection rests
     * again.
     */
    private void makeRoom() {
        ClientConnection first = firstToGo();
        for (int looks = callers.size(); first != null && looks > 0; looks--) {
            ClientConnectionState was = first.state;
            long before = first.came;
            first.look();
            if (first.state == was && (first.came == before || !was.rests())) {
                loop.log()
                        .debug("caller.closed_for_room")
                        .with("caller", first.channel.remoteAddress())
                        .with("callers", callers.size())
                        .write();
                first.close();
                return;
            }
            first = firstToGo();
        }
        full = true;
        listening.config().setAutoRead(false);
    }

    private ClientConnection firstToGo() {
        ClientConnection first = first(lingering, 0);
        first = first != null ? first : first(silent, limits.silentLong());
        first = first != null ? first : first(half, limits.silentLong());
        first = first != null ? first : first(idle, 0);
        first = first != null ? first : first(half, HALF_LONG);
        return first != null || silent.size() <= 1 ? first : first(silent, 0);
    }

    /** The callers of this state that may be closed to make room; null where it may not be. */
    private Set<ClientConnection> closable(ClientConnectionState state) {
        return switch (state) {
            case NEW -> silent;
            case IDLE -> idle;
            case READING_HEAD, READING_BODY -> half;
            case LINGERING -> lingering;
            case OPEN, ANSWERING, DRAINING, CLOSED -> null;
        };
    }

    /**
     * The one of these that has been among them longest, and for so long; null where there is none.
     */
    private ClientConnection first(Set<ClientConnection> among, long waited) {
        ClientConnection first = among.isEmpty() ? null : among.iterator().next();
        return first == null || first.since + waited > loop.now() ? null : first;
    }

    private void takeMore() {
        if (full && callers.size() <= maxCallers) {
            full = false;
            listening.config().setAutoRead(true);
        }
    }

    /**
     * Ends the service: for a while callers are served on, all that is taken is answered, and
     * {@code whenDone} runs once no connection is left.
     *
     * <p>Guards against leaving callers alone for longer than must be: they use the connections
     * they have as long as these stay open, and where this proxy is the only one they find no other
     * until it is back. On a day with one restart all RPCs of 3 s failed while idle connections
     * were closed at SIGTERM.
     */
    public void drain(Runnable whenDone) {
        if (whenEmpty != null) {
            return;
        }
        whenEmpty = whenDone;
        service = service.on(ServiceState.Event.END);
        lettingIn = true;
        long now = loop.now();
        answerBy = now + Math.min(LONGEST_COUNTED, fields.longestWait()) + KILLED_AFTER;
        loop.at(
                now + LET_IN,
                () -> {
                    lettingIn = false;
                    endIfEmpty();
                });
        loop.at(Math.max(now + LET_IN, answerBy - WIND_UP), this::stop);
        loop.at(answerBy, this::cutOff);
    }

    /**
     * Ends the service where a successor listens at the same address: who waits at the door is
     * taken, then it is closed, and callers go over to the successor one by one. {@code whenDone}
     * runs once no connection is left.
     */
    public void replace(Runnable whenDone) {
        if (whenEmpty != null) {
            return;
        }
        whenEmpty = whenDone;
        service = service.on(ServiceState.Event.REPLACE);
        replacedAt = loop.now();
        answerBy = replacedAt + Math.min(LONGEST_COUNTED, fields.longestWait()) + KILLED_AFTER;
        shutDoor();
        loop.at(answerBy - WIND_UP, this::stop);
        loop.at(answerBy, this::cutOff);
    }

    /**
     * From now on each answer is the last of its connection; those on which nothing is open are
     * closed.
     */
    private void stop() {
        stopping = true;
        shutDoor();
        closeIdle();
    }

    private void closeIdle() {
        long now = loop.now();
        for (Set<ClientConnection> from : List.of(silent, idle)) {
            for (ClientConnection caller : List.copyOf(from)) {
                if (caller.mayGo(now)) {
                    caller.closeIfQuiet();
                }
            }
        }
    }

    /**
     * What is open has had its time: all get an answer while this process can still give one. Half
     * a request is not waited for any more.
     */
    private void cutOff() {
        for (ClientConnection caller : List.copyOf(callers)) {
            caller.look();
            if (caller.exchange != null) {
                driver.cut(caller.exchange);
            } else if (caller.state.takesRequests()) {
                caller.giveUp();
            }
        }
        loop.at(loop.now() + LAST_CALL, this::closeAll);
    }

    /**
     * Nothing holds the end of the process any longer. Guards against callers that don't read their
     * answers, or don't hear the end of our output, being met by SIGKILL with all others.
     */
    private void closeAll() {
        loop.at(loop.now() + SWEEP, this::closeAll);
        for (ClientConnection caller : List.copyOf(callers)) {
            caller.breakOff();
        }
    }

    /** Takes who waits at the door and closes it; until that is done the service goes on. */
    private void shutDoor() {
        if (listening.isOpen() && !lettingIn) {
            lettingIn = true;
            listening.closeBehindLast(
                    () -> {
                        lettingIn = false;
                        endIfEmpty();
                    });
        }
    }

    private void endIfEmpty() {
        if (whenEmpty == null || lettingIn || !callers.isEmpty()) {
            return;
        }
        if (listening.isOpen()) {
            shutDoor(); // guards against resetting who waits there
        } else {
            whenEmpty.run();
        }
    }

    /**
     * Bytes of a caller's that were read together.
     *
     * @param upTo how many had come with them, of all on their connection
     * @param at when, by the loop's clock in nanoseconds
     */
    private record Arrival(long upTo, long at) {}

    /** One connection from a caller, on which one RPC is answered at a time. */
    final class ClientConnection extends ChannelInboundHandlerAdapter
            implements Exchange.Reply<HttpMessage> {
        private final NioSocketChannel channel;
        private final HttpDecoder decoder =
                HttpDecoder.ofFlows(true, limits.maxHead(), limits.maxBody(), BodyFlow.WINDOW);
        private ByteBuf ahead;
        private BodyFlow upload;
        private BodyWriter download;
        private boolean chunks;
        private int collected;
        private int whole;
        private Exchange<HttpMessage, HttpMessage> exchange;
        private String id;
        private boolean keepAlive;
        private boolean decoding;
        private int kept;

        /** Since when there may be bytes of its caller, or its end, that are not read. */
        private long unreadSince = Long.MAX_VALUE;

        private long came;
        private final Deque<Arrival> arrivals = new ArrayDeque<>(1);
        private long dropped;
        private int behind;
        private ClientConnectionState state = ClientConnectionState.NEW;
        private long since;
        private long due;
        private long lastDue;

        ClientConnection(NioSocketChannel channel) {
            this.channel = channel;
        }

        /**
         * The one place where its state changes. What can't come in a state ends this connection
         * alone.
         */
        void on(ClientConnectionState.Event event) {
            ClientConnectionState next = state.on(event);
            if (next == null) {
                loop.log()
                        .fault("caller.failed", new IllegalStateException(event + " in " + state))
                        .with("caller", channel.remoteAddress())
                        .write();
                breakOff();
                return;
            }
            long now = loop.now();
            Set<ClientConnection> from = closable(state);
            Set<ClientConnection> to = closable(next);
            if (from != to) {
                if (from != null) {
                    from.remove(this);
                }
                if (to != null) {
                    to.add(this);
                }
                since = now;
            }
            due = due(next, now);
            state = next;
        }

        /** When patience with it is over, once it comes to this state. */
        private long due(ClientConnectionState next, long now) {
            return switch (next) {
                // The first request's counts from the connection.
                case READING_HEAD ->
                        state == ClientConnectionState.NEW ? due : now + limits.requestPatience();
                // Guards against a body that comes slowly being cut by the patience with its head.
                case NEW, READING_BODY -> now + limits.requestPatience();
                case IDLE -> now + limits.idlePatience();
                case ANSWERING, DRAINING -> now + limits.answerPatience();
                case LINGERING -> now + LAST_WORD;
                case OPEN, CLOSED -> Long.MAX_VALUE;
            };
        }

        /**
         * Whether it may be closed as one on which nothing is open. Guards against closing a
         * connection that has just come, whose first request is on its way and would fail.
         */
        private boolean mayGo(long now) {
            return state != ClientConnectionState.NEW || now - since >= HALF_LONG;
        }

        private void close() {
            on(ClientConnectionState.Event.CLOSE);
            channel.close();
        }

        /**
         * The one orderly end of a connection, a lingering close: our output ends, and what still
         * comes is read and dropped until its caller ends it too, or for a while. Nothing that is
         * read from here on goes to a node: its caller has seen the end, and sends it again
         * elsewhere.
         */
        private void hangUp() {
            on(ClientConnectionState.Event.HALF_CLOSE);
            linger();
        }

        private void linger() {
            dropUpload();
            dropAhead();
            lastDue = since + LAST_WORDS;
            channel.shutdownOutput();
            channel.config().setAutoRead(true);
        }

        /**
         * Reads what has come on its socket by now. Guards against requests, and ends, that the
         * kernel has and the loop has not got round to.
         *
         * <p>It may run within a read of the same socket, as far down as in the decoder's own
         * hands: what it brings is put behind what is there, and whoever decodes goes on with it.
         */
        private void look() {
            for (int i = 0; i < LOOKS && channel.isOpen() && mayRead(); i++) {
                long before = came;
                channel.unsafe().read();
                if (came == before) {
                    unreadSince = Long.MAX_VALUE;
                    return;
                }
            }
            unreadSince = Math.min(unreadSince, loop.now());
        }

        /**
         * Whether it still waits for the answer to its open RPC, looked up now. Guards against an
         * attempt for a caller that has gone: on a late loop its end may stand unread for long.
         */
        @Override
        public boolean waits() {
            look();
            return exchange != null && channel.isOpen();
        }

        @Override
        public boolean seen() {
            return unreadSince == Long.MAX_VALUE || loop.now() - unreadSince < UNSEEN;
        }

        /**
         * Closes it, as one on which nothing is owed, unless a request has come, or a part of one,
         * which is taken instead, or by whoever is decoding. It is closed and not shut: guards
         * against a request that comes in this very moment being read and dropped. Unread, it goes
         * back to its caller as a reset, who sends it elsewhere.
         */
        void closeIfQuiet() {
            look();
            if (state.rests() && !holds()) {
                close();
            }
        }

        /**
         * Nothing is owed on it: as {@link #closeIfQuiet}, but for half a request, which is read.
         */
        private void giveUp() {
            if (state.rests()) {
                close();
            } else {
                hangUp();
            }
        }

        /** Whether bytes of its caller's have been read and wait to be decoded. */
        private boolean holds() {
            return ahead != null && ahead.isReadable();
        }

        /** Patience with it is over, unless what it waits for has come and not been read. */
        private void expire() {
            if (!state.ends()) {
                look();
            }
            if (download != null) {
                // Guards against a caller that reads all there is paying for a node that takes its
                // time.
                due = Math.max(due, download.waitsSince() + limits.answerPatience());
            }
            if (loop.now() < due) {
                return;
            }
            if (state.takesRequests()) {
                giveUp();
            } else {
                breakOff();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            callers.add(this);
            silent.add(this);
            since = loop.now();
            due = due(state, since);
            if (callers.size() > maxCallers) {
                makeRoom();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            arrive(in.readableBytes());
            if (in.isWritable()) {
                unreadSince = Long.MAX_VALUE; // there was no more of it
            }
            if (drops()) {
                drop(in);
                return;
            }
            if (ahead == null) {
                ahead = in;
            } else {
                append(in);
            }
            decode();
            readOn();
        }

        private void arrive(int bytes) {
            while (!arrivals.isEmpty() && arrivals.getFirst().upTo() <= decoded()) {
                arrivals.removeFirst();
            }
            came += bytes;
            Arrival last = arrivals.peekLast();
            boolean joins =
                    last != null
                            && (loop.now() - last.at() < ARRIVAL
                                    || arrivals.size() >= MAX_ARRIVALS);
            if (joins) {
                arrivals.removeLast();
            }
            arrivals.addLast(new Arrival(came, joins ? last.at() : loop.now()));
        }

        /** How many bytes of all that came do not wait to be decoded. */
        private long decoded() {
            return came - (ahead == null ? 0 : ahead.readableBytes());
        }

        /**
         * When the last byte that was decoded had been read, by the loop's clock in nanoseconds.
         * Guards against a request that waited behind another one being given all of its time once
         * more.
         */
        private long readAt() {
            while (arrivals.getFirst().upTo() < decoded()) {
                arrivals.removeFirst();
            }
            return arrivals.getFirst().at();
        }

        private void drop(ByteBuf in) {
            dropped += in.readableBytes();
            in.release();
            if (dropped > MAX_DROPPED) {
                due = loop.now();
            } else if (state == ClientConnectionState.LINGERING) {
                due = Math.min(loop.now() + LAST_WORD, lastDue);
            }
        }

        private void readOn() {
            if (drops()) {
                return; // whoever ends it reads as it needs to
            }
            boolean reads = mayRead();
            channel.config().setAutoRead(reads);
            unreadSince = reads ? unreadSince : Math.min(unreadSince, loop.now());
            if (upload != null) {
                // Progress, and not the time in all: a large body may take as long as it takes.
                due = upload.full() ? Long.MAX_VALUE : loop.now() + UPLOAD_SILENCE;
            }
        }

        /**
         * Guards against keeping further requests, or more than the window of a body, without end.
         */
        private boolean mayRead() {
            int waiting = ahead == null ? 0 : ahead.readableBytes();
            boolean more = upload != null && upload.full() || waiting > 0;
            return !more || waiting < READ_AHEAD && !held.usedUp();
        }

        /**
         * Whether what comes is decoded. Guards against a caller that sends requests and reads no
         * answers, which would all be kept here.
         */
        private boolean decodes() {
            return upload != null ? state != ClientConnectionState.CLOSED : state.takesRequests();
        }

        private boolean drops() {
            return state.ends() && !decodes();
        }

        /**
         * To the same buffer: guards against another in place of the one that the decoder is
         * reading.
         */
        private void append(ByteBuf in) {
            try {
                ahead.discardSomeReadBytes().writeBytes(in);
            } finally {
                in.release();
            }
        }

        /**
         * What waits to be decoded is kept on the heap and entered in the account. Guards against
         * direct memory, of which there is little, that is taken by buffers of 16 KiB with some
         * bytes in each.
         */
        private void keep() {
            if (ahead != null && ahead.isDirect()) {
                ByteBuf copy = Unpooled.buffer(ahead.readableBytes()).writeBytes(ahead);
                ahead.release();
                ahead = copy;
            }
            int now = ahead == null ? 0 : ahead.capacity();
            held.add(now - kept);
            kept = now;
        }

        /** Not while it is being decoded: whoever does so drops it. */
        private void dropAhead() {
            if (decoding) {
                return;
            }
            if (ahead != null) {
                ahead.release();
                ahead = null;
            }
            keep();
        }

        /**
         * Decodes what has come, up to the end of a request; the next waits until that one is
         * answered.
         */
        private void decode() {
            if (decoding) {
                return;
            }
            decoding = true;
            try {
                while (holds() && decodes()) {
                    if (upload != null) {
                        if (upload.full()) {
                            break;
                        }
                        uploadOn();
                        continue;
                    }
                    if (state.rests()) {
                        on(ClientConnectionState.Event.BYTES);
                    }
                    HttpMessage request = decoder.decode(ahead);
                    count();
                    if (request != null) {
                        take(request, 0);
                    } else if (decoder.large()) {
                        takeLarge();
                    } else {
                        await();
                    }
                }
            } catch (MalformedMessageException e) {
                loop.log()
                        .warn("caller.rejected")
                        .with("caller", channel.remoteAddress())
                        .with("status", e.status())
                        .with("why", e.getMessage())
                        .write();
                reject(e);
            } finally {
                decoding = false;
            }
            if (ahead != null && (drops() || !ahead.isReadable())) {
                dropAhead();
            } else {
                keep();
            }
        }

        /** Takes what has come of a body that flows. */
        private void uploadOn() throws MalformedMessageException {
            BodyFlow whole = upload;
            // What was decoded may have had its RPC answered, which drops the rest.
            if (decoder.decode(ahead) != null && upload == whole) {
                upload = null;
                due = Long.MAX_VALUE;
                driver.whole(exchange);
                whole.end();
            }
        }

        /** Enters what is held of a request that is being read in the account. */
        private void count() {
            int now = decoder.collected();
            held.add(now - collected);
            collected = now;
        }

        /** A request that is too large to be held: the rest of it flows. */
        private void takeLarge() throws MalformedMessageException {
            BodyFlow flow = new BodyFlow(held);
            MessageHead head = decoder.head();
            long length = decoder.bodyLength();
            HttpMessage request =
                    new HttpMessage(head, decoder.flow(flow::put), new BodyRemainder(flow, length));
            count();
            upload = flow;
            flow.whenRoom(() -> loop.run(this::readMore));
            take(
                    request,
                    loop.now() < answerBy ? MAX_UPLOAD : 0); // behind what was cut off none begins
        }

        /** There is room again for what the caller sends. */
        private void readMore() {
            if (upload != null) {
                decode();
                readOn();
            }
        }

        /** Half a request is there, or what comes before one. */
        private void await() throws MalformedMessageException {
            if (decoder.head() != null && state == ClientConnectionState.READING_HEAD) {
                on(ClientConnectionState.Event.HEAD);
                if (held.usedUp()) {
                    throw new MalformedMessageException(
                            MalformedMessageException.UNAVAILABLE, "too much is held");
                }
            }
            if (decoder.awaitsContinue()) {
                channel.writeAndFlush(HttpEncoder.goOn(loop.buffers()));
            }
        }

        /**
         * @param uploading how much longer its time may be while its body flows; 0: it is whole
         */
        private void take(HttpMessage request, long uploading) throws MalformedMessageException {
            chunks = request.head().takesChunks();
            keepAlive = request.head().keepsAlive();
            String target = request.head().target();
            if (target.equals(HEALTH)) {
                boolean healthy = ready.getAsBoolean() && service.healthy();
                boolean last = last();
                write(own(healthy ? 200 : 503, healthy ? "ready" : "not ready", last), last);
                return;
            }
            PropagatedBudget carried = fields.carried(request);
            long readAt = readAt();
            var told = fields.read(request, ++lastId, readAt, loop.lateness(), answerBy, carried);
            if (uploading > 0) {
                told =
                        new LoadBalancer.Request(
                                told.id(),
                                told.classIndex(),
                                told.tenant(),
                                told.deadline() + uploading,
                                told.key(),
                                told.repeat(),
                                told.write(),
                                told.work(),
                                true);
            }
            String name = request.head().fields().get("req-id");
            if (!open.add(name)) {
                // Guards against one caller's answer being made for another's request of the same
                // name.
                throw new MalformedMessageException(
                        MalformedMessageException.BAD_REQUEST, "Req-Id is open already");
            }
            id = name;
            whole = request.body().length;
            held.add(whole);
            on(ClientConnectionState.Event.RPC);
            exchange = new Exchange<>(told, request, this, carried);
            if (uploading > 0) {
                exchange.uploading(told.deadline() - uploading - readAt);
            }
            if (!aside.test(exchange, this)) {
                driver.accept(exchange);
            }
        }

        /**
         * Whether the answer at hand is the last of its connection; asked once for each. Where the
         * service ends, what has come behind the request is looked at first, and served. Guards
         * against requests that were taken and never answered.
         */
        private boolean last() {
            if (!keepAlive || upload != null) {
                return true;
            }
            if (!stopping && replacedAt == 0 && !sendingAway()) {
                return false;
            }
            look();
            return !holds() || ++behind > MAX_BEHIND;
        }

        @Override
        public void served(HttpMessage answer) {
            boolean last = last();
            if (answer.rest() != null) {
                download(answer, last || answer.rest().length() < 0 && !chunks);
                return;
            }
            reply(
                    last,
                    () ->
                            HttpEncoder.served(
                                    loop.buffers(),
                                    answer,
                                    last,
                                    fields.budgeted(),
                                    exchange.result(),
                                    chunks));
        }

        /** Passes on an answer that flows; the RPC is open until its end. */
        private void download(HttpMessage answer, boolean last) {
            if (state == ClientConnectionState.CLOSED) {
                return; // the end of the connection, which is about to be told, ends the attempt
            }
            boolean chunked = answer.rest().length() < 0 && chunks;
            on(last ? ClientConnectionState.Event.LAST_ANSWER : ClientConnectionState.Event.ANSWER);
            ByteBuf head =
                    made(
                            () ->
                                    HttpEncoder.served(
                                            loop.buffers(),
                                            answer,
                                            last,
                                            fields.budgeted(),
                                            exchange.result(),
                                            chunks));
            if (head == null) {
                close(); // which ends the attempt, too
                return;
            }
            channel.write(head);
            download =
                    new BodyWriter(
                            loop,
                            channel,
                            answer.rest().flow(),
                            chunked,
                            () -> {},
                            new BodyWriter.End() {
                                @Override
                                public void wrote() {
                                    download = null;
                                    over();
                                    wroteAll(true);
                                }

                                @Override
                                public void broke() {
                                    breakOff();
                                }
                            });
            channel.flush();
            download.pump();
        }

        /**
         * An end at once: a reset where an answer flows. Guards against an answer without a length
         * that ends early and looks whole.
         */
        private void breakOff() {
            if (download != null) {
                download.stop();
                download = null;
                if (channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
            }
            close();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (download != null && channel.isWritable()) {
                due = loop.now() + limits.answerPatience(); // it reads
                download.pump();
            }
        }

        @Override
        public void refused(long retryAfter) {
            boolean last = last();
            reply(
                    last,
                    () ->
                            HttpEncoder.answer(
                                    loop.buffers(),
                                    503,
                                    why("unavailable"),
                                    retryAfter,
                                    last,
                                    exchange.result()));
        }

        @Override
        public void failed() {
            boolean last = last();
            reply(
                    last,
                    () ->
                            HttpEncoder.answer(
                                    loop.buffers(),
                                    502,
                                    why("failed"),
                                    0,
                                    last,
                                    exchange.result()));
        }

        private String why(String otherwise) {
            HopPath path = exchange.budget() == null ? HopPath.EMPTY : exchange.budget().loop();
            return path.hops().isEmpty() ? otherwise : "a loop: " + path;
        }

        /**
         * Guards against a caller that waits for good for an answer that could not be made, for
         * want of memory say, and against the module missing the rest of the event: the caller sees
         * a break.
         */
        private void reply(boolean last, Supplier<ByteBuf> encoded) {
            ByteBuf answer = made(encoded);
            over();
            if (answer == null) {
                close();
            } else if (state == ClientConnectionState.CLOSED) {
                answer.release();
            } else {
                write(answer, last);
            }
        }

        private ByteBuf made(Supplier<ByteBuf> encoded) {
            try {
                return encoded.get();
            } catch (RuntimeException | OutOfMemoryError e) {
                loop.log()
                        .fault("caller.unanswered", e)
                        .with("caller", channel.remoteAddress())
                        .write();
                return null;
            }
        }

        private ByteBuf own(int status, String text, boolean close) {
            return decoder.wantsHeadOnly()
                    ? HttpEncoder.answerHead(loop.buffers(), status, text, close)
                    : HttpEncoder.answer(loop.buffers(), status, text, 0, close);
        }

        private void over() {
            BodyRemainder rest = exchange.content().rest();
            exchange = null;
            open.remove(id);
            held.add(-whole);
            whole = 0;
            if (rest != null && upload == null) {
                rest.flow()
                        .fail(); // nobody takes what is left of it, and the account would keep it
            }
        }

        private void dropUpload() {
            if (upload != null) {
                upload.fail();
                upload = null;
            }
        }

        /**
         * No answer is owed any more. The driver hears of it before what the caller sends is
         * dropped: guards against that being taken for a node's failure, and answered.
         */
        private void leave() {
            if (exchange != null) {
                Exchange<HttpMessage, HttpMessage> left = exchange;
                driver.left(left);
                if (exchange == left) {
                    over();
                }
            }
        }

        /**
         * Writes an answer; the next request is decoded once it is out, or the connection ended.
         *
         * @param last whether it is the connection's last: what comes from now on is dropped
         */
        private void write(ByteBuf answer, boolean last) {
            on(last ? ClientConnectionState.Event.LAST_ANSWER : ClientConnectionState.Event.ANSWER);
            if (last) {
                dropUpload();
                channel.config().setAutoRead(true);
            }
            channel.writeAndFlush(answer).addListener(wrote -> wroteAll(wrote.isSuccess()));
        }

        private void wroteAll(boolean success) {
            if (!success) {
                close();
                return;
            }
            on(ClientConnectionState.Event.WROTE);
            if (state == ClientConnectionState.LINGERING) {
                linger();
                return;
            }
            decode();
            readOn();
            if (stopping && state == ClientConnectionState.IDLE) {
                closeIfQuiet();
            }
        }

        /** Answers a request that can't be read, and closes once the caller may have read that. */
        private void reject(MalformedMessageException e) {
            if (drops()) {
                return; // the rest of a body whose RPC was answered meanwhile
            }
            boolean answering = download != null;
            if (answering) {
                breakOff(); // another answer can't follow
            }
            leave();
            dropUpload();
            if (answering) {
                return;
            }
            write(own(e.status(), e.getMessage(), true), true);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            callers.remove(this);
            on(ClientConnectionState.Event.CLOSE);
            dropAhead();
            held.add(-collected);
            collected = 0;
            if (download != null) {
                download.stop(); // first: what ends the attempt would break off an answer on a
                // closed channel
                download = null;
            }
            leave();
            dropUpload();
            takeMore();
            endIfEmpty();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                loop.log()
                        .fault("caller.failed", cause)
                        .with("caller", channel.remoteAddress())
                        .write();
            }
            context.close();
        }
    }
}
