package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The built jar, which is told to end while it passes on long responses. */
public class LongResponseShutdownIT {

    private static final String STAYS = "/stays-for-test";
    private static final int WINDOW = 64 * 1024;
    private static final int RESPONSES = 9;
    private static final int BEFORE_SIGNAL_MILLIS = 1_000;

    /** The longest time from the last response to the end of the process. */
    private static final int MAX_END_MILLIS = 2_000;

    /** A stopped peer is given up after 10 s without progress; the rest is for a busy machine. */
    private static final int MAX_END_WITH_STOPPED_PEERS_MILLIS = 15_000;

    /** A response that takes some seconds more than a process has for its open requests. */
    private record Shape(
            ResponseFraming framing,
            int pieceBytes,
            int pieces,
            int gapMillis,
            int readBytesPerMilli) {

        static Shape draw(ResponseFraming framing, Random random) {
            return switch (random.nextInt(4)) {
                case 0 -> new Shape(framing, 20_000 + random.nextInt(20_000), 70, 100, 0);
                case 1 -> new Shape(framing, 200_000 + random.nextInt(100_000), 8, 900, 0);
                case 2 -> new Shape(framing, 1_000_000, 30, 0, 4_000);
                default -> new Shape(framing, 8_000 + random.nextInt(2_000), 11, 700, 0);
            };
        }

        int length() {
            return pieceBytes * pieces;
        }

        void send(Received request) throws Exception {
            framing.sendHead(request, length());
            String piece = "y".repeat(pieceBytes);
            for (int i = 0; i < pieces; i++) {
                framing.send(request, piece);
                Thread.sleep(gapMillis);
            }
            framing.end(request);
        }

        /** Reads until the proxy ends the connection; returns what is wrong, or nothing. */
        String read(Client client) throws Exception {
            boolean isChunked = client.readHead().field("Transfer-Encoding") != null;
            long letters = 0;
            String tail = "";
            byte[] piece = new byte[20_000];
            try {
                for (int count = 0; count >= 0; count = client.in().read(piece)) {
                    String text = new String(piece, 0, count, StandardCharsets.ISO_8859_1);
                    letters += text.chars().filter(letter -> letter == 'y').count();
                    tail = (tail + text).substring(Math.max(0, tail.length() + count - 7));
                    Thread.sleep(readBytesPerMilli == 0 ? 0 : count / readBytesPerMilli);
                }
            } catch (IOException e) {
                return this + ": " + e + " after " + letters + " bytes\n";
            }
            boolean isWhole = letters == length() && (!isChunked || tail.endsWith("\r\n0\r\n\r\n"));
            return isWhole ? "" : this + ": ended after " + letters + " bytes\n";
        }
    }

    private static String request(String id, long deadlineMillis) {
        return ProxyHarness.request("order", STAYS, "x")
                .replace("id-1", id)
                .replace("Deadline-Ms: 30000", "Deadline-Ms: " + deadlineMillis);
    }

    private static CompletableFuture<String> receive(ProxyHarness harness, Shape shape, String id)
            throws Exception {
        Client client = harness.client();
        client.send(request(id, 2_000));
        Received received = harness.nextRequest();
        TestEndpoints.daemon(() -> shape.send(received));
        CompletableFuture<String> result = new CompletableFuture<>();
        TestEndpoints.daemon(
                () -> {
                    try (client) {
                        result.complete(shape.read(client));
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    private static long millisSince(long instant) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - instant);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against cutting off, at the end of the process, what endpoints still send. */
    @Test(dataProvider = "ends")
    public void longResponsesAreServedWholeBeforeTheProcessEnds(boolean isReplaced)
            throws Exception {
        long seed = System.nanoTime();
        System.out.println("LongResponseShutdownIT: seed " + seed + " replaced " + isReplaced);
        Random random = new Random(seed);
        Path state = Files.createTempDirectory("end");
        try (ProxyHarness harness = new ProxyHarness(4);
                ProxyUnderTest first = new ProxyUnderTest(harness, state)) {
            TestEndpoints.serveFullList(harness);
            first.awaitReady();
            List<CompletableFuture<String>> results = new ArrayList<>();
            for (int i = 0; i < RESPONSES; i++) {
                ResponseFraming framing =
                        ResponseFraming.values()[i % ResponseFraming.values().length];
                results.add(receive(harness, Shape.draw(framing, random), "long-" + i));
            }
            Thread.sleep(BEFORE_SIGNAL_MILLIS);
            try (Client open = harness.client();
                    ProxyUnderTest second =
                            isReplaced ? new ProxyUnderTest(harness, state) : null) {
                open.send(request("open", 20_000));
                harness.nextRequest();
                if (isReplaced) {
                    second.awaitReady();
                }
                first.signal("TERM");
                assertEquals(open.read().first(), "HTTP/1.1 502 Bad Gateway");
                StringBuilder wrong = new StringBuilder();
                for (CompletableFuture<String> result : results) {
                    wrong.append(result.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS));
                }
                long lastAnsweredAt = System.nanoTime();
                assertEquals(wrong.toString(), "");
                first.awaitEnd(ProxyUnderTest.TERMINATED);
                long millis = millisSince(lastAnsweredAt);
                assertTrue(millis < MAX_END_MILLIS, millis + " ms");
            }
        }
    }

    /** Guards against a process that does not end, since its endpoint or its client has stopped. */
    @Test
    public void stoppedPeersDoNotKeepTheProcess() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(harness, Files.createTempDirectory("end"))) {
            TestEndpoints.serveFullList(harness);
            proxy.awaitReady();
            stopPeers(harness);
            long signalledAt = System.nanoTime();
            proxy.signal("TERM");
            proxy.awaitEnd(ProxyUnderTest.TERMINATED);
            long millis = millisSince(signalledAt);
            assertTrue(millis < MAX_END_WITH_STOPPED_PEERS_MILLIS, millis + " ms");
        }
    }

    /** Begins two long responses: one whose endpoint stops, and one whose client does. */
    private static void stopPeers(ProxyHarness harness) throws Exception {
        Client reading = harness.client();
        reading.send(request("endpoint-stops", 2_000));
        String part = "Content-Length: 9000000\r\n\r\n" + "y".repeat(2 * WINDOW);
        harness.nextRequest().raw("HTTP/1.1 200 OK\r\n" + part);
        assertEquals(reading.readHead().first(), "HTTP/1.1 200 OK");
        Client stopped = harness.client();
        stopped.send(request("client-stops", 2_000));
        Received unread = harness.nextRequest();
        TestEndpoints.daemon(
                () -> new Shape(ResponseFraming.LENGTH, 1_000_000, 30, 0, 0).send(unread));
        assertEquals(stopped.readHead().first(), "HTTP/1.1 200 OK");
    }
}
