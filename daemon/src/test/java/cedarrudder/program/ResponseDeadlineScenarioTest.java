package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Which responses the deadline of their request ends: those of up to 64 KiB by their last byte, and
 * of larger ones none once they have begun. The exact instants are tested in virtual time by {@code
 * RequestDeadlinesTest}.
 */
public class ResponseDeadlineScenarioTest {

    /** A target whose requests leave the socket of the endpoint to the test. */
    private static final String STAYS = "/stays-for-test";

    private static final int WINDOW = 64 * 1024;
    private static final int DEADLINE_MILLIS = 800;
    private static final long LONG_MILLIS = 30_000;

    /** The pieces of a slow response: 64 KiB of them take longer than the short deadline. */
    private static final int PIECE_BYTES = 1_000;

    private static final int PIECE_INTERVAL_MILLIS = 20;

    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String ENDS_BY_CLOSE = "Connection: close";

    private static String request(String id, long deadlineMillis) {
        return ProxyHarness.request("order", STAYS, "x")
                .replace("id-1", id)
                .replace("Deadline-Ms: 30000", "Deadline-Ms: " + deadlineMillis);
    }

    /** An endpoint that sends a byte of its response every few milliseconds, far past deadlines. */
    private static final class EndlessResponse {
        private static final int BYTES = 1_500;
        private static final int INTERVAL_MILLIS = 10;

        private final CountDownLatch cutOff = new CountDownLatch(1);

        EndlessResponse(Received request, String head, boolean chunked) {
            TestEndpoints.daemon(
                    () -> {
                        try {
                            request.raw(head);
                            for (int i = 0; i < BYTES; i++) {
                                request.raw(chunked ? "1\r\nx\r\n" : "x");
                                Thread.sleep(INTERVAL_MILLIS);
                            }
                        } catch (IOException e) {
                            cutOff.countDown();
                        }
                    });
        }

        /** Waits until the proxy has closed the connection while bytes were still being sent. */
        void awaitCutOff() throws InterruptedException {
            Await.open("the end of the endpoint's connection", cutOff);
        }
    }

    /** Reads the final answer; one that was begun must end by a reset, so that the client knows. */
    private static void assertVisiblyFailed(Client client) throws IOException {
        Received head = client.readHead();
        if (head.first().equals("HTTP/1.1 200 OK")) {
            assertThrows(SocketException.class, client::readAll);
        } else {
            assertEquals(head.first(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    @DataProvider
    public Object[][] framings() {
        String interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
        return new Object[][] {
            {"", "Content-Length: 2000"},
            {"", CHUNKED},
            {"", ENDS_BY_CLOSE},
            {interim, "Content-Length: 2000"},
            {interim, CHUNKED}
        };
    }

    /** Guards against a client that waits without an end for a short response that never ends. */
    @Test(dataProvider = "framings")
    public void aShortResponseThatNeverEndsIsEndedAtItsDeadline(String before, String framing)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("endless", DEADLINE_MILLIS));
            EndlessResponse response =
                    new EndlessResponse(
                            harness.nextRequest(),
                            before + "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n",
                            framing.equals(CHUNKED));
            assertVisiblyFailed(client);
            response.awaitCutOff();
        }
    }

    /** Guards against the same after a reload, which must leave deadlines as they are. */
    @Test
    public void aShortResponseThatNeverEndsIsEndedAtItsDeadlineAfterAReload() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("endless", DEADLINE_MILLIS));
            EndlessResponse response =
                    new EndlessResponse(
                            harness.nextRequest(),
                            "HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n\r\n",
                            true);
            harness.reload(harness.configuration());
            assertVisiblyFailed(client);
            response.awaitCutOff();
        }
    }

    /** Guards against the same where the deadline counts from the last byte of a large body. */
    @Test
    public void aShortResponseThatNeverEndsToAStreamedUploadIsEndedAtItsDeadline()
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(
                    request("upload", DEADLINE_MILLIS)
                            .replace("Content-Length: 1\r\n", CHUNKED + "\r\n")
                            .replace("\r\n\r\nx", "\r\n\r\n"));
            client.send("13880\r\n" + "x".repeat(80_000) + "\r\n");
            Received received = harness.nextRequest();
            client.send("0\r\n\r\n");
            awaitLastChunk(received);
            EndlessResponse response =
                    new EndlessResponse(
                            received, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", false);
            assertVisiblyFailed(client);
            response.awaitCutOff();
        }
    }

    /** Reads the rest of a chunked request. */
    private static void awaitLastChunk(Received received) throws IOException {
        StringBuilder tail = new StringBuilder();
        while (tail.indexOf("\r\n0\r\n\r\n") < 0) {
            tail.append((char) received.socket().getInputStream().read());
            tail.delete(0, Math.max(0, tail.length() - 16));
        }
    }

    @DataProvider
    public Object[][] unendingFramings() {
        return new Object[][] {{"Content-Length: 2000"}, {CHUNKED}};
    }

    /** Guards against a process that ends while a client still waits for such a response. */
    @Test(dataProvider = "unendingFramings")
    public void aShortResponseThatNeverEndsIsEndedBeforeTheProcess(String framing)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("endless", LONG_MILLIS));
            EndlessResponse response =
                    new EndlessResponse(
                            harness.nextRequest(),
                            "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n",
                            framing.equals(CHUNKED));
            Thread end = new Thread(harness::end);
            end.start();
            assertVisiblyFailed(client);
            response.awaitCutOff();
            Await.end("the end of the service", end);
        }
    }

    @DataProvider
    public Object[][] sizesAroundTheWindow() {
        return new Object[][] {
            {WINDOW, "Content-Length: " + WINDOW, LONG_MILLIS},
            {WINDOW + 1, "Content-Length: " + (WINDOW + 1), DEADLINE_MILLIS},
            {WINDOW, CHUNKED, LONG_MILLIS},
            {WINDOW + 1, CHUNKED, DEADLINE_MILLIS},
            {2 * WINDOW, CHUNKED, DEADLINE_MILLIS},
            {2 * WINDOW, ENDS_BY_CLOSE, DEADLINE_MILLIS}
        };
    }

    /**
     * Guards against cutting off what the endpoint still sends: a response of over 64 KiB is served
     * whole, also if it exceeds 64 KiB only after its deadline, and has no length.
     */
    @Test(dataProvider = "sizesAroundTheWindow")
    public void aSlowResponseIsServedWhole(int length, String framing, long deadlineMillis)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("slow", deadlineMillis));
            Received received = harness.nextRequest();
            received.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            for (int sent = 0; sent < length; sent += PIECE_BYTES) {
                send(received, framing, Math.min(PIECE_BYTES, length - sent));
                Thread.sleep(PIECE_INTERVAL_MILLIS);
            }
            if (framing.equals(CHUNKED)) {
                received.raw("0\r\n\r\n");
            } else if (framing.equals(ENDS_BY_CLOSE)) {
                received.socket().close();
            }
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            assertEquals(bodyLength(client, framing), length);
        }
    }

    private static void send(Received received, String framing, int length) throws IOException {
        String bytes = "y".repeat(length);
        if (framing.equals(CHUNKED)) {
            received.chunk(bytes);
        } else {
            received.raw(bytes);
        }
    }

    /** Counts the bytes of a body that consists of one letter, which no chunk line contains. */
    private static int bodyLength(Client client, String framing) throws IOException {
        int declared =
                framing.startsWith("Content-Length: ")
                        ? Integer.parseInt(framing.substring(16))
                        : -1;
        StringBuilder tail = new StringBuilder();
        int length = 0;
        while (length != declared && tail.indexOf("\r\n0\r\n\r\n") < 0) {
            int next = client.in().read();
            assertTrue(next >= 0, "the connection ended after " + length + " bytes");
            length += next == 'y' ? 1 : 0;
            tail.append((char) next);
            tail.delete(0, Math.max(0, tail.length() - 16));
        }
        return length;
    }

    private static void awaitElapsed(long since, long millis) throws Exception {
        Await.until(
                millis + " ms",
                () -> System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Guards against blaming the endpoint for a client that reads a large response slowly. */
    @Test
    public void aLargeResponseIsServedWholeToAClientThatReadsOnlyAfterTheDeadline()
            throws Exception {
        int length = 2_000_000;
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("reads-late", DEADLINE_MILLIS));
            Received received = harness.nextRequest();
            long requestedAt = System.nanoTime();
            TestEndpoints.daemon(
                    () -> {
                        received.raw("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n\r\n");
                        received.chunk("y".repeat(length));
                        received.raw("0\r\n\r\n");
                    });
            awaitElapsed(requestedAt, 2 * DEADLINE_MILLIS);
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            assertEquals(bodyLength(client, CHUNKED), length);
        }
    }
}
