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

/** What the balancer hears of this process's own shortage. */
public class EndpointConnectionPoolTest {

    /** Who is owed an answer, and waits for it. */
    private static final class Caller implements Exchange.Reply<HttpMessage> {
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
     * Detects an endpoint that counts as failing, and as out of connections, for what it never saw:
     * this process has no room for a connection to it.
     */
    @Test
    public void aProbeWithoutRoomForAConnectionSaysNothingOfItsNode() throws Exception {
        assertEquals(
                play(
                        (driver, channels) -> {
                            channels.sendProbe(1);
                            channels.sendProbe(1);
                        }),
                Outcome.NOT_STARTED,
                "the second, for which there is no room");
    }

    /** Detects a client that waits until its deadline for a request that could not be made. */
    @Test
    public void aRequestThatCanNotBeMadeIsMootAtOnce() throws Exception {
        LoadBalancer.Request request =
                new LoadBalancer.Request(1, 0, 0, Long.MAX_VALUE, 0, false, false, 0);
        assertEquals(
                play(
                        (driver, channels) ->
                                driver.accept(
                                        new Exchange<>(
                                                request,
                                                new HttpMessage(null, null),
                                                new Caller()))),
                Outcome.NOT_STARTED);
    }

    /** Returns what the balancer hears first, which sends each request on to a silent endpoint. */
    private static Object play(
            BiConsumer<RequestForwarder<HttpMessage, HttpMessage>, EndpointConnectionPool> story)
            throws Exception {
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        SiteSettings site =
                SettingsReader.read(
                        JsonObject.parse(Files.readString(Path.of("example", "config.json")))
                                .child("settings"));
        BlockingQueue<Object> told = new LinkedBlockingQueue<>();
        RequestForwarder<HttpMessage, HttpMessage> driver =
                new RequestForwarder<>(
                        actions ->
                                Played.by(
                                        LoadBalancer.class,
                                        (event, with) -> {
                                            if (event.equals("onRequest")) {
                                                actions.startAttempt(1, 1, 0);
                                            } else if (!event.equals("startDenial")) {
                                                told.add(
                                                        with[event.equals("onProbeEnded") ? 2 : 4]);
                                            }
                                        }),
                        1,
                        loop,
                        new Logger(System.err));
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            EndpointConnectionPool channels =
                    new EndpointConnectionPool(
                            loop,
                            driver,
                            site,
                            EndpointLimits.DEFAULT,
                            new EndpointLimits.Bounds(1, 1),
                            new RequestMetrics(1),
                            new BufferAccount(1));
            driver.attach(
                    channels,
                    Played.by(EndpointDiscovery.class, (action, with) -> {}),
                    Played.by(PeerTransport.class, (action, with) -> {}));
            loop.run(
                    () -> {
                        channels.onEndpoints(
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
                        story.accept(driver, channels);
                    });
            return told.poll(20, TimeUnit.SECONDS);
        } finally {
            loop.stop();
        }
    }
}
