package cedarrudder.transport;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.budget.DownstreamFeedback;
import cedarrudder.budget.PropagatedBudget;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.BudgetHeaders;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.LoadReportParser;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.MessageHead;
import cedarrudder.protocol.SiteSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The client side: the pool of channels to the nodes, and the call attempts and probes on them. */
public final class EndpointConnectionPool implements AttemptTransport<HttpMessage, HttpMessage> {

    /** So many attempts in a row that nobody answered make a node a failing one. */
    private static final int FAILING = 5;

    /** How often idle channels are looked over. */
    private static final long SWEEP = 1_000_000_000L;

    /**
     * A node may close an idle channel a little early by our clock: ours goes this much earlier.
     */
    private static final double IDLE_SHARE = 0.8;

    /**
     * An answer that flows, and of which nothing comes for so long though it could, has been given
     * up.
     */
    private static final long FLOW_SILENCE = 10_000_000_000L;

    /**
     * A body of which the node takes nothing for so long has been given up. At 64 kB a second, the
     * slowest that occurs, a socket's buffer of 4 MB has room again after some 21 s: the kernel
     * tells at a third.
     */
    private static final long BODY_STUCK = 30_000_000_000L;

    /**
     * Bytes that one read takes at the most: a piece of a body that flows. Guards against memory
     * that many slow callers hold, each a piece of theirs on its way.
     */
    private static final int MAX_READ = 16 * 1024;

    private static final int FIRST_READ = 1024;

    private static final long DEFAULT_CONNECT_NANOS = 1_000_000_000L;

    /**
     * A connection is up within this share of the time that the rule on drains allows, or not at
     * all. Guards against an attempt being written when that time is over, since its connection
     * took so long.
     */
    private static final double CONNECT_SHARE = 0.5;

    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> driver;
    private final SiteSettings.Reports reports;
    private final RequestMetrics figures;
    private final BufferAccount held;
    private final Bootstrap bootstrap;
    private final long idleLimit;
    private EndpointLimits limits;
    private EndpointLimits.Bounds max;
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<RequestAttempt<HttpMessage, HttpMessage>, Work> attempts =
            new IdentityHashMap<>();
    private TimerService.Timer sweeping;
    private int open;

    /**
     * @param max how many channels there may be
     * @param figures where attempts are counted
     * @param held the account of what bodies hold
     */
    public EndpointConnectionPool(
            ProxyEventLoop loop,
            RequestForwarder<HttpMessage, HttpMessage> driver,
            SiteSettings site,
            EndpointLimits limits,
            EndpointLimits.Bounds max,
            RequestMetrics figures,
            BufferAccount held) {
        this.held = held;
        this.figures = figures;
        this.loop = loop;
        this.driver = driver;
        this.reports = site.reports();
        this.limits = limits;
        this.max = max;
        long idle = site.module().limits().connectionIdle();
        this.idleLimit = idle == 0 ? Long.MAX_VALUE : (long) (idle * IDLE_SHARE);
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channelFactory(EndpointSocket::new)
                        .option(ChannelOption.ALLOCATOR, loop.buffers())
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(FIRST_READ, FIRST_READ, MAX_READ))
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BodyWriter.WRITE_AHEAD)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, connectNanos(site.module()) / 1_000_000));
        sweeping = loop.at(loop.now() + SWEEP, this::sweep);
    }

    private static long connectNanos(LoadBalancer.BalancerSettings settings) {
        long set = settings.limits().connectTimeout();
        long grace = settings.safety().drainGrace();
        return Math.min(
                set == 0 ? DEFAULT_CONNECT_NANOS : set,
                grace == 0 ? Long.MAX_VALUE : (long) (grace * CONNECT_SHARE));
    }

    /**
     * From now on these limits count; channels that are open keep their bounds on bytes. Where
     * fewer channels may be there than are, idle ones are closed.
     */
    public void apply(EndpointLimits next, EndpointLimits.Bounds bounds) {
        limits = next;
        max = bounds;
        for (int over = open - max.idle(); over > 0; over--) {
            closeOldest();
        }
    }

    /** Closes what is idle and looks after nothing any more; what is out ends by itself. */
    public void close() {
        sweeping.cancel();
        nodes.values().forEach(Node::leave);
    }

    /** Where a node is reached, and the idle channels to it: the one used last comes last. */
    private static final class Node {
        final InetSocketAddress address;
        final Deque<NodeChannel> idle = new ArrayDeque<>();

        /** Its last start that is known, by the loop's clock; 0: long ago. */
        long startedAt;

        boolean gone;
        private int failures;

        Node(InetSocketAddress address) {
            this.address = address;
        }

        void closeIdle() {
            List.copyOf(idle).forEach(NodeChannel::retire);
        }

        /** Nothing is sent there any more; attempts that are out hold on to it until they end. */
        void leave() {
            gone = true;
            closeIdle();
        }
    }

    /**
     * Takes in where nodes are. One that is gone, or that has moved, is forgotten with its
     * channels. Guards against keeping all nodes of a long day, and against a channel to a node
     * that is gone being used for the one that took over its address.
     */
    public void resolved(EndpointList result) {
        Set<Long> listed = new HashSet<>();
        for (EndpointList.Node entry : result.nodes()) {
            long id = entry.endpoint().id();
            Node known = nodes.get(id);
            boolean stays = entry.endpoint().state() != EndpointStatus.GONE;
            if (known != null && !(stays && known.address.equals(entry.address()))) {
                nodes.remove(id).leave();
            }
            if (stays) {
                listed.add(id);
                nodes.computeIfAbsent(id, added -> new Node(entry.address())).startedAt =
                        entry.endpoint().startedAt();
            }
        }
        if (result.full()) {
            for (long id : List.copyOf(nodes.keySet())) {
                if (!listed.contains(id)) {
                    nodes.remove(id).leave();
                }
            }
        }
    }

    /** Attempts that are out, and answers that flow, by node. */
    public Map<Long, Integer> calls() {
        Map<Long, Integer> calls = new HashMap<>();
        attempts.keySet().forEach(attempt -> calls.merge(attempt.endpoint(), 1, Integer::sum));
        return calls;
    }

    /**
     * Whether the last attempts at a node all failed, without an answer of any kind between them.
     */
    public boolean failing(long endpoint) {
        Node node = nodes.get(endpoint);
        return node != null && node.failures >= FAILING;
    }

    /** How many channels there are. */
    public int open() {
        return open;
    }

    @Override
    public boolean knows(long endpoint) {
        return nodes.containsKey(endpoint);
    }

    @Override
    public void start(RequestAttempt<HttpMessage, HttpMessage> attempt) {
        Node node = nodes.get(attempt.endpoint());
        Work work = new Attempt(attempt, node);
        attempts.put(attempt, work);
        carry(node, work);
    }

    @Override
    public void abandon(RequestAttempt<HttpMessage, HttpMessage> attempt) {
        Work work = attempts.remove(attempt);
        if (work != null) {
            work.giveUp();
        }
    }

    @Override
    public void probe(long endpoint) {
        Node node = nodes.get(endpoint);
        carry(node, new Probe(endpoint, node));
    }

    @Override
    public void closeIdle(long endpoint) {
        Node node = nodes.get(endpoint);
        if (node != null) {
            node.closeIdle();
        }
    }

    private void carry(Node node, Work work) {
        for (NodeChannel idle = node.idle.pollLast(); idle != null; idle = node.idle.pollLast()) {
            if (idle.serves()) {
                idle.carry(work);
                return;
            }
            idle.retire();
        }
        boolean madeRoom = open >= max.idle() && closeOldest();
        if (open >= max.all() && !madeRoom) {
            work.unsent(); // guards against attempts that take the descriptors of operators and
            // discovery
            return;
        }
        NodeChannel fresh = new NodeChannel(node);
        loop.connect(
                bootstrap.clone().handler(fresh),
                node.address,
                connected -> {
                    if (connected.isSuccess()) {
                        fresh.up(work);
                    } else if (connected.cause() instanceof ChannelException) {
                        work.unsent(); // there is no descriptor for it
                    } else {
                        work.broke();
                    }
                });
    }

    /**
     * Guards against idle channels to many nodes taking the descriptors that callers and discovery
     * need.
     *
     * @return whether there was an idle one
     */
    private boolean closeOldest() {
        NodeChannel oldest = null;
        for (Node node : nodes.values()) {
            NodeChannel first = node.idle.peekFirst();
            if (first != null && (oldest == null || first.idleSince < oldest.idleSince)) {
                oldest = first;
            }
        }
        if (oldest != null) {
            oldest.retire();
        }
        return oldest != null;
    }

    private void sweep() {
        sweeping = loop.at(loop.now() + SWEEP, this::sweep);
        for (Node node : nodes.values()) {
            while (!node.idle.isEmpty()
                    && loop.now() - node.idle.peekFirst().idleSince > idleLimit) {
                node.idle.peekFirst().retire();
            }
        }
    }

    /** What travels on a channel: one request, and what its end means. */
    private abstract static class Work {
        final Node node;
        NodeChannel channel;
        boolean written;
        boolean over;

        Work(Node node) {
            this.node = node;
        }

        /**
         * Whether its first byte may go out now; where not, it is over. Asked once, right before,
         * on whatever channel: one that was idle, one that has just come up, or came up long after
         * it was asked for.
         */
        abstract boolean begins();

        abstract ByteBuf encode();

        /** Its last byte is written. */
        void wrote() {
            written = true;
        }

        abstract void answered(HttpMessage answer);

        /** The rest of what is to be written; null where {@link #encode} gives all of it. */
        BodyRemainder rest() {
            return null;
        }

        /** Some of the rest is about to go out. */
        void spend() {}

        /** Whether an answer with this head may go on before it is whole. */
        boolean mayFlow(MessageHead head) {
            return false;
        }

        /** The answer flows from here on; its end is told by {@link #answered}, without a body. */
        void began(HttpMessage answer) {}

        abstract void failed(Outcome outcome);

        /** The connection never came up, or it ended without a whole answer. */
        final void broke() {
            if (!over) {
                over = true;
                failed(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
            }
        }

        /**
         * There is no room in this process for a connection. Guards against a node counting as
         * failing, or as out of connections, for what it never saw.
         */
        final void unsent() {
            if (!over) {
                over = true;
                failed(Outcome.MOOT);
            }
        }

        /** Closing the connection is how a node is told that nobody waits any more. */
        final void giveUp() {
            over = true;
            if (channel != null) {
                channel.close();
            }
        }
    }

    private final class Attempt extends Work {
        private final RequestAttempt<HttpMessage, HttpMessage> attempt;

        Attempt(RequestAttempt<HttpMessage, HttpMessage> attempt, Node node) {
            super(node);
            this.attempt = attempt;
        }

        @Override
        boolean begins() {
            if (node.gone) {
                broke(); // guards against what has its address now; another node may take it
            }
            return !over && driver.begins(attempt);
        }

        @Override
        ByteBuf encode() {
            PropagatedBudget handed = attempt.handed();
            return HttpEncoder.request(
                    loop.buffers(),
                    attempt.exchange().content(),
                    Math.max(1, attempt.exchange().left(loop.now()) / 1_000_000),
                    handed == null ? null : handed.after(loop.now() - attempt.startedAt()));
        }

        @Override
        void wrote() {
            super.wrote();
            attempt.wrote(loop.now());
            figures.relayed(attempt.exchange().request().classIndex());
        }

        @Override
        BodyRemainder rest() {
            return attempt.exchange().content().rest();
        }

        @Override
        void spend() {
            attempt.exchange().spend();
        }

        @Override
        boolean mayFlow(MessageHead head) {
            return head.status() == 200;
        }

        @Override
        void began(HttpMessage answer) {
            driver.began(attempt, answer, load(answer));
        }

        /** The load that an answer reports; null where it reports none. */
        private LoadReport load(HttpMessage answer) {
            return reports == SiteSettings.Reports.ANSWERS
                    ? LoadReportParser.parse(answer.head().fields().get("srv-load"))
                    : null;
        }

        @Override
        void answered(HttpMessage answer) {
            attempts.remove(attempt);
            node.failures = 0;
            LoadReport load = load(answer);
            int status = answer.head().status();
            DownstreamFeedback below =
                    attempt.handed() == null
                            ? DownstreamFeedback.NOTHING
                            : BudgetHeaders.result(answer);
            if (status == 200) {
                // Where it flowed the exchange is over, and this only tells how the attempt ended.
                driver.served(attempt, answer, load, below);
            } else {
                driver.ended(attempt, declined(answer) ? Outcome.FULL : Outcome.ERROR, load, below);
            }
        }

        @Override
        void failed(Outcome outcome) {
            attempts.remove(attempt);
            node.failures += outcome == Outcome.MOOT ? 0 : 1;
            driver.ended(attempt, outcome, null);
        }
    }

    private final class Probe extends Work {
        private final long endpoint;
        private final long startedAt = loop.now();
        private final TimerService.Timer patience =
                loop.at(startedAt + limits.probePatience(), this::expire);

        Probe(long endpoint, Node node) {
            super(node);
            this.endpoint = endpoint;
        }

        private void expire() {
            if (!over) {
                giveUp();
                failed(Outcome.TIMEOUT);
            }
        }

        @Override
        boolean begins() {
            if (node.gone) {
                unsent(); // it says nothing of the node that may be listed in its place
            }
            return !over;
        }

        @Override
        ByteBuf encode() {
            return HttpEncoder.get(
                    loop.buffers(),
                    reports == SiteSettings.Reports.NONE ? "/ping" : "/_load",
                    node.address.getAddress().getHostAddress());
        }

        @Override
        void answered(HttpMessage answer) {
            if (node.gone) {
                failed(Outcome.CANCELLED); // what it reports is true of nobody any more
                return;
            }
            patience.cancel();
            node.failures = 0;
            boolean ok = answer.head().status() == 200;
            var load =
                    ok
                            ? LoadReportParser.parse(
                                    new String(answer.body(), StandardCharsets.UTF_8))
                            : null;
            driver.probed(
                    endpoint,
                    ok ? Outcome.OK : declined(answer) ? Outcome.FULL : Outcome.ERROR,
                    loop.now() - startedAt,
                    load);
        }

        @Override
        void failed(Outcome outcome) {
            patience.cancel();
            driver.probed(endpoint, outcome, loop.now() - startedAt, null);
        }
    }

    /** Whether a node turned a request away unseen. */
    private static boolean declined(HttpMessage answer) {
        int status = answer.head().status();
        return (status == 503 || status == 504)
                && "1".equals(answer.head().fields().get("srv-declined"));
    }

    /** One connection to a node; it carries one piece of work at a time. */
    private final class NodeChannel extends SimpleChannelInboundHandler<ByteBuf> {
        private final Node node;
        private final HttpDecoder decoder =
                HttpDecoder.ofFlows(false, limits.maxHead(), limits.maxBody(), BodyFlow.WINDOW);
        private EndpointSocket channel;
        private BodyFlow flow;
        private BodyWriter upload;
        private int collected;
        private long heardAt;
        private Work work;
        private TimerService.Timer patience;
        private TimerService.Timer uploading;
        private final EndpointConnectionState life = new EndpointConnectionState();
        private long upAt;
        private long idleSince;

        NodeChannel(Node node) {
            this.node = node;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = (EndpointSocket) context.channel();
            open++;
        }

        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            open--;
        }

        /**
         * Takes a step of its life; what is not legal is a fault of ours, and ends this connection
         * alone.
         *
         * @return whether it was legal
         */
        private boolean step(EndpointConnectionState.Event event) {
            boolean legal = life.step(event);
            if (!legal) {
                loop.log()
                        .fault(
                                "node.channel_failed",
                                new IllegalStateException(event + " while " + life))
                        .with("node", node.address)
                        .write();
                fail();
            }
            return legal;
        }

        /**
         * Whether a request may go out on it now, as it is idle. Guards against one that is lost on
         * a connection to what its node was before its last start, which may stand and be silent
         * where the machine had vanished; and on one that its node may close, since the pool is
         * looked over only now and then and in another order.
         */
        boolean serves() {
            return (node.startedAt == 0 || upAt - node.startedAt >= 0)
                    && loop.now() - idleSince <= idleLimit
                    && channel.quiet();
        }

        /** It is up, for this work; for its node, too, it has been idle from here on. */
        void up(Work first) {
            upAt = loop.now();
            idleSince = upAt;
            step(EndpointConnectionState.Event.UP);
            carry(first);
        }

        void carry(Work next) {
            if (!next.begins()) {
                rest();
                return;
            }
            ByteBuf request;
            try {
                request = next.encode();
            } catch (RuntimeException | OutOfMemoryError e) {
                // Guards against a caller that waits until its deadline for what was never sent.
                loop.log().fault("node.request_not_made", e).with("node", node.address).write();
                retire();
                next.unsent();
                return;
            }
            work = next;
            next.channel = this;
            if (!step(EndpointConnectionState.Event.CARRIES)) {
                request.release();
                return;
            }
            if (next.rest() != null) {
                channel.writeAndFlush(request);
                upload(next);
                return;
            }
            channel.writeAndFlush(request)
                    .addListener(
                            wrote -> {
                                if (!wrote.isSuccess()) {
                                    fail();
                                } else if (step(EndpointConnectionState.Event.WROTE)) {
                                    next.wrote();
                                }
                            });
        }

        /** Writes the rest of a request whose body flows. */
        private void upload(Work next) {
            BodyRemainder rest = next.rest();
            upload =
                    new BodyWriter(
                            loop,
                            channel,
                            rest.flow(),
                            rest.length() < 0,
                            next::spend,
                            new BodyWriter.End() {
                                @Override
                                public void wrote() {
                                    upload = null;
                                    uploading.cancel();
                                    if (step(EndpointConnectionState.Event.WROTE)) {
                                        next.wrote();
                                    }
                                }

                                @Override
                                public void broke() {
                                    upload = null;
                                    uploading.cancel();
                                    fail();
                                }
                            });
            watch(upload);
            upload.pump();
        }

        /**
         * Guards against a caller, and its part of the account, held for minutes by a node that is
         * silent: such a body has no deadline yet, and what its caller does is not seen while it is
         * not read.
         */
        private void watch(BodyWriter watched) {
            uploading =
                    loop.at(
                            loop.now() + BODY_STUCK / 4,
                            () -> {
                                if (upload == watched && watched.stuck(BODY_STUCK)) {
                                    spoilt("takes nothing of a body");
                                } else if (upload == watched) {
                                    watch(watched);
                                }
                            });
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (upload != null && channel.isWritable()) {
                upload.pump();
            }
            context.fireChannelWritabilityChanged();
        }

        /**
         * Closes, and tells the work on it that it ended: there may be no other news of a closed
         * channel.
         */
        private void fail() {
            retire();
            Work broken = work;
            work = null;
            if (broken != null) {
                broken.broke();
            }
        }

        void close() {
            retire();
        }

        /** Goes to the pool, where its node still stands; it keeps since when it has been idle. */
        private void rest() {
            if (node.gone) {
                retire();
            } else {
                node.idle.addLast(this);
            }
        }

        /**
         * Leaves the pool at once, and closes. What still comes is not read, and bytes that are
         * there unread make it a reset. Of what is on it, that is how its node is told that nobody
         * waits; where it is idle nothing is owed either way, for its last request was answered
         * whole.
         */
        void retire() {
            step(EndpointConnectionState.Event.ENDS);
            stopWaiting();
            held.add(-collected);
            collected = 0;
            if (upload != null) {
                upload.halt();
                upload = null;
                uploading.cancel();
            }
            if (flow != null) {
                flow.fail();
                flow = null;
            }
            node.idle.remove(this);
            channel.close();
        }

        private boolean ended() {
            return life.is(EndpointConnectionState.State.ENDED);
        }

        private void stopWaiting() {
            if (patience != null) {
                patience.cancel();
                patience = null;
            }
        }

        /**
         * An answer that can't be read ends here as a connection that broke: the request may have
         * run. Guards against any part of such an answer being served, now or when the connection
         * ends.
         */
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
            if (ended()) {
                return;
            }
            if (life.is(EndpointConnectionState.State.IDLE)) {
                retire(); // bytes that nobody asked for, such as those behind the last answer
                return;
            }
            try {
                heardAt = loop.now();
                HttpMessage answer = decoder.decode(in);
                while (answer == null && decoder.large()) {
                    if (!work.mayFlow(decoder.head())) {
                        spoilt("too long a body");
                        return;
                    }
                    begin();
                    answer = ended() ? null : decoder.decode(in);
                }
                if (ended()) {
                    return;
                }
                count();
                if (answer != null) {
                    finish(answer, answer.head().keepsAlive() && !in.isReadable());
                } else if (patience == null && !decoder.between()) {
                    patience = loop.at(loop.now() + limits.answerPatience(), this::look);
                }
                if (flow != null) {
                    channel.config().setAutoRead(!flow.full());
                }
            } catch (MalformedMessageException e) {
                spoilt(e.getMessage());
            }
        }

        /** Enters what is held of an answer that is being read in the account. */
        private void count() {
            int now = decoder.collected();
            held.add(now - collected);
            collected = now;
        }

        /** The answer goes on as it comes from here on. */
        private void begin() {
            if (life.is(EndpointConnectionState.State.SENDING)) {
                spoilt("an answer before the request");
                return;
            }
            if (!step(EndpointConnectionState.Event.FLOWS)) {
                return;
            }
            BodyFlow next = new BodyFlow(held);
            flow = next;
            MessageHead head = decoder.head();
            BodyRemainder rest = new BodyRemainder(next, decoder.bodyLength());
            next.whenRoom(
                    () ->
                            loop.run(
                                    () -> {
                                        if (flow == next && !next.full()) {
                                            heardAt = loop.now(); // silence counts from where the
                                            // node may go on
                                            channel.config().setAutoRead(true);
                                        }
                                    }));
            work.began(new HttpMessage(head, decoder.flow(next::put), rest));
        }

        /** An answer has begun some time ago and is not whole. */
        private void look() {
            patience = null;
            long silent = loop.now() - heardAt;
            if (flow != null) {
                if (!flow.full() && silent >= FLOW_SILENCE) {
                    spoilt("an answer without an end");
                    return;
                }
            } else if (silent >= limits.answerPatience()) {
                spoilt("an answer without an end");
                return;
            } else if (decoder.head() != null && work.mayFlow(decoder.head())) {
                begin();
            }
            if (!ended()) {
                patience = loop.at(loop.now() + limits.answerPatience(), this::look);
            }
        }

        private void spoilt(String why) {
            loop.log().warn("node.spoilt").with("node", node.address).with("why", why).write();
            fail();
        }

        private void finish(HttpMessage answer, boolean reusable) {
            stopWaiting();
            if (life.is(EndpointConnectionState.State.SENDING)) {
                spoilt("an answer before the request");
                return;
            }
            if (!step(EndpointConnectionState.Event.ANSWERED)) {
                return;
            }
            Work done = work;
            work = null;
            if (flow != null) {
                BodyFlow whole = flow;
                flow = null;
                whole.end();
                channel.config().setAutoRead(true);
            }
            if (reusable) {
                idleSince = loop.now();
                rest();
            } else {
                retire();
            }
            if (!done.over) {
                done.over = true;
                done.answered(answer);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            HttpMessage last = ended() || work == null ? null : decoder.atEnd();
            if (last != null) {
                finish(last, false);
            } else {
                fail();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                loop.log().fault("node.channel_failed", cause).with("node", node.address).write();
            }
            fail(); // before the channel ends: what came of an answer until then is not a whole one
        }
    }
}
