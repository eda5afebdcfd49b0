package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Clients that read a large response slowly, but without a stop, and one that reads nothing. */
public class SlowReaderScenarioTest {

    private static final String STAYS = "/stays-for-test";
    private static final int LENGTH = 32_000_000;

    /** The lowest rate at which clients have to be served. */
    private static final int BYTES_PER_SECOND = 64_000;

    /** Longer than a client may read nothing. */
    private static final int READING_MILLIS = 14_000;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final long MAX_LATENCY_BESIDE_MILLIS = 1_000;

    /** A client that reads {@link #BYTES_PER_SECOND}, so many bytes at once. */
    private record Reader(ResponseFraming framing, int pieceBytes, int receiveBufferBytes) {

        static Reader draw(ResponseFraming framing, Random random) {
            boolean isLump = random.nextInt(3) == 0;
            int pieceBytes = isLump ? 2 * BYTES_PER_SECOND : 400 + random.nextInt(6_000);
            return new Reader(
                    framing, pieceBytes, random.nextBoolean() ? SMALL_RECEIVE_BUFFER_BYTES : 0);
        }
    }

    private static String request(ResponseFraming framing, String id) {
        return ProxyHarness.request("lookup", STAYS, "")
                .replace("HTTP/1.1", framing == ResponseFraming.CLOSE ? "HTTP/1.0" : "HTTP/1.1")
                .replace("id-1", id);
    }

    private static void sendLarge(Received request) throws IOException {
        ResponseFraming framing = ResponseFraming.valueOf(request.field("Req-Id").split("-")[0]);
        framing.sendHead(request, LENGTH);
        String piece = "y".repeat(16_000);
        for (int sent = 0; sent < LENGTH; sent += piece.length()) {
            framing.send(request, piece);
        }
    }

    /** Reads for a while; returns what ended the response, or nothing. */
    private static String read(ProxyHarness harness, Reader reader, String id) throws Exception {
        try (Client client = new Client(harness.port, reader.receiveBufferBytes)) {
            client.send(request(reader.framing, id));
            assertEquals(client.readHead().first().substring(9), "200 OK");
            long begunAt = System.nanoTime();
            for (long read = 0; millisSince(begunAt) < READING_MILLIS; ) {
                try {
                    int count = client.in().readNBytes(reader.pieceBytes).length;
                    if (count < reader.pieceBytes) {
                        return id + " ended after " + millisSince(begunAt) + " ms";
                    }
                } catch (IOException e) {
                    return id + ": " + e + " after " + millisSince(begunAt) + " ms";
                }
                read += reader.pieceBytes;
                Thread.sleep(Math.max(0, read * 1_000 / BYTES_PER_SECOND - millisSince(begunAt)));
            }
            return "";
        }
    }

    private static long millisSince(long instant) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - instant);
    }

    private static CompletableFuture<String> async(ProxyHarness harness, Reader reader, String id) {
        CompletableFuture<String> result = new CompletableFuture<>();
        TestEndpoints.daemon(
                () -> {
                    try {
                        result.complete(read(harness, reader, id));
                    } catch (Exception | AssertionError e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /** Returns the longest time that a small request took, of many one after the other. */
    private static long maxLatencyBeside(ProxyHarness harness) throws Exception {
        List<Long> millis = new ArrayList<>();
        try (Client client = harness.client()) {
            for (int i = 0; i < 100; i++) {
                long sentAt = System.nanoTime();
                client.send(
                        ProxyHarness.request("lookup", "/small", "").replace("id-1", "small-" + i));
                assertEquals(client.read().first(), "HTTP/1.1 200 OK");
                millis.add(millisSince(sentAt));
                Thread.sleep(50);
            }
        }
        return Collections.max(millis);
    }

    /**
     * Guards against taking a client that reads slowly for one that reads nothing, since the kernel
     * reports its socket as writable only once a third of a large send buffer is free.
     */
    @Test
    public void aClientThatReadsSlowlyKeepsItsResponseAndOneThatStopsIsEnded() throws Exception {
        long seed = System.nanoTime();
        System.out.println("SlowReaderScenarioTest: seed " + seed);
        Random random = new Random(seed);
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client nonReading = harness.client()) {
            nonReading.send(request(ResponseFraming.LENGTH, "LENGTH-stops"));
            Received abandoned = harness.nextRequest();
            TestEndpoints.daemon(() -> sendLarge(abandoned));
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        if (request.first().contains(STAYS)) {
                            sendLarge(request);
                        } else {
                            request.reply("200 OK", "small");
                        }
                    });
            List<CompletableFuture<String>> ends = new ArrayList<>();
            for (ResponseFraming framing : ResponseFraming.values()) {
                for (int i = 0; i < 3; i++) {
                    Reader reader = Reader.draw(framing, random);
                    System.out.println("SlowReaderScenarioTest: " + reader);
                    ends.add(async(harness, reader, framing + "-" + i));
                }
            }
            long latencyMillis = maxLatencyBeside(harness);
            assertTrue(latencyMillis < MAX_LATENCY_BESIDE_MILLIS, latencyMillis + " ms");
            StringBuilder ended = new StringBuilder();
            for (CompletableFuture<String> end : ends) {
                ended.append(end.get());
            }
            assertEquals(ended.toString(), "");
            abandoned.awaitEnd(); // the proxy has ended the response that is not read
        }
    }
}
