package cedarrudder.transport;

import static cedarrudder.transport.HttpServerUnderTest.HEALTH;
import static cedarrudder.transport.HttpServerUnderTest.LIMITS_WITHOUT_TIMEOUTS;
import static cedarrudder.transport.HttpServerUnderTest.MAX_CLIENTS;
import static cedarrudder.transport.HttpServerUnderTest.leave;
import static cedarrudder.transport.HttpServerUnderTest.read;
import static cedarrudder.transport.HttpServerUnderTest.request;
import static cedarrudder.transport.HttpServerUnderTest.send;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.bodyflow.BodyFlow;
import cedarrudder.bodyflow.BufferAccount;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

/**
 * Tests a client connection from its first byte to its end. The test makes the decisions: a request
 * waits until the test rejects it, and what the test does on the event loop happens between two
 * reads of the server.
 */
public class ClientConnectionTest {

    private static final long MAX_READ_AHEAD_BYTES = 1024 * 1024;

    /**
     * A request must not be forwarded if its client has disconnected, even if the end of stream
     * follows unread bytes.
     */
    @Test
    public void aDisconnectBehindUnreadBytesEndsTheOpenRequest() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest()) {
                Socket client = service.client();
                send(client, request("1"));
                long id = service.request();
                send(client, request("2") + request("3"));
                Await.until(
                        "the bytes behind it are buffered",
                        () -> service.on(service.account::bufferedBytes) > 0);
                leave(client, reset);
                assertEquals(Await.next("the end seen", service.left), id);
                Await.until(
                        "nothing is buffered",
                        () -> service.on(service.account::bufferedBytes) == 0);
                assertTrue(service.requests.isEmpty(), "the requests behind it are not forwarded");
            }
        }
    }

    /** Guards against taking a client whose input is not read for one that waits, or has left. */
    @Test
    public void aDisconnectIsDetectedWhileNothingIsReadForLackOfMemory() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest()) {
                AtomicReference<ClientRequest> open = new AtomicReference<>();
                service.requestListener = (request, reply) -> open.set(reply);
                service.on(
                        () -> {
                            service.account.add(BufferAccount.MAX);
                            return null;
                        });
                Socket client = service.client();
                send(client, request("1"));
                long id = service.request();
                send(client, request("2"));
                Await.until(
                        "the bytes behind it are buffered",
                        () -> service.on(service.account::bufferedBytes) > BufferAccount.MAX);
                send(client, request("3").repeat(100));
                long sentAt = System.nanoTime();
                Await.until(
                        "a longer time than a disconnect may be unknown",
                        () -> System.nanoTime() - sentAt > TimeUnit.MILLISECONDS.toNanos(100));
                assertTrue(service.on(open.get()::isClientWaiting));
                assertTrue(service.on(open.get()::canDetectDisconnect));
                leave(client, reset);
                assertEquals(Await.next("the end seen", service.left), id);
            }
        }
    }

    /**
     * Guards against attempts for a client whose end of stream its own system holds back, since the
     * receive window is still closed though little is unread.
     */
    @Test
    public void aClientBehindAWindowThatWasClosedIsNotTakenForConnected() throws Exception {
        int requests = 80;
        List<Integer> takenForConnected = new ArrayList<>();
        for (int answered = 1; answered < requests; answered += 3) {
            try (HttpServerUnderTest service = new HttpServerUnderTest()) {
                AtomicReference<ClientRequest> open = new AtomicReference<>();
                service.requestListener = (request, reply) -> open.set(reply);
                service.on(
                        () -> {
                            service.account.add(BufferAccount.MAX / 2 + 1);
                            return null;
                        });
                Socket client = service.client();
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < requests; i++) {
                    all.append(request("r" + i, "Padding: " + "x".repeat(3_000) + "\r\n"));
                }
                send(client, all.toString());
                for (int i = 0; i < answered; i++) {
                    service.rejectOldest();
                    assertTrue(read(client).startsWith("HTTP/1.1 503"));
                }
                service.request();
                client.close();
                Thread.sleep(100);
                if (service.on(
                        () -> open.get().isClientWaiting() && open.get().canDetectDisconnect())) {
                    takenForConnected.add(answered);
                }
            }
        }
        assertEquals(takenForConnected, List.of());
    }

    private static CompletableFuture<Void> sendBehind(Socket client, int requests) {
        return CompletableFuture.runAsync(
                () -> {
                    try {
                        send(client, HEALTH.repeat(requests));
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static void assertBuffersStayWithin(HttpServerUnderTest service, long maxBytes)
            throws Exception {
        for (int i = 0; i < 1000; i++) {
            long buffered = service.on(service.account::bufferedBytes);
            assertTrue(buffered <= maxBytes, buffered + " bytes are buffered");
        }
    }

    /**
     * A client that sends requests ahead must not use memory without limit, and none of the
     * buffered requests may be lost.
     */
    @Test
    public void pipelinedRequestsAreBufferedWithinALimitAndAnswered() throws Exception {
        int behind = 40_000;
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            send(client, request("1"));
            CompletableFuture<Void> sent = sendBehind(client, behind);
            Await.until(
                    "reading ahead",
                    () -> service.on(service.account::bufferedBytes) >= MAX_READ_AHEAD_BYTES);
            assertBuffersStayWithin(service, 2 * MAX_READ_AHEAD_BYTES);
            service.rejectOldest();
            assertTrue(read(client).startsWith("HTTP/1.1 503"));
            for (int i = 0; i < behind; i++) {
                assertTrue(read(client).startsWith("HTTP/1.1 200"), "answer " + i);
            }
            sent.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS);
        }
    }

    /** Guards against clients that together use up the memory which others need. */
    @Test
    public void pipelinedRequestsOfManyClientsLeaveASpareOfTheAccount() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (HttpServerUnderTest service = new HttpServerUnderTest()) {
            for (int i = 0; i < MAX_CLIENTS; i++) {
                Socket client = service.client();
                clients.add(client);
                send(client, request("open-" + i));
                service.request();
                sendBehind(client, 40_000);
            }
            Await.until(
                    "reading ahead",
                    () -> service.on(service.account::bufferedBytes) >= BufferAccount.MAX / 2);
            assertBuffersStayWithin(service, BufferAccount.MAX * 5 / 8);
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Guards against one client that pipelines requests and delays all others. */
    @Test
    public void aPipeliningClientGetsABoundedPartOfATurnOfTheLoop() throws Exception {
        int pipelined = 280;
        int maxBefore = 64;
        List<String> order = new ArrayList<>();
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket pipelines = service.client();
                Socket other = service.client()) {
            service.rejectsAtOnce = true;
            service.requestListener =
                    (request, client) -> order.add(request.content().head().fields().get("req-id"));
            for (Socket client : List.of(pipelines, other)) {
                send(client, request("first"));
                assertTrue(read(client).startsWith("HTTP/1.1 503"));
            }
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < pipelined; i++) {
                all.append(request("pipelined-" + i));
            }
            service.on(
                    () -> {
                        order.clear();
                        send(pipelines, all.toString());
                        send(other, request("other"));
                        return null;
                    });
            for (int i = 0; i < pipelined; i++) {
                assertTrue(read(pipelines).startsWith("HTTP/1.1 503"), "answer " + i);
            }
            assertTrue(read(other).startsWith("HTTP/1.1 503"));
            int before = service.on(() -> order.indexOf("other"));
            assertTrue(before >= 0 && before <= maxBefore, before + " requests before it");
        }
    }

    /**
     * The timeout of a request starts with its last byte, even if it waits behind another one, and
     * that of a request received later starts later; otherwise responses are sent long after their
     * time.
     */
    @Test
    public void theTimeoutOfARequestStartsWhenItIsReceivedAndNotWhenItIsProcessed()
            throws Exception {
        long wait = TimeUnit.SECONDS.toNanos(900);
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            List<Long> deadlines = new ArrayList<>();
            service.requestListener =
                    (request, reply) -> deadlines.add(request.request().deadline());
            send(client, request("1"));
            Await.until("the first is taken", () -> service.requests.size() == 1);
            send(client, request("2"));
            Await.until(
                    "the second is buffered", () -> service.on(service.account::bufferedBytes) > 0);
            long kept = System.nanoTime();
            Await.until(
                    "a second later", () -> System.nanoTime() - kept > TimeUnit.SECONDS.toNanos(1));
            send(client, request("3"));
            for (int i = 0; i < 3; i++) {
                service.rejectOldest();
                read(client);
            }
            assertTrue(
                    service.on(() -> deadlines.get(1)) - kept <= wait,
                    "it is late by what it waited");
            assertTrue(service.on(() -> deadlines.get(2)) - kept > wait, "it waited for less");
        }
    }

    /**
     * A disconnect that the kernel has received must be detected even if the event loop is late and
     * has not read it.
     */
    @Test
    public void aCheckDetectsTheDisconnectBehindUnreadBytes() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest()) {
                BlockingQueue<Boolean> waits = new LinkedBlockingQueue<>();
                Socket client = service.client();
                service.requestListener =
                        (request, reply) -> {
                            waits.add(reply.isClientWaiting());
                            send(client, request("2"));
                            waits.add(reply.isClientWaiting());
                            send(client, "x".repeat(5000));
                            leave(client, reset);
                            waits.add(reply.isClientWaiting());
                        };
                send(client, request("1"));
                assertTrue(Await.next("a look", waits), "it waits");
                assertTrue(Await.next("a look", waits), "it waits, and has sent more");
                assertFalse(Await.next("a look", waits), "it has gone");
                Await.next("the end seen", service.left);
                assertEquals(service.requests.size(), 1);
            }
        }
    }

    /**
     * Bytes must not be lost or reordered if a check of the socket reads them while others are
     * being decoded: complete requests, partial ones, and pieces of a streamed body.
     */
    @Test
    public void bytesReadWithinADecodeKeepTheirOrder() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            service.requestListener =
                    (request, reply) -> {
                        if (request.request().id() > 3) {
                            return;
                        }
                        String next = request("" + (request.request().id() + 1));
                        for (int i = 0; i < next.length(); i += 50) {
                            send(client, next.substring(i, Math.min(next.length(), i + 50)));
                            assertTrue(reply.isClientWaiting());
                        }
                    };
            send(client, request("1") + HEALTH);
            for (int i = 0; i < 4; i++) {
                service.rejectOldest();
                assertTrue(read(client).startsWith("HTTP/1.1 503"), "RPC " + i);
                if (i == 0) {
                    assertTrue(read(client).startsWith("HTTP/1.1 200"));
                }
            }
        }
    }

    /**
     * The same if the decoder itself passes on the pieces, of which several were received at once.
     */
    @Test
    public void bytesReadWithinAStreamedBodyKeepTheirOrder() throws Exception {
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
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            AtomicInteger sent = new AtomicInteger(first);
            ByteArrayOutputStream got = new ByteArrayOutputStream();
            CompletableFuture<String> whole = new CompletableFuture<>();
            service.requestListener =
                    (request, reply) -> {
                        BodyFlow flow = request.content().rest().flow();
                        got.writeBytes(request.content().body());
                        flow.whenReadable(
                                () -> {
                                    try {
                                        if (sent.get() < chunks.size()) {
                                            send(client, chunks.get(sent.getAndIncrement()));
                                        }
                                        reply.isClientWaiting();
                                    } catch (IOException e) {
                                        service.failures.add(e);
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
                    client,
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
     * A request that is answered within the decoder must cause no fault and no second response:
     * further pieces follow the one that causes the answer, and the end of the body, or malformed
     * bytes.
     */
    @Test
    public void aResponseFromWithinAStreamedBodyIsTheOnlyOne() throws Exception {
        for (String end : List.of("0\r\n\r\n", "no chunk\r\n")) {
            try (HttpServerUnderTest service = new HttpServerUnderTest();
                    Socket client = service.client()) {
                String chunk = "400\r\n" + "x".repeat(1024) + "\r\n";
                service.requestListener =
                        (request, reply) -> {
                            request.content()
                                    .rest()
                                    .flow()
                                    .whenReadable(
                                            () ->
                                                    service.actions.reject(
                                                            request.request().id(), 0));
                            send(client, chunk.repeat(3) + end);
                            assertTrue(reply.isClientWaiting()); // // so that the decoder processes
                            // all of it at once
                        };
                send(
                        client,
                        "POST /api HTTP/1.1\r\n"
                                + "Host: a\r\n"
                                + "Req-Id: 1\r\n"
                                + "Req-Kind: order\r\n"
                                + "Req-Owner: acme\r\n"
                                + "Req-Deadline-Ms: 900000\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + chunk.repeat(64));
                assertTrue(read(client).startsWith("HTTP/1.1 503"));
                assertEquals(client.getInputStream().read(), -1);
            }
        }
    }

    /**
     * Requests that were received completely behind the open one must be answered when their
     * connection is about to end.
     */
    @Test
    public void requestsPipelinedBehindTheLastOneAreAnswered() throws Exception {
        for (boolean byHand : new boolean[] {true, false}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest();
                    Socket client = service.client();
                    Socket idle = service.client()) {
                send(idle, HEALTH);
                assertTrue(read(idle).startsWith("HTTP/1.1 200"));
                send(client, request("1"));
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
                assertEquals(idle.getInputStream().read(), -1, "clients are being disconnected");
                // // On the event loop, which has then read none of it when it answers the first.
                long id = service.request();
                service.on(
                        () -> {
                            send(client, request("2") + request("3"));
                            service.actions.reject(id, 0);
                            return null;
                        });
                for (int i = 1; i <= 3; i++) {
                    String answer = read(client);
                    assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                    assertEquals(answer.contains("Connection: close"), i == 3, "answer " + i);
                    if (i < 3) {
                        service.rejectOldest();
                    }
                }
                assertEquals(client.getInputStream().read(), -1);
            }
        }
    }

    /**
     * Requests that were read must be answered. They follow one that is answered within the
     * decoder, while the server shuts down and closes each connection without an open request.
     */
    @Test
    public void requestsPipelinedBehindAnImmediateResponseAreAnswered() throws Exception {
        for (String atOnce : List.of(HEALTH, request("2"))) {
            try (HttpServerUnderTest service = new HttpServerUnderTest();
                    Socket client = service.client()) {
                send(client, request("1"));
                long id = service.request();
                service.drain(
                        () -> {
                            service.rejectsAtOnce = true;
                            send(client, atOnce + request("3") + request("4"));
                            service.actions.reject(id, 0);
                            return null;
                        });
                for (int i = 1; i <= 4; i++) {
                    String answer = read(client);
                    assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                    assertEquals(answer.contains("Connection: close"), i == 4, "answer " + i);
                }
                assertEquals(client.getInputStream().read(), -1);
            }
        }
    }

    /** Requests behind one that is ended by the shutdown must be answered. */
    @Test
    public void requestsPipelinedBehindAnEndedRequestAreAnswered() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            send(client, request("1") + request("2") + request("3"));
            Await.until("it is taken", () -> service.requests.size() == 1);
            service.rejectsAtOnce = true;
            service.drain();
            for (int i = 1; i <= 3; i++) {
                String answer = read(client);
                assertTrue(answer.startsWith("HTTP/1.1 503"), "answer " + i + ": " + answer);
                assertEquals(answer.contains("Connection: close"), i == 3, "answer " + i);
            }
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    /**
     * A body must not begin to be streamed to an endpoint behind a request that was ended by the
     * shutdown, because the end of the process would cut it off: a streamed request has a longer
     * deadline, but not past the end of the process.
     */
    @Test
    public void aLargeBodyBehindAnEndedRequestHasNoTimeLeft() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            BlockingQueue<Long> left = new LinkedBlockingQueue<>();
            service.requestListener =
                    (request, reply) -> left.add(request.request().deadline() - service.loop.now());
            send(
                    client,
                    request("1")
                            + request("2", "Content-Length: 80000\r\n")
                                    .replace("GET", "POST")
                                    .replace("lookup", "order")
                            + "x".repeat(80_000));
            assertTrue(Await.next("the first RPC", left) > 0);
            Await.until("it is taken", () -> service.requests.size() == 1);
            service.rejectsAtOnce = true;
            service.drain();
            assertTrue(Await.next("the one behind it", left) <= 0, "it has time left");
            assertTrue(read(client).startsWith("HTTP/1.1 503"));
            assertTrue(read(client).startsWith("HTTP/1.1 503"));
        }
    }

    /** Guards against dropping sound requests behind one that is rejected for what it asks. */
    @Test
    public void requestsPipelinedBehindARejectedOneAreAnswered() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            service.rejectsAtOnce = true;
            String unknownKind = request("2").replace("lookup", "unknown");
            send(client, request("1") + unknownKind + request("3") + request("4"));
            for (int i = 1; i <= 4; i++) {
                String answer = read(client);
                assertTrue(answer.startsWith(i == 2 ? "HTTP/1.1 400" : "HTTP/1.1 503"), answer);
                assertEquals(answer.contains("Connection: close"), i == 4, "answer " + i);
            }
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    /** A client that sends requests without end must not keep its connection open for ever. */
    @Test
    public void aClientThatPipelinesWithoutEndIsDisconnected() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client()) {
            send(client, request("0"));
            service.replace();
            int answers = 0;
            for (String answer = ""; !answer.contains("Connection: close"); answers++) {
                send(client, request("" + (answers + 1)));
                service.rejectOldest();
                answer = read(client);
                assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            }
            assertTrue(answers > 1 && answers < 100, answers + " answers");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    /**
     * A request must not be forwarded after its client was sent the end of the output, nor may a
     * reset destroy a response that the client has not read yet: after a last response, and on an
     * idle connection. The event loop itself sends, right after the end of its output.
     */
    @Test
    public void inputAfterTheEndOfTheOutputIsReadAndDropped() throws Exception {
        for (boolean closeRequested : new boolean[] {true, false}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest();
                    Socket client = service.client()) {
                BlockingQueue<ClientConnection> ends = new LinkedBlockingQueue<>();
                service.requestListener = (request, reply) -> ends.add(reply.connection());
                send(client, request("1", closeRequested ? "Connection: close\r\n" : ""));
                long id = service.request();
                service.on(
                        () -> {
                            service.actions.reject(id, 0);
                            if (!closeRequested) {
                                ends.take().closeIfQuiet();
                            }
                            send(client, request("late"));
                            return null;
                        });
                assertEquals(read(client).contains("Connection: close"), closeRequested);
                assertEquals(client.getInputStream().read(), -1, "an end in order, and no reset");
                client.shutdownOutput();
                Await.until(
                        "the end of the connection",
                        () -> service.on(service.listener::clients) == 0);
                assertTrue(service.requests.isEmpty());
            }
        }
    }

    /**
     * A request must be processed that was received on a connection chosen for eviction, even if it
     * is answered at once, and the connection is between requests again.
     */
    @Test
    public void pendingInputIsReadBeforeAnEviction() throws Exception {
        for (boolean atOnce : new boolean[] {false, true}) {
            try (HttpServerUnderTest service = new HttpServerUnderTest();
                    Socket active = service.client();
                    Socket idleClient = service.client()) {
                for (Socket client : List.of(active, idleClient)) {
                    send(client, HEALTH);
                    read(client);
                }
                service.rejectsAtOnce = atOnce;
                service.on(
                        () -> {
                            send(active, request("1"));
                            service.listener.apply(LIMITS_WITHOUT_TIMEOUTS, 1);
                            return null;
                        });
                if (!atOnce) {
                    service.rejectOldest();
                }
                assertTrue(read(active).startsWith("HTTP/1.1 503"));
                assertEquals(idleClient.getInputStream().read(), -1, "the other one is closed");
                send(active, HEALTH);
                assertTrue(read(active).startsWith("HTTP/1.1 200"));
            }
        }
    }

    /**
     * The last response of a connection must not be lost by its eviction: a close with unread bytes
     * resets it. A connection without unread bytes is evicted instead.
     */
    @Test
    public void pendingInputIsReadBeforeAConnectionWithItsLastResponseIsEvicted() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket closeRequested = service.client();
                Socket idleClient = service.client()) {
            send(idleClient, HEALTH);
            read(idleClient);
            send(closeRequested, request("1", "Connection: close\r\n"));
            long id = service.request();
            service.on(
                    () -> {
                        service.actions.reject(id, 0);
                        send(closeRequested, request("late"));
                        service.listener.apply(LIMITS_WITHOUT_TIMEOUTS, 1);
                        return null;
                    });
            Await.until("there is room", () -> service.on(service.listener::clients) == 1);
            assertTrue(read(closeRequested).contains("Connection: close"));
            send(closeRequested, "x");
            send(idleClient, HEALTH);
            assertTrue(read(idleClient).startsWith("HTTP/1.1 200"));
        }
    }

    /** A connection must be closed if an illegal event occurs, and no other connection with it. */
    @Test
    public void anIllegalEventClosesItsConnectionOnly() throws Exception {
        try (HttpServerUnderTest service = new HttpServerUnderTest();
                Socket client = service.client();
                Socket other = service.client()) {
            BlockingQueue<ClientConnection> taken = new LinkedBlockingQueue<>();
            service.requestListener = (request, reply) -> taken.add(reply.connection());
            for (Socket each : List.of(client, other)) {
                send(each, request(each == client ? "1" : "2"));
                Await.until("it is taken", () -> service.requests.size() == 1);
                if (each == client) {
                    ClientConnection broken = Await.next("its connection", taken);
                    long id = service.request();
                    service.on(
                            () -> {
                                broken.on(ClientConnectionState.Event.WRITTEN);
                                service.actions.reject(
                                        id, 0); // // which occurs before the event loop reports the
                                // close
                                return null;
                            });
                    assertEquals(client.getInputStream().read(), -1);
                }
            }
            service.rejectOldest();
            assertTrue(read(other).startsWith("HTTP/1.1 503"));
            assertTrue(
                    service.logOutput.toString().contains("client.failed"),
                    service.logOutput.toString());
            assertTrue(
                    service.logOutput.toString().contains("WRITTEN in REQUEST_OPEN"),
                    service.logOutput.toString());
            service.logOutput.reset();
        }
    }

    /**
     * A partial request, or a client that does not react to the end of the output, must not delay
     * the end of the process.
     */
    @Test
    public void aPartialRequestDoesNotDelayTheEndOfTheProcess() throws Exception {
        List<Socket> callers = new ArrayList<>();
        try (HttpServerUnderTest service = new HttpServerUnderTest()) {
            for (String text : List.of("GET /a", HEALTH + "POST /api HT", HEALTH)) {
                callers.add(service.client());
                send(callers.get(callers.size() - 1), text);
            }
            service.drain();
            Await.open("the end of the service", service.shutdownComplete);
            assertEquals(callers.get(0).getInputStream().read(), -1);
            for (Socket client : callers) {
                client.close();
            }
        }
    }
}
