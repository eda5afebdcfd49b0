package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.PeerTransport;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.forwarding.StreamedResponse;
import cedarrudder.logging.Level;
import cedarrudder.logging.LogSettings;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.BodyRemainder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.RequestHeaders;
import cedarrudder.protocol.SettingsReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.testng.annotations.Test;

/** Tests a server whose listening socket is about to be bound. */
public class HttpServerTest {

    private static final int TIMES = 200;
    private static final int WAITING = 30;

    /**
     * A client may connect before the thread that binds the listening socket has reported so; for
     * it the socket was missing, or was the previous one. One client connects at each bind, at a
     * limit that admits none.
     */
    @Test
    public void aClientThatConnectsAtOnceIsSubjectToTheLimit() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        ProxyEventLoop loop = new ProxyEventLoop(new Logger(new PrintStream(log, true)));
        for (int i = 0; i < TIMES; i++) {
            try (Socket reserved = new Socket()) {
                reserved.setReuseAddress(true);
                reserved.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                Thread client = new Thread(() -> connect(reserved.getLocalPort()));
                client.start();
                new HttpServer(
                                loop,
                                null,
                                null,
                                () -> true,
                                ClientLimits.DEFAULT,
                                0,
                                new BufferAccount(1))
                        .listen((InetSocketAddress) reserved.getLocalSocketAddress(), false);
                Await.end("a client that was accepted", client);
            }
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.run(done::countDown);
        Await.open("the last task", done);
        loop.stop();
        assertFalse(log.toString().contains("failed"), log.toString());
    }

    /**
     * If a response can't be encoded, for example for lack of memory, the client must not wait for
     * ever, and the balancer must learn how the attempt ended.
     */
    @Test
    public void aResponseThatCanNotBeEncodedEndsItsClientsConnection() throws Exception {
        runWithEndpoint(
                (forwarder, attempt) ->
                        forwarder.served(attempt, new HttpMessage(null, null), null));
    }

    /**
     * The same for a streamed response, which the endpoint must not continue to send without a
     * recipient.
     */
    @Test
    public void aStreamedResponseThatCanNotBeginEndsItsClientsConnection() throws Exception {
        BodyRemainder rest = new BodyRemainder(new BodyFlow(new BufferAccount(1000)), 100_000);
        BrokenEndpoint node =
                runWithEndpoint(
                        (forwarder, attempt) ->
                                forwarder.responseStarted(
                                        attempt,
                                        new HttpMessage(null, null, rest),
                                        null,
                                        new StreamedResponse(100_000, 1000, 0)));
        assertEquals(node.abandoned().poll(20, TimeUnit.SECONDS), Boolean.TRUE);
    }

    /**
     * The kernel resets the connections that it has accepted when the socket is closed for a
     * successor: all that wait to be accepted must be accepted first. The event loop itself
     * connects them, so that none is accepted earlier.
     */
    @Test
    public void connectionsThatWaitToBeAcceptedDuringAHandoverAreAnswered() throws Exception {
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        HttpServer listener =
                new HttpServer(
                        loop,
                        null,
                        fields(),
                        () -> true,
                        ClientLimits.DEFAULT,
                        WAITING,
                        new BufferAccount(1000));
        InetSocketAddress at =
                listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        BlockingQueue<Socket> waiting = new LinkedBlockingQueue<>();
        CountDownLatch replaced = new CountDownLatch(1);
        loop.run(
                () -> {
                    try {
                        for (int i = 0; i < WAITING; i++) {
                            Socket client = new Socket(at.getAddress(), at.getPort());
                            client.getOutputStream()
                                    .write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".getBytes());
                            waiting.add(client);
                        }
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                    listener.handOver(replaced::countDown);
                });
        for (int i = 0; i < WAITING; i++) {
            try (Socket client = waiting.poll(20, TimeUnit.SECONDS)) {
                assertEquals(
                        new String(client.getInputStream().readNBytes(8)),
                        "HTTP/1.1",
                        "client " + i);
            }
        }
        Await.open("the end of the service", replaced);
        loop.stop();
    }

    /**
     * Requests that the kernel has received when their connections are closed would be lost by a
     * reset: one on an idle connection, and one on a connection that waits to be accepted. The
     * event loop itself writes them, after its last read and right before the close, so that it has
     * read none by then.
     */
    @Test
    public void requestsReceivedBeforeTheCloseAreAnsweredAndNotReset() throws Exception {
        ProxyEventLoop loop =
                new ProxyEventLoop(new Logger(new PrintStream(OutputStream.nullOutputStream())));
        RequestHeaders fields = fields();
        HttpServer listener =
                new HttpServer(
                        loop,
                        null,
                        fields,
                        () -> true,
                        ClientLimits.DEFAULT,
                        WAITING,
                        new BufferAccount(1000));
        InetSocketAddress at =
                listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        CountDownLatch over = new CountDownLatch(1);
        BlockingQueue<Socket> waiting = new LinkedBlockingQueue<>();
        byte[] request = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".getBytes();
        try (Socket idle = new Socket(at.getAddress(), at.getPort())) {
            idle.setSoTimeout(20_000);
            idle.getOutputStream().write(request);
            assertEquals(new String(idle.getInputStream().readNBytes(12)), "HTTP/1.1 200");
            idle.getInputStream().skipNBytes(idle.getInputStream().available());
            loop.run(
                    () -> {
                        long close =
                                loop.now()
                                        + Math.min(3_000_000_000L, fields.longestWait())
                                        + 100_000_000L;
                        // // Both tasks are overdue once the loop is free again, and run in this
                        // order.
                        loop.at(close - 100_000_000L, () -> sleep(200));
                        loop.at(
                                close - 50_000_000L,
                                () -> {
                                    try {
                                        idle.getOutputStream().write(request);
                                        Socket late = new Socket(at.getAddress(), at.getPort());
                                        late.getOutputStream().write(request);
                                        waiting.add(late);
                                    } catch (IOException e) {
                                        throw new UncheckedIOException(e);
                                    }
                                });
                        listener.shutDown(over::countDown);
                    });
            try (Socket late = Await.next("the close", waiting)) {
                late.setSoTimeout(20_000);
                for (Socket client : List.of(idle, late)) {
                    String answer = new String(client.getInputStream().readAllBytes());
                    assertTrue(answer.contains("HTTP/1.1 503"), answer);
                    assertTrue(answer.contains("Connection: close"), answer);
                }
            }
        }
        Await.open("the end of the service", over);
        loop.stop();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * An exception in one sweep over the connections must not end the sweeps, and with them all
     * timeouts.
     */
    @Test
    public void sweepsContinueAfterAnExceptionInASweep() throws Exception {
        AtomicBoolean broken = new AtomicBoolean();
        Logger log =
                new Logger(
                        line -> {
                            if (line.contains("client.evicted")
                                    && broken.compareAndSet(false, true)) {
                                throw new IllegalStateException("broken on purpose");
                            }
                            return true;
                        });
        log.settings(new LogSettings(Level.DEBUG, 20, 300));
        ProxyEventLoop loop = new ProxyEventLoop(log);
        InetSocketAddress at =
                new HttpServer(
                                loop,
                                null,
                                fields(),
                                () -> true,
                                ClientLimits.DEFAULT,
                                1,
                                new BufferAccount(1000))
                        .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        try (Socket half = new Socket(at.getAddress(), at.getPort())) {
            half.setSoTimeout(20_000);
            half.getOutputStream()
                    .write(
                            ("POST /api HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                                            + "Content-Length: 5\r\n\r\n")
                                    .getBytes());
            assertEquals(
                    new String(half.getInputStream().readNBytes(25)),
                    "HTTP/1.1 100 Continue\r\n\r\n");
            try (Socket next = new Socket(at.getAddress(), at.getPort())) {
                next.setSoTimeout(20_000);
                assertEquals(
                        half.getInputStream().read(),
                        -1,
                        "it is evicted, though the first sweep failed");
            }
        }
        assertTrue(broken.get());
        loop.stop();
    }

    private static RequestHeaders fields() throws IOException {
        return new RequestHeaders(
                SettingsReader.read(
                                JsonObject.parse(
                                                Files.readString(Path.of("example", "config.json")))
                                        .child("settings"))
                        .module());
    }

    /** Runs a test with an endpoint whose response can't be passed on. */
    private static BrokenEndpoint runWithEndpoint(
            BiConsumer<
                            RequestForwarder<HttpMessage, HttpMessage>,
                            RequestAttempt<HttpMessage, HttpMessage>>
                    answer)
            throws Exception {
        Logger log = new Logger(new PrintStream(OutputStream.nullOutputStream()));
        ProxyEventLoop loop = new ProxyEventLoop(log);
        BlockingQueue<Object> outcomes = new LinkedBlockingQueue<>();
        RequestForwarder<HttpMessage, HttpMessage> forwarder =
                new RequestForwarder<>(
                        actions ->
                                StubFactory.create(
                                        LoadBalancer.class,
                                        (event, with) -> {
                                            if (event.equals("onRequest")) {
                                                actions.startAttempt(
                                                        ((LoadBalancer.Request) with[1]).id(),
                                                        1,
                                                        0);
                                            } else if (event.equals("onAttemptEnded")) {
                                                outcomes.add(with[4]);
                                            }
                                        }),
                        1,
                        loop,
                        log);
        BrokenEndpoint node = new BrokenEndpoint(forwarder, answer, new LinkedBlockingQueue<>());
        forwarder.attach(
                node,
                StubFactory.create(EndpointDiscovery.class, (action, with) -> {}),
                StubFactory.create(PeerTransport.class, (action, with) -> {}));
        InetSocketAddress at =
                new HttpServer(
                                loop,
                                forwarder,
                                fields(),
                                () -> true,
                                ClientLimits.DEFAULT,
                                10,
                                new BufferAccount(1000))
                        .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(
                            ("GET /api HTTP/1.1\r\n"
                                            + "Host: a\r\n"
                                            + "Req-Id: 1\r\n"
                                            + "Req-Kind: lookup\r\n"
                                            + "Req-Owner: acme\r\n"
                                            + "Req-Deadline-Ms: 30000\r\n\r\n")
                                    .getBytes());
            assertEquals(client.getInputStream().read(), -1);
        }
        assertEquals(outcomes.poll(20, TimeUnit.SECONDS), LoadBalancer.Outcome.OK);
        loop.run(loop::stop);
        return node;
    }

    /** An endpoint whose responses can't be passed on. */
    private record BrokenEndpoint(
            RequestForwarder<HttpMessage, HttpMessage> forwarder,
            BiConsumer<
                            RequestForwarder<HttpMessage, HttpMessage>,
                            RequestAttempt<HttpMessage, HttpMessage>>
                    answer,
            BlockingQueue<Boolean> abandoned)
            implements AttemptTransport<HttpMessage, HttpMessage> {

        @Override
        public boolean knowsEndpoint(long endpoint) {
            return true;
        }

        @Override
        public void startAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
            answer.accept(forwarder, attempt);
        }

        @Override
        public void abandonAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {
            abandoned.add(true);
        }

        @Override
        public void sendProbe(long endpoint) {}

        @Override
        public void closeIdleConnections(long endpoint) {}
    }

    /** Connects as soon as the server listens there, and disconnects without sending anything. */
    private static void connect(int port) {
        while (true) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoLinger(true, 0);
                return;
            } catch (IOException e) {
                // // not yet
            }
        }
    }
}
