package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests which answers clients get that go on sending after SIGTERM, up to the last connection. */
public class GracefulShutdownTest {

    private static final int CLIENTS = 24;
    private static final long KILLED_AFTER = 3_700_000_000L;

    /**
     * No request may be lost while the proxy shuts down: each is answered, or its connection is
     * closed in order between two requests. New clients connect for 0.4 s, and each sends until its
     * connection ends; some pause so long that their connections are idle when they are closed.
     */
    @Test
    public void eachRequestAfterSigtermIsAnsweredOrItsConnectionClosedBeforeIt() throws Exception {
        long seed = System.nanoTime();
        System.out.println("GracefulShutdownTest: seed " + seed);
        Random random = new Random(seed);
        try (ProxyHarness harness = new ProxyHarness(3).start()) {
            TestEndpoints.handleRequests(
                    harness,
                    received -> {
                        Thread.sleep(5);
                        received.reply("200 OK", "done");
                    });
            PersistentClients clients = new PersistentClients(harness, random);
            for (int i = 0; i < CLIENTS; i++) {
                clients.start("old-" + i + "-");
            }
            clients.awaitServed(200);
            assertFalse(clients.hasAnyEnded(), clients.toString());
            long signalledAt = System.nanoTime();
            Thread end = new Thread(harness::end);
            end.start();
            for (int i = 0; i < CLIENTS; i++) {
                Thread.sleep(400 / CLIENTS);
                clients.start("new-" + i + "-");
            }
            clients.awaitEnds();
            Await.end("the end of the service", end);
            assertTrue(
                    System.nanoTime() - signalledAt < KILLED_AFTER,
                    "the service ends before SIGKILL");
            assertTrue(clients.allEndedInOrder(), clients.toString());
            System.out.println("GracefulShutdownTest: " + clients);
        }
    }

    /**
     * An accepted request must not stay unanswered because its deadline lies after the process is
     * killed, and half a request may still be completed in the last moments.
     */
    @Test
    public void requestsOpenDuringTheLastMomentsAreAnswered() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client accepted = harness.client();
                Client behind = harness.client()) {
            accepted.send(ProxyHarness.request("order", "/stays-for-test", "x"));
            harness.nextRequest();
            Thread end = new Thread(harness::end);
            long signalledAt = System.nanoTime();
            end.start();
            // A second request behind the first on the same connection, read ahead of the first
            // one's answer.
            behind.send(
                    ProxyHarness.request("lookup", "/api", "").replace("id-1", "behind-1")
                            + ProxyHarness.request("lookup", "/api", "")
                                    .replace("id-1", "behind-2"));
            harness.nextRequest().reply("200 OK", "first");
            assertEquals(behind.read().body(), "first");
            harness.nextRequest().reply("200 OK", "second");
            assertEquals(behind.read().body(), "second");
            // The proxy does not wait for half a request as long as it takes to shut down.
            Thread.sleep(1500);
            try (Client half = harness.client()) {
                String request = ProxyHarness.request("lookup", "/api", "").replace("id-1", "half");
                half.send(request.substring(0, request.length() - 2));
                assertEquals(behind.read(), null, "closed between requests");
                half.send("\r\n");
                harness.nextRequest().reply("200 OK", "whole");
                Received answer = half.read();
                assertEquals(answer.body(), "whole");
                assertEquals(answer.field("Connection"), "close");
            }
            assertEquals(
                    accepted.read().first(),
                    "HTTP/1.1 502 Bad Gateway",
                    "the request may have run");
            assertTrue(System.nanoTime() - signalledAt < KILLED_AFTER, "before SIGKILL");
            Await.end("the end of the service", end);
        }
    }

    /**
     * The last answer of a connection must not be lost. Closing a connection while bytes of its
     * client are unread resets it, and the reset discards the part of the answer that does not yet
     * fit into the client's receive buffer.
     */
    @Test
    public void theLastAnswerIsNotLostWhenItsClientSendsMore() throws Exception {
        String answer = "x".repeat(60_000);
        String more =
                "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"
                        + "y".repeat(400_000);
        String one = ProxyHarness.request("order", "/api", "x").replace("HTTP/1.1", "HTTP/1.0");
        String withClose =
                ProxyHarness.request("order", "/api", "x", "Connection: close")
                        .replace("id-1", "id-2");
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            for (String request : List.of(one, withClose)) {
                try (Socket client = new Socket()) {
                    client.setReceiveBufferSize(4096);
                    client.setSoTimeout(20_000);
                    client.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), harness.port));
                    client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                    Received received = harness.nextRequest();
                    // The kernel accepts these bytes, whether or not the proxy reads them.
                    client.getOutputStream().write(more.getBytes(StandardCharsets.ISO_8859_1));
                    received.reply("200 OK", answer);
                    assertEquals(client.getInputStream().read(), 'H');
                    awaitAnsweredClient(harness);
                    awaitAnsweredClient(harness);
                    String all =
                            new String(
                                    client.getInputStream().readAllBytes(),
                                    StandardCharsets.ISO_8859_1);
                    assertTrue(
                            all.endsWith("\r\n\r\n" + answer),
                            all.length() + " bytes of the answer received");
                }
            }
        }
    }

    /** Waits for another client's answer, which shows that the event loop has run again. */
    private static void awaitAnsweredClient(ProxyHarness harness) throws IOException {
        try (Client other = harness.client()) {
            assertEquals(
                    other.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().body(),
                    "ready\n");
        }
    }

    /**
     * Guards against losing a request that is sent behind a long response, after the process has
     * answered all others: it is rejected, since no time is left to forward it.
     */
    @Test
    public void aRequestBehindALongResponseIsAnsweredAtItsEnd() throws Exception {
        int pieces = 50;
        String piece = "y".repeat(10_000);
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/stays-for-test", "x"));
            Received received = harness.nextRequest();
            ResponseFraming.LENGTH.sendHead(received, pieces * piece.length());
            ResponseFraming.LENGTH.send(received, piece.repeat(pieces / 2));
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            Thread end = new Thread(harness::end);
            end.start();
            Thread.sleep(TimeUnit.NANOSECONDS.toMillis(KILLED_AFTER));
            client.send(ProxyHarness.request("order", "/api", "x").replace("id-1", "behind"));
            for (int i = 0; i < pieces / 2; i++) {
                Thread.sleep(20);
                ResponseFraming.LENGTH.send(received, piece);
            }
            client.in().skipNBytes((long) pieces * piece.length());
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            Await.end("the end of the service", end);
            assertEquals(harness.requests.poll(), null, "the request was not forwarded");
        }
    }

    /**
     * Clients that don't read their answers must not delay the shutdown until the process is
     * killed.
     */
    @Test
    public void aClientThatDoesNotReadDoesNotDelayTheShutdown() throws Exception {
        int large = 32 * 1024 * 1024;
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 600000\n"))
                                .start();
                Client nonReading = harness.client()) {
            nonReading.send(ProxyHarness.request("lookup", "/stays-for-test", ""));
            Received received = harness.nextRequest();
            received.raw("HTTP/1.1 200 OK\r\nContent-Length: " + large + "\r\n\r\n");
            TestEndpoints.daemon(() -> received.raw("x".repeat(large)));
            assertEquals(nonReading.readHead().first(), "HTTP/1.1 200 OK");
            Thread end = new Thread(harness::end);
            end.start();
            Await.end("the end of the service", end);
            try {
                assertTrue(nonReading.readAll().length() < large);
            } catch (SocketException e) {
                // a reset, which shows that the answer is incomplete
            }
        }
    }
}
