package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Large requests to endpoints that stop reading them, or read them slowly. */
public class StalledUploadScenarioTest {

    /** More than the socket buffers between the proxy and an endpoint take. */
    private static final int STALLING_BYTES = 9_000_000;

    /** More than an endpoint's socket buffers take, and less than these and the client's. */
    private static final int WRITTEN_AT_ONCE_BYTES = 5_500_000;

    private static final int DEADLINE_MILLIS = 800;

    /** The time past its deadline after which an answer counts as lost, and the network's share. */
    private static final int ALLOWED_LATE_MILLIS = 550;

    /** What a client is owed that stops within a request and stays, and the network's share. */
    private static final int MAX_STOP_MILLIS = 3_050;

    private static final int PIECE_BYTES = 16 * 1024;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private static String head(String id, String kind, int length, long deadlineMillis) {
        String framing = length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length;
        String key = kind.equals("booking") ? "Idempotency-Key" : "X-Key";
        return ProxyHarness.request(kind, "/stays-for-test", "", key + ": key-" + id)
                .replace("id-1", id)
                .replace("Content-Length: 0", framing)
                .replace("Deadline-Ms: 30000", "Deadline-Ms: " + deadlineMillis);
    }

    /** Writes a body as fast as the proxy takes it, or with a pause after each piece. */
    private static void writeBody(Client client, int length, boolean chunked, int pauseMillis)
            throws Exception {
        OutputStream out = client.out();
        for (int left = length; left > 0; ) {
            int size = Math.min(left, PIECE_BYTES);
            String piece = "x".repeat(size);
            String framed = chunked ? Integer.toHexString(size) + "\r\n" + piece + "\r\n" : piece;
            out.write(framed.getBytes(StandardCharsets.ISO_8859_1));
            left -= size;
            Thread.sleep(pauseMillis);
        }
        if (chunked) {
            out.write(LAST_CHUNK.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /**
     * Reads a number of bytes of a body, or up to the last chunk, with a pause after each piece.
     */
    private static void readSlowly(Received request, int bytes, int pauseMillis) throws Exception {
        InputStream in = request.socket().getInputStream();
        byte[] piece = new byte[PIECE_BYTES];
        String tail = "";
        for (int read = 0; read < bytes && !tail.endsWith(LAST_CHUNK); ) {
            int got = in.read(piece);
            if (got < 0) {
                return;
            }
            read += got;
            tail += new String(piece, 0, got, StandardCharsets.ISO_8859_1);
            tail = tail.substring(Math.max(0, tail.length() - LAST_CHUNK.length()));
            Thread.sleep(pauseMillis);
        }
    }

    private static ProxyHarness harness(int nodes) throws Exception {
        ProxyHarness harness = new ProxyHarness(nodes);
        harness.leavesBodies = true;
        return harness.start();
    }

    @DataProvider
    public Object[][] stalls() {
        return new Object[][] {
            {"order", STALLING_BYTES, 0},
            {"order", STALLING_BYTES, 30_000},
            {"booking", -1, 0},
            {"booking", -1, 30_000},
            {"order", STALLING_BYTES, Integer.MAX_VALUE},
            {"order", -1, Integer.MAX_VALUE}
        };
    }

    /** Guards against a client that has written all and gets no final answer in time. */
    @Test(dataProvider = "stalls")
    public void anUploadThatItsEndpointDoesNotReadIsAnsweredAtItsDeadline(
            String kind, int declared, int readByEndpoint) throws Exception {
        try (ProxyHarness harness = harness(1);
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness, request -> readSlowly(request, readByEndpoint, 150));
            long begunAt = System.nanoTime();
            client.send(head("stuck", kind, declared, DEADLINE_MILLIS));
            TestEndpoints.daemon(() -> writeBody(client, STALLING_BYTES, declared < 0, 0));
            Received answer = client.readHead();
            long lateMillis =
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt) - DEADLINE_MILLIS;
            assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
            assertTrue(lateMillis <= ALLOWED_LATE_MILLIS, lateMillis + " ms after its deadline");
        }
    }

    /** Guards against a deadline that counts anew when an endpoint reads again. */
    @Test
    public void anUploadThatIsReadLateIsAnsweredAtItsDeadline() throws Exception {
        try (ProxyHarness harness = harness(1);
                Client client = harness.client()) {
            long deadlineMillis = 3 * DEADLINE_MILLIS;
            CompletableFuture<Long> writtenAt = new CompletableFuture<>();
            client.send(head("late", "order", WRITTEN_AT_ONCE_BYTES, deadlineMillis));
            TestEndpoints.daemon(
                    () -> {
                        writeBody(client, WRITTEN_AT_ONCE_BYTES, false, 0);
                        writtenAt.complete(System.nanoTime());
                    });
            Received request = harness.nextRequest();
            Thread.sleep(3 * deadlineMillis / 4);
            TestEndpoints.daemon(() -> readSlowly(request, Integer.MAX_VALUE, 0));
            Received answer = client.readHead();
            long lateMillis =
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenAt.get())
                            - deadlineMillis;
            assertEquals(answer.first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(lateMillis <= ALLOWED_LATE_MILLIS, lateMillis + " ms after its deadline");
        }
    }

    @DataProvider
    public Object[][] soundUploads() {
        // client's pause, endpoint's pause, size
        return new Object[][] {
            {false, 100, 0, 400_000},
            {true, 100, 0, 400_000},
            {false, 0, 1, STALLING_BYTES},
            {true, 0, 1, 2_000_000},
            {false, 0, 2, 32 * 1024 * 1024}
        };
    }

    /** Guards against ending an upload that its client still writes. */
    @Test(dataProvider = "soundUploads")
    public void anUploadThatTakesLongerThanItsDeadlineIsServed(
            boolean chunked, int clientPause, int endpointPause, int length) throws Exception {
        try (ProxyHarness harness = harness(1);
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        readSlowly(request, chunked ? Integer.MAX_VALUE : length, endpointPause);
                        request.reply("200 OK", "done");
                    });
            client.send(head("sound", "order", chunked ? -1 : length, 3 * DEADLINE_MILLIS));
            TestEndpoints.daemon(() -> writeBody(client, length, chunked, clientPause));
            assertEquals(client.read().body(), "done");
        }
    }

    /** Guards against a client without an answer where the process ends, or operators drain it. */
    @Test
    public void aStalledUploadIsAnsweredDuringADrainAndBeforeTheProcessEnds() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin()) {
            harness.leavesBodies = true;
            harness.start();
            try (Client drained = harness.client();
                    Client ended = harness.client()) {
                drained.send(head("drained", "order", STALLING_BYTES, 2 * DEADLINE_MILLIS));
                ended.send(head("ended", "order", -1, 30_000));
                TestEndpoints.daemon(() -> writeBody(drained, STALLING_BYTES, false, 0));
                TestEndpoints.daemon(() -> writeBody(ended, STALLING_BYTES, true, 0));
                harness.nextRequest();
                harness.nextRequest();
                assertEquals(harness.status("POST", "/-/drain"), 200);
                assertEquals(drained.readHead().first(), "HTTP/1.1 503 Service Unavailable");
                Thread end = new Thread(harness::end);
                end.start();
                assertEquals(ended.readHead().first(), "HTTP/1.1 503 Service Unavailable");
                Await.end("the end of the service", end);
            }
        }
    }

    @DataProvider
    public Object[][] stops() {
        return new Object[][] {{false, 1_000}, {false, 100_000}, {true, 1_000}, {true, 100_000}};
    }

    /** Guards against a client that stops within its body and stays without an end. */
    @Test(dataProvider = "stops")
    public void aClientThatStopsWithinItsBodyGetsItsEndInTime(boolean chunked, int bytes)
            throws Exception {
        try (ProxyHarness harness = harness(1);
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness, request -> readSlowly(request, Integer.MAX_VALUE, 0));
            client.send(head("stops", "order", chunked ? -1 : STALLING_BYTES, 20_000));
            client.send((chunked ? "f4240\r\n" : "") + "x".repeat(bytes));
            long stoppedAt = System.nanoTime();
            try {
                client.readAll();
            } catch (SocketException e) {
                // a reset is an end too
            }
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedAt);
            assertTrue(tookMillis <= MAX_STOP_MILLIS, tookMillis + " ms");
        }
    }
}
