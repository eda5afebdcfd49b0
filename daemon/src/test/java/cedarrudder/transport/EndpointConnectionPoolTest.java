package cedarrudder.transport;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.PeerTransport;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.EndpointList;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.SettingsReader;
import cedarrudder.protocol.SiteSettings;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.testng.annotations.Test;

/** Tests what is reported to the balancer if this process itself runs out of resources. */
public class EndpointConnectionPoolTest {

    /** A client that waits for its response. */
    private static final class WaitingClient implements Exchange.Reply<HttpMessage> {
        @Override
        public void served(HttpMessage answer) {}

        @Override
        public void rejected(long retryAfter) {}

        @Override
        public void failed() {}

        @Override
        public boolean isClientWaiting() {
            return true;
        }
    }

    /**
     * An endpoint must not count as failing, or as out of connections, because this process has no
     * capacity for a connection to it.
     */
    @Test
    public void aProbeWithoutCapacityForItsConnectionEndsAsNotStarted() throws Exception {
        assertEquals(
                firstOutcome(
                        (forwarder, pool) -> {
                            pool.sendProbe(1);
                            pool.sendProbe(1);
                        }),
                Outcome.NOT_STARTED,
                "the second probe, for which there is no connection");
    }

    /** Otherwise a client would wait until its deadline for a request that can't be encoded. */
    @Test
    public void aRequestThatCanNotBeEncodedEndsAsNotStartedAtOnce() throws Exception {
        LoadBalancer.Request request =
                new LoadBalancer.Request(1, 0, 0, Long.MAX_VALUE, 0, false, false, 0);
        assertEquals(
                firstOutcome(
                        (forwarder, pool) ->
                                forwarder.accept(
                                        new Exchange<>(
                                                request,
                                                new HttpMessage(null, null),
                                                new WaitingClient()))),
                Outcome.NOT_STARTED);
    }

    /**
     * Runs actions against a pool with one silent endpoint, to which the balancer sends each
     * request; returns the first outcome that is reported to the balancer.
     */
    private static Object firstOutcome(
            BiConsumer<RequestForwarder<HttpMessage, HttpMessage>, EndpointConnectionPool>
                    actionsToRun)
            throws Exception {
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        SiteSettings site =
                SettingsReader.read(
                        JsonObject.parse(Files.readString(Path.of("example", "config.json")))
                                .child("settings"));
        BlockingQueue<Object> outcomes = new LinkedBlockingQueue<>();
        RequestForwarder<HttpMessage, HttpMessage> forwarder =
                new RequestForwarder<>(
                        actions ->
                                StubFactory.create(
                                        LoadBalancer.class,
                                        (event, with) -> {
                                            if (event.equals("onRequest")) {
                                                actions.startAttempt(1, 1, 0);
                                            } else if (!event.equals("startDenial")) {
                                                outcomes.add(
                                                        with[event.equals("onProbeEnded") ? 2 : 4]);
                                            }
                                        }),
                        1,
                        loop,
                        new Logger(System.err));
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EndpointConnectionPool pool =
                    new EndpointConnectionPool(
                            loop,
                            forwarder,
                            site,
                            EndpointLimits.DEFAULT,
                            new EndpointLimits.Bounds(1, 1),
                            new RequestMetrics(1),
                            new BufferAccount(1));
            forwarder.attach(
                    pool,
                    StubFactory.create(EndpointDiscovery.class, (action, with) -> {}),
                    StubFactory.create(PeerTransport.class, (action, with) -> {}));
            loop.run(
                    () -> {
                        pool.onEndpoints(
                                new EndpointList(
                                        1,
                                        true,
                                        List.of(
                                                new EndpointList.Node(
                                                        "n0",
                                                        new Endpoint(
                                                                1,
                                                                0,
                                                                0,
                                                                0,
                                                                EndpointStatus.READY,
                                                                1,
                                                                0),
                                                        (InetSocketAddress)
                                                                silent.getLocalSocketAddress())),
                                        List.of()));
                        actionsToRun.accept(forwarder, pool);
                    });
            return outcomes.poll(20, TimeUnit.SECONDS);
        } finally {
            loop.stop();
        }
    }
}
