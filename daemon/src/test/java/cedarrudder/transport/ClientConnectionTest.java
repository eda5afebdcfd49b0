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
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * A client's connection from its first byte to its end. The decisions are the test's own: a request
 * waits until the test has it refused, and what the test does on the loop comes between two reads
 * of the listener's.
 */
public class ClientConnectionTest {

    private static final int PATIENCE_MILLIS = 20_000;
    private static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";

    /** So long that nothing a test waits for can come of it. */
    private static final long ENDLESS = 1_000_000_000_000L;

    private static final ClientLimits PATIENT =
            new ClientLimits(
                    ENDLESS,
                    ENDLESS,
                    ENDLESS,
                    ENDLESS,
                    ClientLimits.DEFAULT.maxHeadBytes(),
                    ClientLimits.DEFAULT.maxBodyBytes(),
                    0.5);

    /**
     * So long before a stuck end is given up that the end has begun, and nothing is cut off: 3.4
     * and 3 s.
     */
    private static final long LATE_ON = 3_200_000_000L;

    /** What is asked when a request is taken, on the loop and in the decoder's hands. */
    private interface Taken {
        void by(Exchange<HttpMessage, HttpMessage> request, ClientRequest reply) throws Exception;
    }

    /** A listener whose requests wait for the test. */
    private static final class Service implements AutoCloseable {
        private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
        private final Logger log = new Logger(new PrintStream(lines, true));
        private final ProxyEventLoop loop = new ProxyEventLoop(log);
        private final BufferAccount held = new BufferAccount(BufferAccount.MAX);
        private final BlockingQueue<Long> requests = new LinkedBlockingQueue<>();
        private final BlockingQueue<Object> left = new LinkedBlockingQueue<>();
        private final BlockingQueue<Throwable> wrong = new LinkedBlockingQueue<>();
        private final CountDownLatch over = new CountDownLatch(1);
        private volatile Taken taken = (request, caller) -> {};
        private volatile boolean refusesAtOnce;
        private LoadBalancer.Actions actions;
        private final HttpServer listener;
        private final InetSocketAddress at;

        Service() throws Exception {
            RequestForwarder<HttpMessage, HttpMessage> driver =
                    new RequestForwarder<>(
                            hands -> {
                                actions = hands;
                                return StubFactory.create(
                                        LoadBalancer.class,
                                        (event, with) -> {
                                            if (event.equals("onRequest")) {
                                                long id = ((LoadBalancer.Request) with[1]).id();
                                                if (refusesAtOnce) {
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
            driver.attach(
                    new NoNodes(),
                    StubFactory.create(EndpointDiscovery.class, (action, with) -> {}),
                    StubFactory.create(PeerTransport.class, (action, with) -> {}));
            RequestHeaders fields =
                    new RequestHeaders(
                            SettingsReader.read(
                                            JsonObject.parse(
                                                            Files.readString(
                                                                    Path.of(
                                                                            "example",
                                                                            "config.json")))
                                                    .child("settings"))
                                    .module());
            listener = new HttpServer(loop, driver, fields, () -> true, PATIENT, 10, held);
            listener.setInterceptor(
                    (request, reply) -> {
                        try {
                            taken.by(request, (ClientRequest) reply);
                        } catch (Exception | AssertionError e) {
                            wrong.add(e);
                        }
                        return false;
                    });
            at = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), false);
        }

        Socket caller() throws IOException {
            Socket caller = new Socket(at.getAddress(), at.getPort());
            caller.setSoTimeout(PATIENCE_MILLIS);
            caller.setTcpNoDelay(true);
            return caller;
        }

        /** Runs on the loop, to its end. */
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

        /** Has the oldest request that waits refused. */
        void refuse() throws Exception {
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
                        listener.handOver(over::countDown);
                        return null;
                    });
        }

        void drain() throws Exception {
            on(
                    () -> {
                        listener.shutDown(over::countDown);
                        return null;
                    });
        }

        /**
         * Ends the service, and runs a task on the loop once answers may be their connections'
         * last, but before what is open is cut off: by the order of the loop's timers, however late
         * it is.
         */
        void drain(Callable<?> lateOn) throws Exception {
            on(
                    () -> {
                        listener.shutDown(over::countDown);
                        return loop.at(
                                loop.now() + listener.maxShutdownNanos() - LATE_ON,
                                () -> {
                                    try {
                                        lateOn.call();
                                    } catch (Exception e) {
                                        wrong.add(e);
                                    }
                                });
                    });
        }

        @Override
        public void close() {
            CompletableFuture.runAsync(() -> {}, loop::run)
                    .join(); // behind what it was about to log
            loop.stop();
            if (!wrong.isEmpty()) {
                throw new AssertionError("on the loop", wrong.poll());
            }
            assertFalse(lines.toString().contains("failed"), lines.toString());
        }
    }

    private static final class NoNodes implements AttemptTransport<HttpMessage, HttpMessage> {
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

    private static String request(String id, String... fields) {
        return "GET /api HTTP/1.1\r\nHost: a\r\nReq-Id: "
                + id
                + "\r\nReq-Kind: lookup\r\nReq-Owner: acme\r\n"
                + "Req-Deadline-Ms: 900000\r\n"
                + String.join("", fields)
                + "\r\n";
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The head of the next answer, its body read too; empty at the end. */
    private static String read(Socket caller) throws IOException {
        InputStream in = caller.getInputStream();
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

    private static void leave(Socket caller, boolean reset) throws IOException {
        if (reset) {
            caller.setSoLinger(true, 0);
        }
        caller.close();
    }

    /**
     * Detects a request that is forwarded for a client that has gone: its end stands behind bytes.
     */
    @Test
    public void anEndBehindBytesThatWaitEndsTheOpenRpc() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (Service service = new Service()) {
                Socket caller = service.caller();
                send(caller, request("1"));
                long id = service.request();
                send(caller, request("2") + request("3"));
                Await.until(
                        "the bytes behind it are kept",
                        () -> service.on(service.held::bufferedBytes) > 0);
                leave(caller, reset);
                assertEquals(Await.next("the end seen", service.left), id);
                Await.until("nothing is kept", () -> service.on(service.held::bufferedBytes) == 0);
                assertTrue(service.requests.isEmpty(), "what stood behind it goes nowhere");
            }
        }
    }

    /** Detects memory that a client fills by sending ahead, and against what is kept being lost. */
    @Test
    public void whatIsKeptAheadIsBoundedAndThenAnswered() throws Exception {
        int behind = 40_000;
        try (Service service = new Service();
                Socket caller = service.caller()) {
            send(caller, request("1"));
            CompletableFuture<Void> sent =
                    CompletableFuture.runAsync(
                            () -> {
                                try {
                                    byte[] request = HEALTH.getBytes(StandardCharsets.ISO_8859_1);
                                    byte[] all = new byte[behind * request.length];
                                    for (int i = 0; i < behind; i++) {
                                        System.arraycopy(
                                                request,
                                                0,
                                                all,
                                                i * request.length,
                                                request.length);
                                    }
                                    caller.getOutputStream().write(all);
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
            Await.until(
                    "reading ahead", () -> service.on(service.held::bufferedBytes) >= 32 * 1024);
            for (int i = 0; i < 1000; i++) {
                assertTrue(service.on(service.held::bufferedBytes) <= 128 * 1024, "kept too much");
            }
            service.refuse();
            assertTrue(read(caller).startsWith("HTTP/1.1 503"));
            for (int i = 0; i < behind; i++) {
                assertTrue(read(caller).startsWith("HTTP/1.1 200"), "answer " + i);
            }
            sent.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS);
        }
    }

    /**
     * Detects answers long after their time: that of a request starts with its last byte, also
     * where it waits behind another one; and one that came later has its own.
     */
    @Test
    public void theTimeOfARequestStartsAsItIsReadAndNotAsItIsItsTurn() throws Exception {
        long wait = TimeUnit.SECONDS.toNanos(900);
        try (Service service = new Service();
                Socket caller = service.caller()) {
            List<Long> deadlines = new ArrayList<>();
            service.taken = (request, reply) -> deadlines.add(request.request().deadline());
            send(caller, request("1"));
            Await.until("the first is taken", () -> service.requests.size() == 1);
            send(caller, request("2"));
            Await.until("the second is kept", () -> service.on(service.held::bufferedBytes) > 0);
            long kept = System.nanoTime();
            Await.until(
                    "a second later", () -> System.nanoTime() - kept > TimeUnit.SECONDS.toNanos(1));
            send(caller, request("3"));
            for (int i = 0; i < 3; i++) {
                service.refuse();
                read(caller);
            }
            assertTrue(
                    service.on(() -> deadlines.get(1)) - kept <= wait,
                    "it is late by what it waited");
            assertTrue(service.on(() -> deadlines.get(2)) - kept > wait, "it waited for less");
        }
    }

    /** Detects an end that the kernel has and the loop has not, since it is late. */
    @Test
    public void aLookFindsTheEndBehindWhatHasCome() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (Service service = new Service()) {
                BlockingQueue<Boolean> waits = new LinkedBlockingQueue<>();
                Socket caller = service.caller();
                service.taken =
                        (request, reply) -> {
                            waits.add(reply.isClientWaiting());
                            send(caller, request("2"));
                            waits.add(reply.isClientWaiting());
                            send(caller, "x".repeat(5000));
                            leave(caller, reset);
                            waits.add(reply.isClientWaiting());
                        };
                send(caller, request("1"));
                assertTrue(Await.next("a look", waits), "it waits");
                assertTrue(Await.next("a look", waits), "it waits, and has sent more");
                assertFalse(Await.next("a look", waits), "it has gone");
                Await.next("the end seen", service.left);
                assertEquals(service.requests.size(), 1);
            }
        }
    }

    /**
     * Detects bytes that are lost or come out of order where a look brings them while others are
     * being decoded: whole requests, halves, and pieces of a body that flows.
     */
    @Test
    public void whatALookBringsWithinADecodeKeepsItsOrder() throws Exception {
        try (Service service = new Service();
                Socket caller = service.caller()) {
            service.taken =
                    (request, reply) -> {
                        if (request.request().id() > 3) {
                            return;
                        }
                        String next = request("" + (request.request().id() + 1));
                        for (int i = 0; i < next.length(); i += 50) {
                            send(caller, next.substring(i, Math.min(next.length(), i + 50)));
                            assertTrue(reply.isClientWaiting());
                        }
                    };
            send(caller, request("1") + HEALTH);
            for (int i = 0; i < 4; i++) {
                service.refuse();
                assertTrue(read(caller).startsWith("HTTP/1.1 503"), "RPC " + i);
                if (i == 0) {
                    assertTrue(read(caller).startsWith("HTTP/1.1 200"));
                }
            }
        }
    }

    /** The same where the decoder itself hands on the pieces, of which several came at once. */
    @Test
    public void whatALookBringsWithinAFlowKeepsItsOrder() throws Exception {
        int first = 200;
        int all = 400;
        StringBuilder body = new StringBuilder();
        List<String> chunks = new ArrayList<>();
        for (int i = 0; i < all; i++) {
            String piece = ("" + i + ' ').repeat(200 + i % 7);
            body.append(piece);
            chunks.add(Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
        }
        chunks.add("0\r\n\r\n");
        try (Service service = new Service();
                Socket caller = service.caller()) {
            AtomicInteger sent = new AtomicInteger(first);
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            CompletableFuture<String> whole = new CompletableFuture<>();
            service.taken =
                    (request, reply) -> {
                        BodyFlow flow = request.content().rest().flow();
                        got.writeBytes(request.content().body());
                        flow.whenReadable(
                                () -> {
                                    try {
                                        if (sent.get() < chunks.size()) {
                                            send(caller, chunks.get(sent.getAndIncrement()));
                                        }
                                        reply.isClientWaiting();
                                    } catch (IOException e) {
                                        service.wrong.add(e);
                                    }
                                    for (byte[] piece = flow.take();
                                            piece != null;
                                            piece = flow.take()) {
                                        got.writeBytes(piece);
                                    }
                                    if (flow.isAtEnd()) {
                                        whole.complete(got.toString(StandardCharsets.ISO_8859_1));
                                    }
                                });
                    };
            send(
                    caller,
                    "POST /api HTTP/1.1\r\n"
                            + "Host: a\r\n"
                            + "Req-Id: 1\r\n"
                            + "Req-Kind: order\r\n"
                            + "Req-Owner: acme\r\n"
                            + "Req-Deadline-Ms: 900000\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + String.join("", chunks.subList(0, first)));
            String passed = whole.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS);
            int same = Arrays.mismatch(passed.getBytes(), body.toString().getBytes());
            assertEquals(
                    same,
                    -1,
                    passed.length() + " of " + body.length() + " characters, the same up to");
        }
    }

    /**
     * Detects a fault, or a second answer, where a request is answered from within the decoder's
     * hands: behind the piece that does it stand others, and the body's end, or what can't be read.
     */
    @Test
    public void anAnswerFromWithinAFlowIsTheOnlyOne() throws Exception {
        for (String end : List.of("0\r\n\r\n", "no chunk\r\n")) {
            try (Service service = new Service();
                    Socket caller = service.caller()) {
                String chunk = "400\r\n" + "x".repeat(1024) + "\r\n";
                service.taken =
                        (request, reply) -> {
                            request.content()
                                    .rest()
                                    .flow()
                                    .whenReadable(
                                            () ->
                                                    service.actions.reject(
                                                            request.request().id(), 0));
                            send(caller, chunk.repeat(3) + end);
                            assertTrue(reply.isClientWaiting()); // so that all of it is in the
                            // decoder's hands
                        };
                send(
                        caller,
                        "POST /api HTTP/1.1\r\n"
                                + "Host: a\r\n"
                                + "Req-Id: 1\r\n"
                                + "Req-Kind: order\r\n"
                                + "Req-Owner: acme\r\n"
                                + "Req-Deadline-Ms: 900000\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + chunk.repeat(64));
                assertTrue(read(caller).startsWith("HTTP/1.1 503"));
                assertEquals(caller.getInputStream().read(), -1);
            }
        }
    }

    /** Detects requests that were whole behind the open one as its connection was to end. */
    @Test
    public void whatStandsBehindTheLastRequestIsAnsweredToo() throws Exception {
        for (boolean byHand : new boolean[] {true, false}) {
            try (Service service = new Service();
                    Socket caller = service.caller();
                    Socket idle = service.caller()) {
                send(idle, HEALTH);
                assertTrue(read(idle).startsWith("HTTP/1.1 200"));
                send(caller, request("1"));
                Await.until("it is taken", () -> service.requests.size() == 1);
                if (byHand) {
                    service.on(
                            () -> {
                                service.listener.drainByOperator();
                                return null;
                            });
                } else {
                    service.replace();
                }
                assertEquals(idle.getInputStream().read(), -1, "callers are being sent away");
                // On the loop, which has then read none of it when it answers the first.
                long id = service.request();
                service.on(
                        () -> {
                            send(caller, request("2") + request("3"));
                            service.actions.reject(id, 0);
                            return null;
                        });
                for (int i = 1; i <= 3; i++) {
                    String answer = read(caller);
                    assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                    assertEquals(answer.contains("Connection: close"), i == 3, "answer " + i);
                    if (i < 3) {
                        service.refuse();
                    }
                }
                assertEquals(caller.getInputStream().read(), -1);
            }
        }
    }

    /**
     * Detects requests that were read and get no answer: they stand behind one that is answered in
     * the decoder's hands, as the service ends and each connection on which nothing is open is
     * closed.
     */
    @Test
    public void whatStandsBehindAnAnswerAtOnceIsAnsweredToo() throws Exception {
        for (String atOnce : List.of(HEALTH, request("2"))) {
            try (Service service = new Service();
                    Socket caller = service.caller()) {
                send(caller, request("1"));
                long id = service.request();
                service.drain(
                        () -> {
                            service.refusesAtOnce = true;
                            send(caller, atOnce + request("3") + request("4"));
                            service.actions.reject(id, 0);
                            return null;
                        });
                for (int i = 1; i <= 4; i++) {
                    String answer = read(caller);
                    assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                    assertEquals(answer.contains("Connection: close"), i == 4, "answer " + i);
                }
                assertEquals(caller.getInputStream().read(), -1);
            }
        }
    }

    /** Detects requests that get no answer, since one they stand behind is cut off at the end. */
    @Test
    public void whatStandsBehindWhatIsCutOffIsAnsweredToo() throws Exception {
        try (Service service = new Service();
                Socket caller = service.caller()) {
            send(caller, request("1") + request("2") + request("3"));
            Await.until("it is taken", () -> service.requests.size() == 1);
            service.refusesAtOnce = true;
            service.drain();
            for (int i = 1; i <= 3; i++) {
                String answer = read(caller);
                assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                assertEquals(answer.contains("Connection: close"), i == 3, "answer " + i);
            }
            assertEquals(caller.getInputStream().read(), -1);
        }
    }

    /**
     * Detects a body that begins to flow to an endpoint behind a request that was cut off, and is
     * broken off there by the end of the process: what flows has a longer time, but not past that
     * moment.
     */
    @Test
    public void aLargeBodyBehindWhatIsCutOffHasNoTimeLeft() throws Exception {
        try (Service service = new Service();
                Socket caller = service.caller()) {
            BlockingQueue<Long> left = new LinkedBlockingQueue<>();
            service.taken =
                    (request, reply) -> left.add(request.request().deadline() - service.loop.now());
            send(
                    caller,
                    request("1")
                            + request("2", "Content-Length: 80000\r\n")
                                    .replace("GET", "POST")
                                    .replace("lookup", "order")
                            + "x".repeat(80_000));
            assertTrue(Await.next("the first RPC", left) > 0);
            Await.until("it is taken", () -> service.requests.size() == 1);
            service.refusesAtOnce = true;
            service.drain();
            assertTrue(Await.next("the one behind it", left) <= 0, "it has time left");
            assertTrue(read(caller).startsWith("HTTP/1.1 503"));
            assertTrue(read(caller).startsWith("HTTP/1.1 503"));
        }
    }

    /** Detects a client that sends ahead for good and so holds its connection. */
    @Test
    public void whoSendsAheadWithoutEndIsLetGo() throws Exception {
        try (Service service = new Service();
                Socket caller = service.caller()) {
            send(caller, request("0"));
            service.replace();
            int answers = 0;
            for (String answer = ""; !answer.contains("Connection: close"); answers++) {
                send(caller, request("" + (answers + 1)));
                service.refuse();
                answer = read(caller);
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            }
            assertTrue(answers > 1 && answers < 100, answers + " answers");
            assertEquals(caller.getInputStream().read(), -1);
        }
    }

    /**
     * Detects a request that is forwarded though its client has been shown the end, and against a
     * reset that takes what the client has not read yet: behind a last answer, and on a connection
     * that rested. The loop itself sends, right behind the end of its output.
     */
    @Test
    public void whatComesBehindTheEndOfOurOutputIsReadAndDropped() throws Exception {
        for (boolean told : new boolean[] {true, false}) {
            try (Service service = new Service();
                    Socket caller = service.caller()) {
                BlockingQueue<ClientConnection> ends = new LinkedBlockingQueue<>();
                service.taken = (request, reply) -> ends.add(reply.connection());
                send(caller, request("1", told ? "Connection: close\r\n" : ""));
                long id = service.request();
                service.on(
                        () -> {
                            service.actions.reject(id, 0);
                            if (!told) {
                                ends.take().closeIfQuiet();
                            }
                            send(caller, request("late"));
                            return null;
                        });
                assertEquals(read(caller).contains("Connection: close"), told);
                assertEquals(caller.getInputStream().read(), -1, "an end in order, and no reset");
                caller.shutdownOutput();
                Await.until(
                        "the end of the connection",
                        () -> service.on(service.listener::clients) == 0);
                assertTrue(service.requests.isEmpty());
            }
        }
    }

    /**
     * Detects a request that has come on a connection that is closed for want of room, also where
     * it is answered at once, and the connection is between requests again.
     */
    @Test
    public void whoIsToMakeRoomIsReadFirst() throws Exception {
        for (boolean atOnce : new boolean[] {false, true}) {
            try (Service service = new Service();
                    Socket asks = service.caller();
                    Socket rests = service.caller()) {
                for (Socket caller : List.of(asks, rests)) {
                    send(caller, HEALTH);
                    read(caller);
                }
                service.refusesAtOnce = atOnce;
                service.on(
                        () -> {
                            send(asks, request("1"));
                            service.listener.apply(PATIENT, 1);
                            return null;
                        });
                if (!atOnce) {
                    service.refuse();
                }
                assertTrue(read(asks).startsWith("HTTP/1.1 503"));
                assertEquals(rests.getInputStream().read(), -1, "the other goes");
                send(asks, HEALTH);
                assertTrue(read(asks).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /**
     * Detects the last answer of a connection being lost as it makes room: closed over bytes that
     * have come, it is reset. One that is not takes another byte.
     */
    @Test
    public void whoHasItsLastAnswerIsReadBeforeItMakesRoom() throws Exception {
        try (Service service = new Service();
                Socket told = service.caller();
                Socket rests = service.caller()) {
            send(rests, HEALTH);
            read(rests);
            send(told, request("1", "Connection: close\r\n"));
            long id = service.request();
            service.on(
                    () -> {
                        service.actions.reject(id, 0);
                        send(told, request("late"));
                        service.listener.apply(PATIENT, 1);
                        return null;
                    });
            Await.until("there is room", () -> service.on(service.listener::clients) == 1);
            assertTrue(read(told).contains("Connection: close"));
            send(told, "x");
            send(rests, HEALTH);
            assertTrue(read(rests).startsWith("HTTP/1.1 200"));
        }
    }

    /**
     * Detects a connection that goes on in a state nobody thought of, and against others paying.
     */
    @Test
    public void whatCanNotComeInAStateEndsItsConnectionAlone() throws Exception {
        try (Service service = new Service();
                Socket caller = service.caller();
                Socket other = service.caller()) {
            BlockingQueue<ClientConnection> taken = new LinkedBlockingQueue<>();
            service.taken = (request, reply) -> taken.add(reply.connection());
            for (Socket each : List.of(caller, other)) {
                send(each, request(each == caller ? "1" : "2"));
                Await.until("it is taken", () -> service.requests.size() == 1);
                if (each == caller) {
                    ClientConnection broken = Await.next("its connection", taken);
                    long id = service.request();
                    service.on(
                            () -> {
                                broken.on(ClientConnectionState.Event.WRITTEN);
                                service.actions.reject(
                                        id, 0); // which comes before the loop tells of the close
                                return null;
                            });
                    assertEquals(caller.getInputStream().read(), -1);
                }
            }
            service.refuse();
            assertTrue(read(other).startsWith("HTTP/1.1 503"));
            assertTrue(
                    service.lines.toString().contains("client.failed"), service.lines.toString());
            assertTrue(
                    service.lines.toString().contains("WRITTEN in REQUEST_OPEN"),
                    service.lines.toString());
            service.lines.reset();
        }
    }

    /** Detects half a request, and a client that does not hear the end, holding the process. */
    @Test
    public void halfARequestDoesNotHoldTheEnd() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try (Service service = new Service()) {
            for (String text : List.of("GET /a", HEALTH + "POST /api HT", HEALTH)) {
                callers.add(service.caller());
                send(callers.get(callers.size() - 1), text);
            }
            service.drain();
            Await.open("the end of the service", service.over);
            assertEquals(callers.get(0).getInputStream().read(), -1);
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }
}
