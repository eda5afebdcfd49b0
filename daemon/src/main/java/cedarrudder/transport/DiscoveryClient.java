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
    private static final String SILENT_REASON = "silent";

    private static final String LIST_PATH = "/catalog/members";

    /** The largest list that is read. */
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    /** What has come meanwhile is read for this long, in nanoseconds, before silence is judged. */
    private static final long READ_TURN_NANOS = 1_000_000L;

    /**
     * A connection may come up so late, in nanoseconds. One that is still not up after it is not
     * waited for by a new call: what was lost on the way is sent again ever later.
     */
    private static final long CONNECT_GRACE_NANOS = 1_050_000_000L;

    private final ProxyEventLoop loop;
    private final EndpointListParser parser;
    private final RandomGenerator random;
    private final Consumer<EndpointList> updateListener;
    private final Runnable unavailableListener;
    private final Bootstrap bootstrap;
    private final DiscoveryRequests watch;
    private DiscoveryTimeouts timeouts;
    private InetSocketAddress address;
    private final EndpointListReader listReader;
    private final long refetchDelay;
    private long version;

    /** The last version of which nothing waits: changes are asked for from there. */
    private long completeVersion;

    private boolean incomplete;
    private boolean refetchScheduled;

    /**
     * @param longest this long after a failure the watch is asked for again at the latest, in
     *     nanoseconds
     * @param version the version of the list that the proxy starts with
     * @param unavailableListener called when no call is left to wait for
     * @param listReader leaves out what there is no room for; null: all is read
     * @param refetchDelay after this long, in nanoseconds, and by chance up to half as much more,
     *     the whole list is asked for anew where endpoints were left out
     */
    public DiscoveryClient(
            ProxyEventLoop loop,
            InetSocketAddress address,
            DiscoveryTimeouts timeouts,
            long longest,
            RandomGenerator random,
            EndpointListParser parser,
            long version,
            Consumer<EndpointList> updateListener,
            Runnable unavailableListener,
            EndpointListReader listReader,
            long refetchDelay) {
        this.loop = loop;
        this.address = address;
        this.timeouts = timeouts;
        this.random = random;
        this.parser = parser;
        this.version = version;
        this.completeVersion = version;
        this.updateListener = updateListener;
        this.unavailableListener = unavailableListener;
        this.listReader = listReader;
        this.refetchDelay = refetchDelay;
        this.bootstrap =
                new Bootstrap()
                        .group(loop.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, loop.buffers());
        this.watch = new DiscoveryRequests(true, longest);
    }

    /** These figures count from now on; a wait that has begun may last for as long as it was to. */
    public void setTimeouts(DiscoveryTimeouts next) {
        timeouts = next;
        watch.schedule.apply(next);
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            watch.schedule.poll(loop.now());
        } else {
            watch.schedule.stop();
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
            watch.schedule.onAddressChanged(loop.now());
        }
    }

    @Override
    public void fetchAll() {
        new DiscoveryRequests(false, 0).schedule.poll(loop.now());
    }

    /**
     * What was read counts. This avoids a version that is taken for known while endpoints of it
     * wait: discovery would tell them no more.
     *
     * @param all whether what came had all that waited before
     */
    private void onListTaken(boolean all) {
        boolean left = listReader != null && listReader.last().waits() > 0;
        if (left) {
            logRefusedEndpoints();
        }
        incomplete = left || incomplete && !all;
        completeVersion = incomplete ? Math.min(completeVersion, version) : version;
        scheduleRefetch();
    }

    private void logRefusedEndpoints() {
        EndpointListReader.Judged why = listReader.last();
        loop.log()
                .warn("footprint.exceeded")
                .with("bound", why.bound())
                .with("needed", why.needed())
                .with("capacity", why.capacity())
                .with("held", why.held())
                .with("wanted", why.wanted())
                .with("waiting", why.waits())
                .with("never", why.never())
                .write();
    }

    /**
     * Of the list with which the process starts endpoints were left out: discovery is to tell them.
     */
    public void onCachedListIncomplete() {
        logRefusedEndpoints();
        incomplete = true;
        completeVersion = 0;
        scheduleRefetch();
    }

    /** Not at once: this avoids calls without end for a list that still does not fit. */
    private void scheduleRefetch() {
        if (incomplete && !refetchScheduled) {
            refetchScheduled = true;
            loop.at(
                    loop.now() + refetchDelay + (long) (random.nextDouble() * refetchDelay / 2),
                    () -> {
                        refetchScheduled = false;
                        if (incomplete) {
                            fetchAll();
                            scheduleRefetch();
                        }
                    });
        }
    }

    /** The calls that are out for the watch, or for one whole list. */
    private final class DiscoveryRequests implements DiscoveryPollSchedule.Actions {
        private final boolean isWatch;
        private final DiscoveryPollSchedule schedule;
        private final Map<Integer, DiscoveryCall> calls = new HashMap<>();
        private TimerService.Timer timer;

        /** A connection without a call yet; null: none. */
        private DiscoveryCall spareCall;

        DiscoveryRequests(boolean isWatch, long longest) {
            this.isWatch = isWatch;
            this.schedule = new DiscoveryPollSchedule(isWatch, longest, timeouts, random, this);
        }

        @Override
        public void open(int call) {
            DiscoveryCall next = spareCall;
            spareCall = null;
            if (next == null || !next.isUsable()) {
                if (next != null) {
                    next.close();
                }
                next = new DiscoveryCall(this);
                next.connect();
            }
            calls.put(call, next);
            next.start(
                    call, isWatch ? LIST_PATH + "?follow=1&since=" + completeVersion : LIST_PATH);
        }

        @Override
        public void dialSpare(boolean wanted) {
            if (spareCall != null) {
                spareCall.close();
            }
            spareCall = wanted ? new DiscoveryCall(this) : null;
            if (wanted) {
                spareCall.connect();
            }
        }

        @Override
        public void drop(int call, DiscoveryPollSchedule.DropReason reason) {
            DiscoveryCall dropped = calls.remove(call);
            if (dropped != null) {
                if (reason == DiscoveryPollSchedule.DropReason.SILENT) {
                    dropped.logFailure(SILENT_REASON);
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
                                                    loop.now() + READ_TURN_NANOS,
                                                    () -> schedule.onTimer(loop.now())));
        }

        @Override
        public void onUnavailable() {
            if (isWatch || !watch.schedule.isActive()) {
                unavailableListener
                        .run(); // else the watch stands, and tells what the call would have
            }
        }
    }

    /** One call to discovery, on a connection of its own. It fails once at most. */
    private final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf>
            implements ObjectStream.Events {
        private final DiscoveryRequests requests;
        private final ObjectStream objects = new ObjectStream(MAX_LIST_BYTES, this);
        private final HttpDecoder decoder = HttpDecoder.ofStreams(objects);
        private final InetSocketAddress peerAddress = address;
        private final long connectStartedAt = loop.now();

        /** The clock's; 0 for a spare connection. */
        private int number;

        private String target;
        private long requestedSince;
        private Channel channel;
        private boolean connected;
        private boolean closed;
        private boolean answered;

        DiscoveryCall(DiscoveryRequests requests) {
            this.requests = requests;
        }

        /** Whether a new call can go out on this connection now, or as soon as on a new one. */
        boolean isUsable() {
            return !closed
                    && peerAddress.equals(address)
                    && (connected || loop.now() - connectStartedAt < CONNECT_GRACE_NANOS);
        }

        void start(int call, String what) {
            number = call;
            target = what;
            requestedSince = completeVersion;
            send();
        }

        private void send() {
            if (connected && target != null) {
                requests.schedule.onConnected(number);
                channel.writeAndFlush(
                        HttpEncoder.get(
                                loop.buffers(),
                                target,
                                peerAddress.getAddress().getHostAddress()
                                        + ":"
                                        + peerAddress.getPort()));
            }
        }

        void connect() {
            // As patient as the call itself: a connection may come up late.
            Bootstrap own =
                    bootstrap
                            .clone()
                            .handler(this)
                            .option(
                                    ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                    (int) (timeouts.callNanos() / 1_000_000));
            loop.connect(
                    own,
                    peerAddress,
                    connecting -> {
                        if (closed) {
                            close();
                        } else if (connecting.isSuccess()) {
                            connected = true;
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
            if (closed) {
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
                if (answered && !requests.isWatch) {
                    close();
                } else if (end != null || hasErrorStatus()) {
                    fail(
                            "ended with status "
                                    + (end == null ? decoder.head() : end.head()).status());
                }
            } catch (MalformedMessageException | IllegalArgumentException e) {
                fail(e.getMessage());
            }
        }

        /** Whether what comes is no list. */
        private boolean hasErrorStatus() {
            return decoder.head() != null && decoder.head().status() != 200;
        }

        @Override
        public void begun() {
            if (!closed && !hasErrorStatus()) {
                requests.schedule.onObjectStarted(loop.now(), number);
            }
        }

        /** An empty line only says that the watch is alive. */
        @Override
        public void line() {
            if (!closed && requests.isWatch && !hasErrorStatus()) {
                requests.schedule.onHeartbeat(loop.now(), number);
            }
        }

        /** One object of the answer. */
        @Override
        public void object(String text) {
            if (closed || hasErrorStatus()) {
                return;
            }
            boolean first = !answered;
            EndpointList result = take(text);
            if (result != null) {
                if (listReader != null && listReader.roomier()) {
                    take(text); // what has left made room for more of it
                }
                onListTaken(result.full() || first && requestedSince <= completeVersion);
            }
        }

        /** Reads and passes on; null: it tells nothing new. */
        private EndpointList take(String text) {
            JsonObject message =
                    listReader == null ? JsonObject.parse(text) : listReader.read(text);
            boolean outdated =
                    message.integer("version") < version
                            && !(requests.isWatch && message.flag("full", false));
            if (outdated && !requests.isWatch) {
                // This avoids a late answer taking back what the watch has reported since.
                fail("older than what is known");
                return null;
            }
            // Not read: this avoids what is outdated undoing what is known of endpoints.
            EndpointList result = outdated ? null : parser.read(message);
            answered = true;
            requests.schedule.onUpdate(loop.now(), number);
            if (outdated) {
                return null; // a change that the watch at the former address has reported already
            }
            version = result.version();
            loop.log()
                    .debug("discovery.updated")
                    .with("version", version)
                    .with("list", result.full() ? "full" : "changes")
                    .with("endpoints", result.nodes().size())
                    .write();
            updateListener.accept(result);
            return result;
        }

        private void logFailure(String why) {
            loop.log()
                    .warn("discovery.failed")
                    .with("call", requests.isWatch ? "watch" : "list")
                    .with("at", peerAddress)
                    .with("why", why)
                    .write();
        }

        private void fail(String why) {
            if (target == null) {
                close(); // it was a spare one: nothing that was asked has failed
            } else if (!closed) {
                if (!loop.isStopping()) { // else a start that failed would tell of a second fault
                    logFailure(why);
                }
                close();
                requests.calls.remove(number);
                requests.schedule.onCallFailed(loop.now(), number);
            }
        }

        void close() {
            closed = true;
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
