package cedarrudder.transport;

import cedarrudder.protocol.BadMessageException;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.Message;
import cedarrudder.protocol.ObjectStream;
import cedarrudder.protocol.ResolverResult;
import cedarrudder.protocol.ResolverResultReader;
import cedarrudder.routing.Resolver;
import cedarrudder.routing.ResolverClock;
import cedarrudder.routing.ResolverPatience;
import cedarrudder.routing.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The connections to discovery: the watch on changes, and calls for the whole list. When they are made and
 * given up is for a {@link ResolverClock} to say, one for the watch and one for each whole list.
 */
public final class DiscoveryClient implements Resolver {

    private static final String LIST = "/catalog/members";

    /** The largest list that is read. */
    private static final int MOST_LIST = 4 * 1024 * 1024;

    /** What has come meanwhile is read for so long, in nanoseconds, before silence is judged. */
    private static final long TURN = 1_000_000L;

    private final Loop loop;
    private final ResolverResultReader reader;
    private final RandomGenerator random;
    private final Consumer<ResolverResult> results;
    private final Runnable failures;
    private final Bootstrap bootstrap;
    private final Asks watch;
    private ResolverPatience patience;
    private InetSocketAddress address;
    private long version;

    /**
     * @param longest so long after a failure the watch is asked for again at the latest, in nanoseconds
     * @param known the version of the list that the proxy starts with
     * @param failures told when nothing that was asked is left to wait for
     */
    public DiscoveryClient(Loop loop, InetSocketAddress address, ResolverPatience patience, long longest,
            RandomGenerator random, ResolverResultReader reader, long known,
            Consumer<ResolverResult> results, Runnable failures) {
        this.loop = loop;
        this.address = address;
        this.patience = patience;
        this.random = random;
        this.reader = reader;
        this.version = known;
        this.results = results;
        this.failures = failures;
        this.bootstrap = new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, loop.buffers());
        this.watch = new Asks(true, longest);
    }

    /** These figures count from now on; a wait that has begun may last for as long as it was to. */
    public void apply(ResolverPatience next) {
        patience = next;
        watch.clock.apply(next);
    }

    @Override
    public void subscribe(boolean on) {
        if (on) {
            watch.clock.ask(loop.now());
        } else {
            watch.clock.end();
        }
    }

    /**
     * Discovery has moved: calls go to its new address from now on, and so does the watch. Guards against a
     * gap in the list: the watch at the old address goes on telling until the new one does.
     */
    public void moveTo(InetSocketAddress next) {
        if (!next.equals(address)) {
            address = next;
            watch.clock.move(loop.now());
        }
    }

    @Override
    public void fetch() {
        new Asks(false, 0).clock.ask(loop.now());
    }

    /** The calls that are out for the watch, or for one whole list. */
    private final class Asks implements ResolverClock.Actions {
        private final boolean follows;
        private final ResolverClock clock;
        private final Map<Integer, Call> calls = new HashMap<>();
        private Timers.Timer timer;

        Asks(boolean follows, long longest) {
            this.follows = follows;
            this.clock = new ResolverClock(follows, longest, patience, random, this);
        }

        @Override
        public void open(int call) {
            Call next = new Call(this, call);
            calls.put(call, next);
            next.open(follows ? LIST + "?follow=1&since=" + version : LIST);
        }

        @Override
        public void drop(int call, String why) {
            Call dropped = calls.remove(call);
            if (dropped != null) {
                if (why != null) {
                    dropped.warn(why);
                }
                dropped.close();
            }
        }

        /** Reads first: guards against a loop that was late taking for silent what has come meanwhile. */
        @Override
        public void wake(long at) {
            if (timer != null) {
                timer.cancel();
            }
            timer = loop.at(at, () -> timer = loop.at(loop.now() + TURN, () -> clock.due(loop.now())));
        }

        @Override
        public void failed() {
            if (follows || !watch.clock.busy()) {
                failures.run(); // else the watch stands, and tells what the call would have
            }
        }
    }

    /** One call to discovery, on a connection of its own. It fails once at the most. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> implements ObjectStream.Events {
        private final Asks asks;
        private final int number;
        private final ObjectStream objects = new ObjectStream(MOST_LIST, this);
        private final HttpDecoder decoder = HttpDecoder.ofStreams(objects);
        private final InetSocketAddress to = address;
        private Channel channel;
        private boolean over;
        private boolean answered;

        Call(Asks asks, int number) {
            this.asks = asks;
            this.number = number;
        }

        void open(String target) {
            // As patient as the call itself: a connection may come up late.
            Bootstrap own = bootstrap.clone().handler(this)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (patience.call() / 1_000_000));
            loop.connect(own, to, connected -> {
                if (over) {
                    close();
                } else if (connected.isSuccess()) {
                    channel.writeAndFlush(HttpEncoder.get(loop.buffers(), target,
                            to.getAddress().getHostAddress() + ":" + to.getPort()));
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
            try {
                Message end = decoder.decode(in);
                if (end != null && end.head().status() == 200) {
                    objects.end();
                }
                if (answered && !asks.follows) {
                    close();
                } else if (end != null || refused()) {
                    fail("ended with status " + (end == null ? decoder.head() : end.head()).status());
                }
            } catch (BadMessageException | IllegalArgumentException e) {
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
                asks.clock.begun(loop.now(), number);
            }
        }

        /** An empty line only says that the watch is alive. */
        @Override
        public void line() {
            if (!over && asks.follows && !refused()) {
                asks.clock.blank(loop.now(), number);
            }
        }

        /** One object of the answer. */
        @Override
        public void object(String text) {
            if (over || refused()) {
                return;
            }
            JsonObject told = JsonObject.parse(text);
            boolean outdated = told.whole("version") < version
                    && !(asks.follows && told.flag("full", false));
            if (outdated && !asks.follows) {
                // Guards against a late answer taking back what the watch has told since.
                fail("older than what is known");
                return;
            }
            // Not read: guards against what is outdated undoing what is known of nodes.
            ResolverResult result = outdated ? null : reader.read(told);
            answered = true;
            asks.clock.told(loop.now(), number);
            if (outdated) {
                return; // a change that the watch at the former address has told already
            }
            version = result.version();
            loop.log().debug("discovery.told").with("version", version)
                    .with("list", result.full() ? "full" : "changes").with("nodes", result.nodes().size())
                    .write();
            results.accept(result);
        }

        private void warn(String why) {
            loop.log().warn("discovery.failed").with("call", asks.follows ? "watch" : "list").with("at", to)
                    .with("why", why).write();
        }

        private void fail(String why) {
            if (!over) {
                warn(why);
                close();
                asks.calls.remove(number);
                asks.clock.broke(loop.now(), number);
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
