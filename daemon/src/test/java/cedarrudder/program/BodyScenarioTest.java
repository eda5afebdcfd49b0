package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32;
import org.testng.annotations.Test;

/**
 * Bodies that are too large to be buffered. The server of an endpoint leaves the socket of a
 * request for the target {@link #STAYS} to the test.
 */
public class BodyScenarioTest {

    private static final int LARGE = 32 * 1024 * 1024;
    private static final int SLOW_CLIENTS = 40;
    private static final String STAYS = "/stays-for-test";

    /** Writes pseudo-random bytes from a seed, so that misplaced bytes change the checksum. */
    private static void write(
            OutputStream out, long seed, int length, boolean chunked, CRC32 checksum)
            throws IOException {
        Random random = new Random(seed);
        for (int remaining = length; remaining > 0; ) {
            byte[] piece = new byte[Math.min(remaining, 1 + random.nextInt(50_000))];
            random.nextBytes(piece);
            checksum.update(piece);
            if (chunked) {
                out.write(
                        (Integer.toHexString(piece.length) + ";x=y\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(piece);
            if (chunked) {
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            remaining -= piece.length;
        }
        if (chunked) {
            out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection ended within a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads a body and returns its checksum; a negative length means chunked encoding. */
    private static CRC32 read(InputStream in, int length) throws IOException {
        CRC32 checksum = new CRC32();
        if (length >= 0) {
            update(checksum, in, length);
            return checksum;
        }
        for (int size = Integer.parseInt(line(in), 16);
                size > 0;
                size = Integer.parseInt(line(in), 16)) {
            update(checksum, in, size);
            line(in);
        }
        line(in);
        return checksum;
    }

    private static void update(CRC32 checksum, InputStream in, int length) throws IOException {
        byte[] piece = new byte[64 * 1024];
        for (int remaining = length; remaining > 0; ) {
            int got = in.read(piece, 0, Math.min(remaining, piece.length));
            if (got < 0) {
                throw new IOException("connection ended " + remaining + " bytes too soon");
            }
            checksum.update(piece, 0, got);
            remaining -= got;
        }
    }

    private static String upload(String id) {
        return ProxyHarness.request("order", STAYS, "", "Transfer-Encoding: chunked")
                .replace("Content-Length: 0\r\n", "")
                .replace("id-1", id);
    }

    /** No byte may be lost, duplicated or reordered, whichever side is the slower. */
    @Test
    public void bodiesOf32MegabytesPassUnchangedInBothDirections() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            for (boolean chunked : new boolean[] {true, false}) {
                CRC32 sent = new CRC32();
                client.send(upload("up-" + chunked));
                TestEndpoints.daemon(() -> write(client.out(), 7, LARGE, true, sent));
                Received request = harness.nextRequest();
                assertEquals(request.field("Transfer-Encoding"), "chunked");
                Socket endpoint = request.socket();
                assertEquals(read(endpoint.getInputStream(), -1).getValue(), checksum(7));
                request.raw(
                        "HTTP/1.1 200 OK\r\n"
                                + (chunked
                                        ? "Transfer-Encoding: chunked"
                                        : "Content-Length: " + LARGE)
                                + "\r\nConnection: close\r\n\r\n");
                TestEndpoints.daemon(
                        () -> {
                            write(endpoint.getOutputStream(), 9, LARGE, chunked, new CRC32());
                            endpoint.close();
                        });
                Received head = client.readHead();
                assertEquals(head.first(), "HTTP/1.1 200 OK");
                assertEquals(head.field("Content-Length"), chunked ? null : String.valueOf(LARGE));
                assertEquals(read(client.in(), chunked ? -1 : LARGE).getValue(), checksum(9));
            }
        }
    }

    private static long checksum(long seed) throws IOException {
        CRC32 checksum = new CRC32();
        write(OutputStream.nullOutputStream(), seed, LARGE, false, checksum);
        return checksum.getValue();
    }

    /**
     * Memory must not grow with the size of the bodies, and clients must not wait for one another.
     */
    @Test
    public void manyUnreadLargeAnswersAreBufferedWithinTheBoundAndOthersAreServed()
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            List<Client> slow = new ArrayList<>();
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                Client client = harness.client();
                slow.add(
                        client.send(
                                ProxyHarness.request("lookup", STAYS, "")
                                        .replace("id-1", "slow-" + i)));
                Received request = harness.nextRequest();
                request.raw(
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                + LARGE
                                + "\r\nConnection: close\r\n\r\n");
                TestEndpoints.daemon(
                        () ->
                                write(
                                        request.socket().getOutputStream(),
                                        3,
                                        LARGE,
                                        false,
                                        new CRC32()));
                assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
                long bufferedBytes =
                        JsonObject.parse(harness.operator("GET", "/-/metrics").body())
                                .integer("held_bytes");
                assertTrue(
                        bufferedBytes <= SLOW_CLIENTS * 2 * 64 * 1024,
                        bufferedBytes + " bytes are buffered");
            }
            try (Client other = harness.client()) {
                other.send(ProxyHarness.request("lookup", "/api", ""));
                harness.nextRequest().reply("200 OK", "small");
                assertEquals(other.read().body(), "small");
            }
            assertEquals(read(slow.get(SLOW_CLIENTS - 1).in(), LARGE).getValue(), checksum(3));
            for (Client client : slow) {
                client.close();
            }
            Await.until(
                    "the buffers of abandoned answers are released",
                    () ->
                            JsonObject.parse(harness.operator("GET", "/-/metrics").body())
                                            .integer("held_bytes")
                                    == 0);
        }
    }

    /** An answer that ends early must not look whole, whatever its framing. */
    @Test
    public void aTruncatedAnswerIsVisiblyIncomplete() throws Exception {
        String[] framings = {"Content-Length: 200000", "Transfer-Encoding: chunked"};
        for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
            for (String framing : framings) {
                try (ProxyHarness harness = new ProxyHarness(1).start();
                        Client client = harness.client()) {
                    client.send(
                            ProxyHarness.request("lookup", STAYS, "").replace("HTTP/1.1", version));
                    Received request = harness.nextRequest();
                    request.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
                    request.raw(
                            framing.startsWith("C")
                                    ? "x".repeat(100_000)
                                    : "186a0\r\n" + "x".repeat(100_000) + "\r\n");
                    Received head = client.readHead();
                    assertEquals(head.first(), "HTTP/1.1 200 OK");
                    request.socket().close();
                    boolean whole = true;
                    try {
                        int length = framing.startsWith("C") ? 200_000 : -1;
                        if (head.field("Content-Length") == null
                                && head.field("Transfer-Encoding") == null) {
                            client.readAll();
                        } else {
                            read(client.in(), length);
                        }
                    } catch (IOException e) {
                        whole = false;
                    }
                    assertTrue(!whole, version + " " + framing);
                }
            }
        }
    }

    /**
     * An answer without a length must not look whole when the proxy gives up its client for reading
     * nothing. The client may receive the bytes already written, and then the connection ends.
     */
    @Test
    public void anAnswerToAClientThatIsGivenUpIsVisiblyIncomplete() throws Exception {
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 500\n"))
                                .start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("lookup", STAYS, "").replace("HTTP/1.1", "HTTP/1.0"));
            Received request = harness.nextRequest();
            request.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            TestEndpoints.daemon(
                    () -> write(request.socket().getOutputStream(), 3, LARGE, true, new CRC32()));
            Received head = client.readHead();
            assertEquals(head.first(), "HTTP/1.1 200 OK");
            assertNull(head.field("Content-Length"));
            assertNull(head.field("Transfer-Encoding"));
            request.awaitEnd(); // the proxy gives up the client and cancels the attempt
            assertThrows(SocketException.class, client::readAll);
        }
    }

    /**
     * A client that reads everything available must not be given up because its endpoint sends the
     * answer more slowly than the timeout for clients that don't read. Meanwhile another client,
     * whose answer began later and who reads none of it, is given up.
     */
    @Test
    public void aClientThatReadsASlowAnswerIsNotGivenUp() throws Exception {
        int length = 100_000;
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        OperatorScenarioTest.operator(
                                                "[callers]\nanswer_patience_ms = 500\n"))
                                .start();
                Client reads = harness.client();
                Client nonReading = harness.client()) {
            reads.send(ProxyHarness.request("lookup", STAYS, "").replace("id-1", "reads"));
            Received slow = harness.nextRequest();
            slow.raw("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nx");
            assertEquals(reads.readHead().first(), "HTTP/1.1 200 OK");
            assertEquals(reads.in().read(), 'x');
            nonReading.send(ProxyHarness.request("lookup", STAYS, "").replace("id-1", "deaf"));
            Received request = harness.nextRequest();
            request.raw("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE + "\r\n\r\n");
            TestEndpoints.daemon(
                    () -> write(request.socket().getOutputStream(), 3, LARGE, false, new CRC32()));
            assertEquals(nonReading.readHead().first(), "HTTP/1.1 200 OK");
            request.awaitEnd();
            slow.raw("x".repeat(length - 1));
            reads.in().skipNBytes(length - 1);
        }
    }

    /**
     * Half a request must not be retried, and one that may have run must not be reported as safe to
     * repeat.
     */
    @Test
    public void aResetAttemptIsRejectedBeforeTheLastByteOfTheBodyAndFailsAfterIt()
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client();
                Client late = harness.client()) {
            client.send(upload("half"));
            byte[] piece = "x".repeat(50_000).getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < 4; i++) {
                client.send("c350\r\n" + new String(piece, StandardCharsets.ISO_8859_1) + "\r\n");
            }
            Received request = harness.nextRequest();
            update(new CRC32(), request.socket().getInputStream(), 150_000);
            request.reset();
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            assertNull(client.read());
            late.send(upload("whole"));
            write(late.out(), 5, 300_000, true, new CRC32());
            Received whole = harness.nextRequest();
            read(whole.socket().getInputStream(), -1);
            whole.reset();
            assertEquals(late.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(harness.requests.isEmpty(), "the request was sent again");
        }
    }

    /** An endpoint must not wait for the rest of an upload whose client has disconnected. */
    @Test
    public void aClientThatDisconnectsDuringItsUploadEndsTheAttempt() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            Received request;
            try (Client client = harness.client()) {
                client.send(upload("leaves"));
                client.send("13880\r\n" + "x".repeat(80_000) + "\r\n");
                request = harness.nextRequest();
            }
            while (request.socket().getInputStream().read() >= 0) {
                // the bytes already sent
            }
        } catch (java.net.SocketException e) {
            // a reset also ends the connection
        }
    }

    /** An answer that arrives slowly must not be mistaken for one without an end. */
    @Test
    public void aSmallSlowAnswerIsForwardedAsItArrives() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("lookup", STAYS, ""));
            Received request = harness.nextRequest();
            request.raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
            TestEndpoints.daemon(
                    () -> {
                        for (int i = 0; i < 100; i++) {
                            request.raw("x");
                            Thread.sleep(10);
                        }
                    });
            assertEquals(client.read().body(), "x".repeat(100));
        }
    }
}
