package cedarrudder.transport;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.SiteSettings;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The client side of the proxy: the pool of connections to endpoints, and the attempts and probes
 * in flight on them. Used on the event loop only.
 */
public final class EndpointConnectionPool implements AttemptTransport<HttpMessage, HttpMessage> {

    /** The interval between two sweeps over idle connections. */
    private static final long SWEEP_NANOS = 1_000_000_000L;

    /**
     * The time after a response within which its connection is not used again while endpoints send
     * second copies of responses: one that comes late would be read as the response to the next
     * request.
     */
    private static final long REUSE_DELAY_NANOS = 60_000_000L;

    /** How long connections are used with that delay after unexpected bytes of any endpoint. */
    private static final long REUSE_DELAYED_FOR_NANOS = 10_000_000_000L;

    /**
     * The fraction of the idle limit after which idle connections are closed: endpoints may close
     * them a little early.
     */
    private static final double IDLE_LIMIT_FRACTION = 0.8;

    /**
     * The maximum number of bytes of one read, which is also the size of a piece of a streamed
     * body. One such piece may be buffered for each of many slow clients.
     */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int FIRST_READ_BYTES = 1024;
    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 1_000_000_000L;

    /** The delay after which a connect is repeated that failed on this machine. */
    private static final long RECONNECT_NANOS = 10_000_000L;

    /** How the error of a refused connection begins; the class of several errors is the same. */
    private static final String CONNECTION_REFUSED = "Connection refused";

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The connect timeout is at most this fraction of the drain grace: an attempt must not be
     * written after the grace because its connection was slow to establish.
     */
    private static final double CONNECT_GRACE_FRACTION = 0.5;

    private final ProxyEventLoop loop;
    private final RequestForwarder<HttpMessage, HttpMessage> forwarder;
    private final SiteSettings.Reports reports;
    private final RequestMetrics metrics;
    private final BufferAccount buffers;
    private final Bootstrap bootstrap;
    private final long connectTimeoutNanos;
    private final long idleLimitNanos;
    private EndpointLimits limits;
    private EndpointLimits.Bounds bounds;
    private final Map<Long, UpstreamEndpoint> endpoints = new HashMap<>();
    private final Map<RequestAttempt<HttpMessage, HttpMessage>, EndpointCall> attempts =
            new IdentityHashMap<>();
    private TimerService.Timer sweepTimer;
    private int open;

    /** The instant until which connections are used again only some time after a response. */
    private long reuseDelayedUntil = Long.MIN_VALUE;

    /**
     * Creates a pool without connections.
     *
     * @param bounds the bounds on the number of connections
     * @param metrics counts the attempts
     * @param buffers the account of all buffered bytes
     */
    public EndpointConnectionPool(
            ProxyEventLoop loop,
            RequestForwarder<HttpMessage, HttpMessage> forwarder,
            SiteSettings site,
            EndpointLimits limits,
            EndpointLimits.Bounds bounds,
            RequestMetrics metrics,
            BufferAccount buffers) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.reports = site.reports();
        this.limits = limits;
        this.bounds = bounds;
        this.metrics = metrics;
        this.buffers = buffers;
        long idle = site.module().limits().connectionIdleNanos();
        this.idleLimitNanos = idle == 0 ? Long.MAX_VALUE : (long) (idle * IDLE_LIMIT_FRACTION);
        this.connectTimeoutNanos = connectTimeoutNanos(site.module());
        this.bootstrap = bootstrap();
        sweepTimer = loop.at(loop.now() + SWEEP_NANOS, this::sweep);
    }

    private Bootstrap bootstrap() {
        return new Bootstrap()
                .group(loop.group())
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, loop.buffers())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(
                                FIRST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, BodyWriter.WRITE_AHEAD)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) Math.max(1, connectTimeoutNanos / NANOS_PER_MILLI));
    }

    private static long connectTimeoutNanos(BalancerSettings settings) {
        long set = settings.limits().connectTimeoutNanos();
        long grace = settings.safety().drainGraceNanos();
        return Math.min(
                set == 0 ? DEFAULT_CONNECT_TIMEOUT_NANOS : set,
                grace == 0 ? Long.MAX_VALUE : (long) (grace * CONNECT_GRACE_FRACTION));
    }

    /**
     * Sets the limits that apply from now on. Open connections keep their limits on bytes. If there
     * are more connections than the new bound, idle ones are closed.
     */
    public void apply(EndpointLimits next, EndpointLimits.Bounds nextBounds) {
        limits = next;
        bounds = nextBounds;
        for (int excess = open - bounds.maxIdle(); excess > 0; excess--) {
            closeOldestIdle();
        }
    }

    /** Closes the idle connections; attempts in flight end by themselves. */
    public void close() {
        sweepTimer.cancel();
        endpoints.values().forEach(UpstreamEndpoint::remove);
    }

    // ---- endpoints

    /**
     * Applies an endpoint list. An endpoint that is removed, or has another address, is removed
     * with its connections: none of them may be used for another endpoint that now has its former
     * address.
     */
    public void onEndpoints(EndpointList list) {
        Set<Long> listed = new HashSet<>();
        for (EndpointList.Node entry : list.nodes()) {
            long id = entry.endpoint().id();
            UpstreamEndpoint known = endpoints.get(id);
            boolean stays = entry.endpoint().status() != EndpointStatus.REMOVED;
            boolean sameAddress = known != null && known.address().equals(entry.address());
            if (known != null && !(stays && sameAddress)) {
                endpoints.remove(id).remove();
            }
            if (stays) {
                listed.add(id);
                endpoints
                        .computeIfAbsent(id, added -> new UpstreamEndpoint(entry.address()))
                        .setStartedAt(entry.endpoint().startedAt());
            }
        }
        if (list.full()) {
            removeUnlisted(listed);
        }
    }

    private void removeUnlisted(Set<Long> listed) {
        for (long id : List.copyOf(endpoints.keySet())) {
            if (!listed.contains(id)) {
                endpoints.remove(id).remove();
            }
        }
    }

    @Override
    public boolean knowsEndpoint(long endpoint) {
        return endpoints.containsKey(endpoint);
    }

    /**
     * Returns whether the last attempts at an endpoint all failed, without a response between them.
     */
    public boolean isFailing(long endpoint) {
        UpstreamEndpoint known = endpoints.get(endpoint);
        return known != null && known.isFailing();
    }

    /** Returns the number of attempts in flight, including streamed responses, by endpoint. */
    public Map<Long, Integer> attemptsInFlight() {
        Map<Long, Integer> inFlight = new HashMap<>();
        attempts.keySet().forEach(attempt -> inFlight.merge(attempt.endpoint(), 1, Integer::sum));
        return inFlight;
    }

    // ---- attempts and probes

    @Override
    public void startAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
        UpstreamEndpoint endpoint = endpoints.get(attempt.endpoint());
        EndpointCall call = new AttemptCall(this, attempt, endpoint);
        attempts.put(attempt, call);
        send(endpoint, call);
    }

    @Override
    public void abandonAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
        EndpointCall call = attempts.remove(attempt);
        if (call != null) {
            call.abandon();
        }
    }

    @Override
    public void sendProbe(long endpointId) {
        UpstreamEndpoint endpoint = endpoints.get(endpointId);
        send(endpoint, new ProbeCall(this, endpointId, endpoint));
    }

    /** Records that an endpoint has sent bytes that belong to no response. */
    void onUnexpectedBytes(UpstreamEndpoint endpoint) {
        reuseDelayedUntil = loop.now() + REUSE_DELAYED_FOR_NANOS;
        loop.log().debug("endpoint.unexpected_bytes").with("endpoint", endpoint.address()).write();
    }

    /** Removes an attempt that has ended. */
    void onAttemptEnded(RequestAttempt<HttpMessage, HttpMessage> attempt) {
        attempts.remove(attempt);
    }

    /**
     * Sends a call on an idle connection, or on a new one. One on which a second copy of the last
     * response may still arrive is used only if the new one would replace an idle one.
     */
    private void send(UpstreamEndpoint endpoint, EndpointCall call) {
        long now = loop.now();
        boolean delaysReuse = now < reuseDelayedUntil && open < bounds.maxIdle();
        EndpointConnection idle =
                takeReusable(endpoint, delaysReuse ? now - REUSE_DELAY_NANOS : now);
        if (idle != null) {
            idle.send(call);
            return;
        }
        boolean evicted = open >= bounds.maxIdle() && closeOldestIdle();
        if (open >= bounds.max() && !evicted) {
            call.notStarted(); // operators and discovery need the remaining descriptors
            return;
        }
        connect(endpoint, call);
    }

    /**
     * Removes and returns the idle connection that was used last, of those without a response after
     * an instant, and closes those of them that may not be used again; null if there is none.
     */
    private static EndpointConnection takeReusable(UpstreamEndpoint endpoint, long noAnswerAfter) {
        EndpointConnection idle = endpoint.takeIdleWithoutAnswerAfter(noAnswerAfter);
        while (idle != null && !idle.isReusable()) {
            idle.close();
            idle = endpoint.takeIdleWithoutAnswerAfter(noAnswerAfter);
        }
        return idle;
    }

    private void connect(UpstreamEndpoint endpoint, EndpointCall call) {
        connect(endpoint, call, loop.now() + connectTimeoutNanos);
    }

    /** Connects; repeats that until an instant if it fails on this machine. */
    private void connect(UpstreamEndpoint endpoint, EndpointCall call, long repeatUntil) {
        EndpointConnection connection = new EndpointConnection(this, endpoint);
        loop.connect(
                bootstrap.clone().handler(connection),
                endpoint.address(),
                done -> {
                    if (done.isSuccess()) {
                        connection.onConnected(call);
                    } else if (done.cause() instanceof ChannelException) {
                        call.notStarted(); // no descriptor is available
                    } else if (isRefused(done.cause()) || loop.now() >= repeatUntil) {
                        call.connectionFailed();
                    } else {
                        loop.at(
                                loop.now() + RECONNECT_NANOS,
                                () -> reconnect(endpoint, call, repeatUntil));
                    }
                });
    }

    private void reconnect(UpstreamEndpoint endpoint, EndpointCall call, long repeatUntil) {
        if (!call.hasEnded()) {
            connect(endpoint, call, repeatUntil);
        }
    }

    /**
     * Returns whether a failure to connect is the endpoint's: it refused the connection or did not
     * accept it in time. All others are of this machine, such as no address or no route for a
     * moment, and say nothing about the endpoint.
     */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectTimeoutException
                || cause instanceof ConnectException
                        && String.valueOf(cause.getMessage()).contains(CONNECTION_REFUSED);
    }

    // ---- idle connections

    @Override
    public void closeIdleConnections(long endpoint) {
        UpstreamEndpoint known = endpoints.get(endpoint);
        if (known != null) {
            known.closeIdle();
        }
    }

    /** Closes the connection that has been idle longest; returns false if none is idle. */
    private boolean closeOldestIdle() {
        EndpointConnection oldest = null;
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            EndpointConnection first = endpoint.oldestIdle();
            if (first != null && (oldest == null || first.idleSince() < oldest.idleSince())) {
                oldest = first;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.close();
        return true;
    }

    private void sweep() {
        sweepTimer = loop.at(loop.now() + SWEEP_NANOS, this::sweep);
        for (UpstreamEndpoint endpoint : endpoints.values()) {
            EndpointConnection oldest = endpoint.oldestIdle();
            while (oldest != null && loop.now() - oldest.idleSince() > idleLimitNanos) {
                oldest.close();
                oldest = endpoint.oldestIdle();
            }
        }
    }

    // ---- state that calls and connections use

    /** Returns the number of connections. */
    public int open() {
        return open;
    }

    void onOpened() {
        open++;
    }

    void onClosed() {
        open--;
    }

    ProxyEventLoop loop() {
        return loop;
    }

    RequestForwarder<HttpMessage, HttpMessage> forwarder() {
        return forwarder;
    }

    RequestMetrics metrics() {
        return metrics;
    }

    BufferAccount buffers() {
        return buffers;
    }

    SiteSettings.Reports reports() {
        return reports;
    }

    EndpointLimits limits() {
        return limits;
    }

    long idleLimitNanos() {
        return idleLimitNanos;
    }
}
