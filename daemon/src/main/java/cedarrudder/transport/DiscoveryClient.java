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
 * The connections to discovery: the watch for changes, and calls for the whole list. A {@link
 * DiscoveryPollSchedule} for the watch, and one for each whole list, decides when calls are made
 * and given up.
 */
public final class DiscoveryClient implements EndpointDiscovery {

    /** The reason for dropping a call that is written to the log. */
    private static final String SILENT_REASON = "silent";

    private static final String LIST_PATH = "/catalog/members";

    /** The maximum size of a list, in bytes. */
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    /** The time for which pending input is read before a call is judged silent, in nanoseconds. */
    private static final long READ_TURN_NANOS = 1_000_000L;

    /**
     * The time within which a connection may still be established, in nanoseconds. A new call does
     * not wait for a connection that takes longer: lost packets are retransmitted at growing
     * intervals.
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

    /**
     * The latest version for which no endpoint was left out; changes are requested from this
     * version on.
     */
    private long completeVersion;

    private boolean incomplete;
    private boolean refetchScheduled;

    /**
     * Creates a client that has made no call yet.
     *
     * @param maxBackoffNanos the maximum time from a failure to the next watch call, in nanoseconds
     * @param version the version of the list that the proxy starts with
     * @param unavailableListener called when all calls have failed
     * @param listReader leaves out endpoints for which there is no capacity; null: all are read
     * @param refetchDelay the time after which the whole list is requested again if endpoints were
     *     left out, in nanoseconds; a random part of up to half as much is added
     */
    public DiscoveryClient(
            ProxyEventLoop loop,
            InetSocketAddress address,
            DiscoveryTimeouts timeouts,
            long maxBackoffNanos,
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
        this.watch = new DiscoveryRequests(true, maxBackoffNanos);
    }

    /** Sets the timeouts that apply from now on; a wait that has begun keeps its length. */
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
     * Sets a new address of discovery, to which calls and the watch go from now on. The watch at
     * the old address continues to deliver changes until the new one is established, so that no
     * change is missed.
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
     * Records whether a list that was applied is complete. If endpoints were left out, the version
     * from which changes are requested stays behind: discovery would not send these endpoints
     * again.
     *
     * @param all whether the list contained all endpoints that were left out before
     */
    private void onListApplied(boolean all) {
        boolean endpointsLeftOut = listReader != null && listReader.last().waits() > 0;
        if (endpointsLeftOut) {
            logRefusedEndpoints();
        }
        incomplete = endpointsLeftOut || incomplete && !all;
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
     * Records that endpoints were left out of the list with which the process started, so that they
     * are requested from discovery.
     */
    public void onCachedListIncomplete() {
        logRefusedEndpoints();
        incomplete = true;
        completeVersion = 0;
        scheduleRefetch();
    }

    /**
     * Schedules another fetch of the whole list if it is incomplete. The delay prevents a loop of
     * calls for a list that still does not fit.
     */
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

    /** The calls in flight for the watch, or for one whole list. */
    private final class DiscoveryRequests implements DiscoveryPollSchedule.Actions {
        private final boolean isWatch;
        private final DiscoveryPollSchedule schedule;
        private final Map<Integer, DiscoveryCall> calls = new HashMap<>();
        private TimerService.Timer timer;

        /** A spare connection without a call; null if there is none. */
        private DiscoveryCall spareCall;

        DiscoveryRequests(boolean isWatch, long maxBackoffNanos) {
            this.isWatch = isWatch;
            this.schedule =
                    new DiscoveryPollSchedule(isWatch, maxBackoffNanos, timeouts, random, this);
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
         * Schedules the timer in two steps, so that pending input is read first: a late event loop
         * would otherwise count a call as silent whose response has been received and not read.
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
                        .run(); // otherwise the watch is established and reports any changes
            }
        }
    }

    /** A call to discovery, on a separate connection. The call reports at most one failure. */
    private final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf>
            implements ObjectStream.Events {
        private final DiscoveryRequests requests;
        private final ObjectStream objects = new ObjectStream(MAX_LIST_BYTES, this);
        private final HttpDecoder decoder = HttpDecoder.ofStreams(objects);
        private final InetSocketAddress peerAddress = address;
        private final long connectStartedAt = loop.now();

        /** The number of the call in the schedule; 0 for a spare connection. */
        private int callNumber;

        private String target;
        private long requestedSince;
        private Channel channel;
        private boolean connected;
        private boolean closed;
        private boolean answered;

        DiscoveryCall(DiscoveryRequests requests) {
            this.requests = requests;
        }

        /**
         * Returns whether a new call could be sent on this connection at least as soon as on a new
         * one.
         */
        boolean isUsable() {
            return !closed
                    && peerAddress.equals(address)
                    && (connected || loop.now() - connectStartedAt < CONNECT_GRACE_NANOS);
        }

        void start(int call, String requestTarget) {
            callNumber = call;
            target = requestTarget;
            requestedSince = completeVersion;
            send();
        }

        private void send() {
            if (connected && target != null) {
                requests.schedule.onConnected(callNumber);
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
            // The connect timeout equals that of the call: a connection may be established late.
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
                            fail("failed to connect");
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
                fail("response received before the request was sent");
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

        /**
         * Returns whether the response has a status other than 200, so that its body is not a list.
         */
        private boolean hasErrorStatus() {
            return decoder.head() != null && decoder.head().status() != 200;
        }

        @Override
        public void begun() {
            if (!closed && !hasErrorStatus()) {
                requests.schedule.onObjectStarted(loop.now(), callNumber);
            }
        }

        /** An empty line is a heartbeat of the watch. */
        @Override
        public void line() {
            if (!closed && requests.isWatch && !hasErrorStatus()) {
                requests.schedule.onHeartbeat(loop.now(), callNumber);
            }
        }

        /** Handles one object of the response. */
        @Override
        public void object(String text) {
            if (closed || hasErrorStatus()) {
                return;
            }
            boolean first = !answered;
            EndpointList result = applyUpdate(text);
            if (result != null) {
                if (listReader != null && listReader.roomier()) {
                    applyUpdate(text); // endpoints that were removed have freed capacity for others
                }
                onListApplied(result.full() || first && requestedSince <= completeVersion);
            }
        }

        /**
         * Parses an update and passes it to the listener; returns null if it contains nothing new.
         */
        private EndpointList applyUpdate(String text) {
            JsonObject message =
                    listReader == null ? JsonObject.parse(text) : listReader.read(text);
            boolean outdated =
                    message.integer("version") < version
                            && !(requests.isWatch && message.flag("full", false));
            if (outdated && !requests.isWatch) {
                // A late response must not undo changes that the watch has reported since.
                fail("list is older than the known version");
                return null;
            }
            // An outdated update is not parsed: it would undo what is known of endpoints.
            EndpointList result = outdated ? null : parser.read(message);
            answered = true;
            requests.schedule.onUpdate(loop.now(), callNumber);
            if (outdated) {
                return null; // a change that the watch at the old address has reported already
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
                close(); // a spare connection: no request has failed
            } else if (!closed) {
                if (!loop.isStopping()) { // otherwise a failed start would log a second fault
                    logFailure(why);
                }
                close();
                requests.calls.remove(callNumber);
                requests.schedule.onCallFailed(loop.now(), callNumber);
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
            fail("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString());
            context.close();
        }
    }
}
