package cedarrudder.program;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.balancer.PrequalBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.TimerService;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.LoadReportParser;
import cedarrudder.protocol.MalformedMessageException;
import cedarrudder.transport.EndpointConnectionPool;
import cedarrudder.transport.EndpointLimits;
import cedarrudder.transport.ProxyEventLoop;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Sends some requests from the proxy to itself before the proxy reports that it is ready, so that
 * the code that handles requests is loaded and partly compiled.
 *
 * <p>Otherwise the first clients would meet a program that needs milliseconds of its core for each
 * request: with all proxies of a machine starting at once, loops were up to 355 ms late and 31
 * requests received no response in time.
 *
 * <p>The requests are sent through a separate forwarder, balancer and connection pool, which are
 * dropped afterwards, and arrive at the proxy's listener, where this class answers them: they are
 * recognized by an id that nobody else can know.
 */
final class Warmup {

    /** The total number of requests; the code they exercise is the same whatever the settings. */
    private static final int REQUESTS = 100;

    /**
     * The number of requests in flight, so that the warm-up does not mostly wait for the network.
     */
    private static final int PARALLEL_REQUESTS = 4;

    /**
     * Limits the reuse of connections, since the first connections of clients all arrive at once:
     * the code for a new connection has to run often too.
     */
    private static final int REQUESTS_PER_CONNECTION = 3;

    /** The maximum time for which the warm-up delays readiness. */
    private static final long TIMEOUT_NANOS = 3_000_000_000L;

    private static final long SELF_ENDPOINT = 1;

    private final ProxyEventLoop loop;
    private final BalancerSettings settings;
    private final RequestForwarder<HttpMessage, HttpMessage> forwarder;
    private final EndpointConnectionPool connections;
    private final String token;
    private final HttpMessage request;
    private final Runnable whenDone;
    private int sent;
    private int inFlight;
    private boolean finished;

    /**
     * Creates the warm-up.
     *
     * @param at the address at which the proxy listens now, and no other process does
     */
    Warmup(
            ProxyEventLoop loop,
            ProxyConfiguration configuration,
            InetSocketAddress at,
            Logger log,
            Runnable whenDone)
            throws MalformedMessageException {
        this.loop = loop;
        this.whenDone = whenDone;
        settings = configuration.site().module();
        SplittableRandom random = new SplittableRandom(configuration.seed());
        token =
                "warm-up-"
                        + Long.toHexString(random.nextLong())
                        + Long.toHexString(random.nextLong());
        String text = requestText();
        request = HttpMessage.requestOf(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        forwarder =
                new RequestForwarder<>(
                        actions -> new PrequalBalancer(settings, random, actions),
                        settings.limits().maxAttempts(),
                        new WarmupTimers(),
                        log);
        connections =
                new EndpointConnectionPool(
                        loop,
                        forwarder,
                        configuration.site(),
                        EndpointLimits.DEFAULT,
                        new EndpointLimits.Bounds(REQUESTS, REQUESTS),
                        new RequestMetrics(settings.classes().size()),
                        new BufferAccount(BufferAccount.MAX));
        forwarder.attach(new SelfTransport(), new NoDiscovery(), (replica, message) -> {});
        Endpoint self =
                new Endpoint(SELF_ENDPOINT, settings.zone(), 0, 0, EndpointStatus.READY, 1, 0);
        connections.onEndpoints(
                new EndpointList(
                        0, true, List.of(new EndpointList.Node("self", self, at)), List.of()));
        forwarder.endpointsUpdated(EndpointListKind.FULL, List.of(self));
    }

    /** Returns a request of the first class, which costs nothing and changes nothing. */
    private String requestText() {
        String kind = settings.classes().get(0).name();
        String method =
                switch (settings.classes().get(0).idempotency()) {
                    case SAFE -> "GET /warm-up HTTP/1.1\r\n";
                    case KEYED -> "POST /warm-up HTTP/1.1\r\nIdempotency-Key: " + token + "\r\n";
                    case UNSAFE -> "POST /warm-up HTTP/1.1\r\n";
                };
        String owner =
                settings.tenants().isEmpty()
                        ? ""
                        : "Req-Owner: " + settings.tenants().get(0).name() + "\r\n";
        return method
                + ("Host: self\r\nReq-Id: " + token + "\r\nReq-Kind: " + kind + "\r\n")
                + owner
                + "Req-Deadline-Ms: 1000\r\n\r\n";
    }

    /** Starts the warm-up; must be called on the loop. */
    void start() {
        loop.at(loop.now() + TIMEOUT_NANOS, this::finish);
        for (int i = 0; i < PARALLEL_REQUESTS; i++) {
            sendNext();
        }
    }

    /**
     * Returns a handler that answers a request if it is one of the warm-up's own; the handler
     * retains only the id. The handler must stay installed as long as the proxy runs: after a
     * timeout of the warm-up, or with a hedged request in flight, bytes of a request may be read
     * after the warm-up has ended. Such a request has been forwarded to an endpoint on a busy core.
     */
    BiPredicate<Exchange<HttpMessage, HttpMessage>, Exchange.Reply<HttpMessage>> ownResponses() {
        String own = token;
        HttpMessage answer = request;
        return (exchange, reply) -> {
            boolean mine = own.equals(exchange.content().head().fields().get("req-id"));
            if (mine) {
                reply.served(answer);
            }
            return mine;
        };
    }

    private void sendNext() {
        if (finished || sent == REQUESTS) {
            if (inFlight == 0) {
                finish();
            }
            return;
        }
        inFlight++;
        if (++sent % REQUESTS_PER_CONNECTION == 0) {
            connections.closeIdleConnections(SELF_ENDPOINT);
        }
        long deadline = loop.now() + TIMEOUT_NANOS;
        Request event = new Request(sent, 0, 0, deadline, 0, false, false, 0);
        forwarder.accept(new Exchange<>(event, request, new Reply()));
    }

    private void finish() {
        if (!finished) {
            finished = true;
            connections.close();
            whenDone.run();
        }
    }

    private final class Reply implements Exchange.Reply<HttpMessage> {
        @Override
        public void served(HttpMessage answer) {
            inFlight--;
            // Deferred, since the forwarder is still processing this request.
            loop.run(Warmup.this::sendNext);
        }

        @Override
        public void rejected(long retryAfter) {
            served(null); // a request rejected because of the others is no reason to end the
            // warm-up
        }

        @Override
        public void failed() {
            finish();
        }

        @Override
        public boolean isClientWaiting() {
            return true;
        }
    }

    /** The timers of the warm-up: what its balancer has scheduled is dropped once it ends. */
    private final class WarmupTimers implements TimerService {
        @Override
        public long now() {
            return loop.now();
        }

        @Override
        public Timer at(long instant, Runnable task) {
            return loop.at(
                    instant,
                    () -> {
                        if (!finished) {
                            task.run();
                        }
                    });
        }
    }

    /**
     * The connections to the proxy itself; probes are answered here, since the listener answers
     * none.
     */
    private final class SelfTransport implements AttemptTransport<HttpMessage, HttpMessage> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return connections.knowsEndpoint(endpoint);
        }

        @Override
        public void startAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
            connections.startAttempt(attempt);
        }

        @Override
        public void abandonAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
            connections.abandonAttempt(attempt);
        }

        @Override
        public void sendProbe(long endpoint) {
            forwarder.probeEnded(
                    endpoint,
                    Outcome.OK,
                    0,
                    LoadReportParser.parse("TEXT latency_ms=1, inflight=0, util=0"));
        }

        @Override
        public void closeIdleConnections(long endpoint) {
            connections.closeIdleConnections(endpoint);
        }
    }

    private static final class NoDiscovery implements EndpointDiscovery {
        @Override
        public void watch(boolean on) {}

        @Override
        public void fetchAll() {}
    }
}
