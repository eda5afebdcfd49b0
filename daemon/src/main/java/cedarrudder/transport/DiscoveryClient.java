package cedarrudder.transport;

import cedarrudder.forwarding.DiscoveryPollSchedule;
import cedarrudder.forwarding.DiscoveryTimeouts;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.EndpointListParser;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.protocol.ObjectStream;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The connections to discovery: the watch on changes, and calls for the whole list. When they are
 * made and given up is for a {@link DiscoveryPollSchedule} to say, one for the watch and one for
 * each whole list.
 */
public final class DiscoveryClient implements EndpointDiscovery {

    /** Why a call was dropped, as the log says it. */
    private static final String SILENT = "silent";

    private static final String LIST = "/catalog/members";

    /** The largest list that is read. */
    private static final int MAX_LIST = 4 * 1024 * 1024;

    /** What has come meanwhile is read for this long, in nanoseconds, before silence is judged. */
    private static final long TURN = 1_000_000L;

    /**
     * A connection may come up so late, in nanoseconds. One that is still not up after it is not
     * waited for by a new call: what was lost on the way is sent again ever later.
     */
    private static final long LATE = 1_050_000_000L;

    private final ProxyEventLoop loop;
    private final EndpointListParser reader;
    private final RandomGenerator random;
    private final Consumer<EndpointList> results;
    private final Runnable failures;
    private final Bootstrap bootstrap;
    private final Asks watch;
    private DiscoveryTimeouts patience;
    private InetSocketAddress address;
    private final EndpointListReader gate;
    private final long again;
    private long version;

    /** The last version of which nothing waits: changes are asked for from there. */
    private long since;

    private boolean waiting;
    private boolean asksAgain;

    /**
     * @param longest this long after a failure the watch is asked for again at the latest, in
     *     nanoseconds
     * @param known the version of the list that the proxy starts with
     * @param failures told when nothing that was asked is left to wait for
     * @param gate leaves out what there is no room for; null: all is read
     * @param again after this long, in nanoseconds, and by chance up to half as much more, the
     *     whole list is asked for anew where endpoints were left out
     */
    public DiscoveryClient(
            ProxyEventLoop loop,
            InetSocketAddress address,
            DiscoveryTimeouts patience,
            long longest,
            RandomGenerator random,
            EndpointListParser reader,
            long known,
            Consumer<EndpointList> results,
            Runnable failures,
            EndpointListReader gate,
            long again) {
        this.loop = loop;
        this.address = address;
        this.patience = patience;
        this.random = random;
        this.reader = reader;
        this.version = known;
        this.since = known;
        this.results = results;
        this.failures = failures;
        this.gate = gate;
        this.again = again;
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, loop.buffers());
        this.watch = new Asks(true, longest);
    }

    /** These figures count from now on; a wait that has begun may last for as long as it was to. */
    public void apply(DiscoveryTimeouts next) {
        patience = next;
        watch.clock.apply(next);
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            watch.clock.poll(loop.now());
        } else {
            watch.clock.stop();
        }
    }

    /**
     * Discovery has moved: calls go to its new address from now on, and so does the watch. Guards
     * against a gap in the list: the watch at the old address goes on telling until the new one
     * does.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            watch.clock.onAddressChanged(loop.now());
        }
    }

    @Override
    public void fetchAll() {
        new Asks(false, 0).clock.poll(loop.now());
    }

    /**
     * What was read counts. This avoids a version that is taken for known while endpoints of it
     * wait: discovery would tell them no more.
     *
     * @param all whether what came had all that waited before
     */
    private void settle(boolean all) {
        boolean left = gate != null && gate.last().waits() > 0;
        if (left) {
            refused();
        }
        waiting = left || waiting && !all;
        since = waiting ? Math.min(since, version) : version;
        askAgain();
    }

    private void refused() {
        EndpointListReader.Judged why = gate.last();
        loop.log()
                .warn("footprint.refused")
                .with("bound", why.bound())
                .with("needed", why.needed())
                .with("room", why.room())
                .with("held", why.held())
                .with("wanted", why.wanted())
                .with("waits", why.waits())
                .with("never", why.never())
                .write();
    }

    /**
     * Of the list with which the process starts endpoints were left out: discovery is to tell them.
     */
    public void startedShort() {
        refused();
        waiting = true;
        since = 0;
        askAgain();
    }

    /** Not at once: this avoids calls without end for a list that still does not fit. */
    private void askAgain() {
        if (waiting && !asksAgain) {
            asksAgain = true;
            loop.at(
                    loop.now() + again + (long) (random.nextDouble() * again / 2),
                    () -> {
                        asksAgain = false;
                        if (waiting) {
                            fetchAll();
                            askAgain();
                        }
                    });
        }
    }

    /** The calls that are out for the watch, or for one whole list. */
    private final class Asks implements DiscoveryPollSchedule.Actions {
        private final boolean follows;
        private final DiscoveryPollSchedule clock;
        private final Map<Integer, Call> calls = new HashMap<>();
        private TimerService.Timer timer;

        /** A connection without a call yet; null: none. */
        private Call spare;

        Asks(boolean follows, long longest) {
            this.follows = follows;
            this.clock = new DiscoveryPollSchedule(follows, longest, patience, random, this);
        }

        @Override
        public void open(int call) {
            Call next = spare;
            spare = null;
            if (next == null || !next.serves()) {
                if (next != null) {
                    next.close();
                }
                next = new Call(this);
                next.dial();
            }
            calls.put(call, next);
            next.ask(call, follows ? LIST + "?follow=1&since=" + since : LIST);
        }

        @Override
        public void dialSpare(boolean wanted) {
            if (spare != null) {
                spare.close();
            }
            spare = wanted ? new Call(this) : null;
            if (wanted) {
                spare.dial();
            }
        }

        @Override
        public void drop(int call, DiscoveryPollSchedule.DropReason reason) {
            Call dropped = calls.remove(call);
            if (dropped != null) {
                if (reason == DiscoveryPollSchedule.DropReason.SILENT) {
                    dropped.warn(SILENT);
                }
                dropped.close();
            }
        }

        /**
         * Reads first: this avoids a loop that was late taking for silent what has come meanwhile.
         */
        @Override
        public void scheduleTimer(long at) {
            if (timer != null) {
                timer.cancel();
            }
            timer =
                    loop.at(
                            at,
                            () ->
                                    timer =
                                            loop.at(
                                                    loop.now() + TURN,
                                                    () -> clock.onTimer(loop.now())));
        }

        @Override
        public void onUnavailable() {
            if (follows || !watch.clock.isActive()) {
                failures.run(); // else the watch stands, and tells what the call would have
            }
        }
    }

    /** One call to discovery, on a connection of its own. It fails once at most. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf>
            implements ObjectStream.Events {
        private final Asks asks;
        private final ObjectStream objects = new ObjectStream(MAX_LIST, this);
        private final HttpDecoder decoder = HttpDecoder.ofStreams(objects);
        private final InetSocketAddress to = address;
        private final long dialledAt = loop.now();

        /** The clock's; 0 for a spare connection. */
        private int number;

        private String target;
        private long from;
        private Channel channel;
        private boolean up;
        private boolean over;
        private boolean answered;

        Call(Asks asks) {
            this.asks = asks;
        }

        /** Whether a new call can go out on this connection now, or as soon as on a new one. */
        boolean serves() {
            return !over && to.equals(address) && (up || loop.now() - dialledAt < LATE);
        }

        void ask(int call, String what) {
            number = call;
            target = what;
            from = since;
            send();
        }

        private void send() {
            if (up && target != null) {
                asks.clock.onConnected(number);
                channel.writeAndFlush(
                        HttpEncoder.get(
                                loop.buffers(),
                                target,
                                to.getAddress().getHostAddress() + ":" + to.getPort()));
            }
        }

        void dial() {
            // As patient as the call itself: a connection may come up late.
            Bootstrap own =
                    bootstrap
                            .clone()
                            .handler(this)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) (patience.callNanos() / 1_000_000));
            loop.connect(
                    own,
                    to,
                    connected -> {
                        if (over) {
                            close();
                        } else if (connected.isSuccess()) {
                            up = true;
                            send();
                        } else {
                            fail("can't connect");
                        }
                    });
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
            if (over) {
                return;
            }
            if (target == null) {
                fail("answered before it was asked");
                return;
            }
            try {
                HttpMessage end = decoder.decode(in);
                if (end != null && end.head().status() == 200) {
                    objects.end();
                }
                if (answered && !asks.follows) {
                    close();
                } else if (end != null || refused()) {
                    fail(
                            "ended with status "
                                    + (end == null ? decoder.head() : end.head()).status());
                }
            } catch (MalformedMessageException | IllegalArgumentException e) {
                fail(e.getMessage());
            }
        }

        /** Whether what comes is no list. */
        private boolean refused() {
            return decoder.head() != null && decoder.head().status() != 200;
        }

        @Override
        public void begun() {
            if (!over && !refused()) {
                asks.clock.onObjectStarted(loop.now(), number);
            }
        }

        /** An empty line only says that the watch is alive. */
        @Override
        public void line() {
            if (!over && asks.follows && !refused()) {
                asks.clock.onHeartbeat(loop.now(), number);
            }
        }

        /** One object of the answer. */
        @Override
        public void object(String text) {
            if (over || refused()) {
                return;
            }
            boolean first = !answered;
            EndpointList result = take(text);
            if (result != null) {
                if (gate != null && gate.roomier()) {
                    take(text); // what has left made room for more of it
                }
                settle(result.full() || first && from <= since);
            }
        }

        /** Reads and passes on; null: it tells nothing new. */
        private EndpointList take(String text) {
            JsonObject told = gate == null ? JsonObject.parse(text) : gate.read(text);
            boolean outdated =
                    told.whole("version") < version && !(asks.follows && told.flag("full", false));
            if (outdated && !asks.follows) {
                // This avoids a late answer taking back what the watch has told since.
                fail("older than what is known");
                return null;
            }
            // Not read: this avoids what is outdated undoing what is known of endpoints.
            EndpointList result = outdated ? null : reader.read(told);
            answered = true;
            asks.clock.onUpdate(loop.now(), number);
            if (outdated) {
                return null; // a change that the watch at the former address has told already
            }
            version = result.version();
            loop.log()
                    .debug("discovery.told")
                    .with("version", version)
                    .with("list", result.full() ? "full" : "changes")
                    .with("nodes", result.nodes().size())
                    .write();
            results.accept(result);
            return result;
        }

        private void warn(String why) {
            loop.log()
                    .warn("discovery.failed")
                    .with("call", asks.follows ? "watch" : "list")
                    .with("at", to)
                    .with("why", why)
                    .write();
        }

        private void fail(String why) {
            if (target == null) {
                close(); // it was a spare one: nothing that was asked has failed
            } else if (!over) {
                if (!loop.ends()) { // else a start that failed would tell of a second fault
                    warn(why);
                }
                close();
                asks.calls.remove(number);
                asks.clock.onCallFailed(loop.now(), number);
            }
        }

        void close() {
            over = true;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString());
            context.close();
        }
    }
}
