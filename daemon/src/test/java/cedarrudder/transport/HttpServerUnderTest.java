package cedarrudder.transport;

import static org.testng.Assert.assertFalse;

import cedarrudder.balancer.Await;
import cedarrudder.balancer.LoadBalancer;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.AttemptTransport;
import cedarrudder.forwarding.EndpointDiscovery;
import cedarrudder.forwarding.Exchange;
import cedarrudder.forwarding.PeerTransport;
import cedarrudder.forwarding.RequestAttempt;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.RequestHeaders;
import cedarrudder.protocol.SettingsReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A server whose requests wait for the test, which makes the decisions: what it does on the event
 * loop happens between two reads of the server.
 */
final class HttpServerUnderTest implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 20_000;
    static final int MAX_CLIENTS = 10;
    static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

    /** A timeout that does not expire during a test, in nanoseconds. */
    private static final long NO_TIMEOUT = 1_000_000_000_000L;

    static final ClientLimits LIMITS_WITHOUT_TIMEOUTS =
            new ClientLimits(
                    NO_TIMEOUT,
                    NO_TIMEOUT,
                    NO_TIMEOUT,
                    NO_TIMEOUT,
                    ClientLimits.DEFAULT.maxHeadBytes(),
                    ClientLimits.DEFAULT.maxBodyBytes(),
                    0.5);

    /**
     * The time before a shutdown counts as stuck at which it has begun to close connections and no
     * open request is ended yet: 3.4 and 3 s.
     */
    private static final long BEFORE_STUCK_NANOS = 3_200_000_000L;

    /** Called when a request is accepted, on the event loop and within the decoder. */
    interface RequestListener {
        void onRequest(Exchange<HttpMessage, HttpMessage> request, ClientRequest reply)
                throws Exception;
    }

    final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    final Logger log = new Logger(new PrintStream(logOutput, true));
    final ProxyEventLoop loop = new ProxyEventLoop(log);
    final BufferAccount account = new BufferAccount(BufferAccount.MAX);
    final BlockingQueue<Long> requests = new LinkedBlockingQueue<>();
    final BlockingQueue<Object> left = new LinkedBlockingQueue<>();
    final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
    final CountDownLatch shutdownComplete = new CountDownLatch(1);
    volatile RequestListener requestListener = (request, client) -> {};
    volatile boolean rejectsAtOnce;
    LoadBalancer.Actions actions;
    final HttpServer listener;
    final InetSocketAddress at;

    HttpServerUnderTest() throws Exception {
        RequestForwarder<HttpMessage, HttpMessage> forwarder =
                new RequestForwarder<>(
                        balancerActions -> {
                            actions = balancerActions;
                            return StubFactory.create(
                                    LoadBalancer.class,
                                    (event, with) -> {
                                        if (event.equals("onRequest")) {
                                            long id = ((LoadBalancer.Request) with[1]).id();
                                            if (rejectsAtOnce) {
                                                actions.reject(id, 0);
                                            } else {
                                                requests.add(id);
                                            }
                                        } else if (event.equals("onClientLeft")) {
                                            left.add(with[1]);
                                        }
                                    });
                        },
                        1,
                        loop,
                        log);
        forwarder.attach(
                new NoEndpoints(),
                StubFactory.create(EndpointDiscovery.class, (action, with) -> {}),
                StubFactory.create(PeerTransport.class, (action, with) -> {}));
        RequestHeaders fields =
                new RequestHeaders(
                        SettingsReader.read(
                                        JsonObject.parse(
                                                        Files.readString(
                                                                Path.of("example", "config.json")))
                                                .child("settings"))
                                .module());
        listener =
                new HttpServer(
                        loop,
                        forwarder,
                        fields,
                        () -> true,
                        LIMITS_WITHOUT_TIMEOUTS,
                        MAX_CLIENTS,
                        account);
        listener.setInterceptor(
                (request, reply) -> {
                    try {
                        requestListener.onRequest(request, (ClientRequest) reply);
                    } catch (Exception | AssertionError e) {
                        failures.add(e);
                    }
                    return false;
                });
        at = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
    }

    Socket client() throws IOException {
        Socket client = new Socket(at.getAddress(), at.getPort());
        client.setSoTimeout(TIMEOUT_MILLIS);
        client.setTcpNoDelay(true);
        return client;
    }

    /** Runs a task on the event loop and waits for its result. */
    <T> T on(Callable<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.run(
                () -> {
                    try {
                        done.complete(task.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS);
    }

    long request() throws InterruptedException {
        return Await.next("an RPC", requests);
    }

    /** Rejects the oldest waiting request. */
    void rejectOldest() throws Exception {
        long id = request();
        on(
                () -> {
                    actions.reject(id, 0);
                    return null;
                });
    }

    void replace() throws Exception {
        on(
                () -> {
                    listener.handOver(shutdownComplete::countDown);
                    return null;
                });
    }

    void drain() throws Exception {
        on(
                () -> {
                    listener.shutDown(shutdownComplete::countDown);
                    return null;
                });
    }

    /**
     * Begins a shutdown and runs a task on the event loop once responses may be the last of their
     * connections, but before open requests are ended: by the order of the loop's timers, however
     * late it is.
     */
    void drain(Callable<?> taskDuringClosing) throws Exception {
        on(
                () -> {
                    listener.shutDown(shutdownComplete::countDown);
                    return loop.at(
                            loop.now() + listener.maxShutdownNanos() - BEFORE_STUCK_NANOS,
                            () -> {
                                try {
                                    taskDuringClosing.call();
                                } catch (Exception e) {
                                    failures.add(e);
                                }
                            });
                });
    }

    @Override
    public void close() {
        CompletableFuture.runAsync(() -> {}, loop::run)
                .join(); // // after the tasks that may still log
        loop.stop();
        if (!failures.isEmpty()) {
            throw new AssertionError("on the loop", failures.poll());
        }
        assertFalse(logOutput.toString().contains("failed"), logOutput.toString());
    }

    private static final class NoEndpoints implements AttemptTransport<HttpMessage, HttpMessage> {
        @Override
        public boolean knowsEndpoint(long endpoint) {
            return false;
        }

        @Override
        public void startAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {}

        @Override
        public void abandonAttempt(RequestAttempt<HttpMessage, HttpMessage> attempt) {}

        @Override
        public void sendProbe(long endpoint) {}

        @Override
        public void closeIdleConnections(long endpoint) {}
    }

    static String request(String id, String... fields) {
        return "GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: "
                + id
                + "\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\n"
                + "Req-Deadline-Ms: 900000\r\n"
                + String.join("", fields)
                + "\r\n";
    }

    static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Returns the head of the next response after reading its body too; empty at the end of the
     * stream.
     */
    static String read(Socket client) throws IOException {
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        int length = head.indexOf("Content-Length: ") + 16;
        in.skipNBytes(Integer.parseInt(head.substring(length, head.indexOf("\r\n", length))));
        return head.toString();
    }

    static void leave(Socket client, boolean reset) throws IOException {
        if (reset) {
            client.setSoLinger(true, 0);
        }
        client.close();
    }
}
