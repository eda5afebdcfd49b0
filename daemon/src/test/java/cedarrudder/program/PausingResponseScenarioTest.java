package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses whose endpoint pauses while it sends them: a pause is not an end. */
public class PausingResponseScenarioTest {

    private static final String STAYS = "/stays-for-test";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String ENDS_BY_CLOSE = "Connection: close";
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";
    private static final int LENGTH = 150_000;
    private static final String LONG = "Content-Length: " + LENGTH;
    private static final String SHORT = "Content-Length: 2000";

    /** Longer than the response timeout, and than the one after it. */
    private static final int PAUSE_MILLIS = 700;

    private static String request(String kind, long deadlineMillis) {
        return ProxyHarness.request(kind, STAYS, kind.equals("lookup") ? "" : "x")
                .replace("Deadline-Ms: 30000", "Deadline-Ms: " + deadlineMillis);
    }

    /** Sends a response of {@link #LENGTH} bytes in pieces, with a pause after each. */
    private static void sendInPieces(
            Received request, String interim, String framing, int pieceBytes, int pauseMillis)
            throws Exception {
        request.raw(interim + "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
        int sent = 0;
        for (int size = pieceBytes; sent < LENGTH; sent += size) {
            size = Math.min(size, LENGTH - sent);
            String piece = "y".repeat(size);
            if (framing.equals(CHUNKED)) {
                request.chunk(piece);
            } else {
                request.raw(piece);
            }
            Thread.sleep(sent + size < LENGTH ? pauseMillis : 0);
        }
        if (framing.equals(CHUNKED)) {
            request.raw("0\r\n\r\n");
        } else if (framing.equals(ENDS_BY_CLOSE)) {
            request.socket().close();
        }
    }

    /** Reads a response to the end of its body, which consists of one letter only. */
    private static void assertWhole(Client client, String framing) throws IOException {
        assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
        byte[] body =
                framing.equals(LONG)
                        ? client.in().readNBytes(LENGTH)
                        : readChunked(client).getBytes(StandardCharsets.ISO_8859_1);
        long letters =
                new String(body, StandardCharsets.ISO_8859_1).chars().filter(c -> c == 'y').count();
        assertEquals(letters, LENGTH);
    }

    private static String readChunked(Client client) throws IOException {
        StringBuilder body = new StringBuilder();
        while (body.length() < 7 || !body.substring(body.length() - 7).equals("\r\n0\r\n\r\n")) {
            int next = client.in().read();
            assertTrue(next >= 0, "the connection ended after " + body.length() + " bytes");
            body.append((char) next);
        }
        return body.toString();
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {
            {"", CHUNKED, 10, "order"},
            {"", CHUNKED, 26_603, "order"},
            {"", CHUNKED, 80_000, "order"},
            {"", ENDS_BY_CLOSE, 26_603, "order"},
            {"", LONG, 26_603, "order"},
            {INTERIM, CHUNKED, 26_603, "order"},
            {INTERIM, ENDS_BY_CLOSE, 10, "order"},
            {"", CHUNKED, 26_603, "lookup"},
            {"", ENDS_BY_CLOSE, 26_603, "lookup"}
        };
    }

    /** Guards against cutting off a long response that pauses, before and after 64 KiB. */
    @Test(dataProvider = "pauses")
    public void aLongResponseThatPausesIsServedWhole(
            String interim, String framing, int firstBytes, String kind) throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        request.raw(interim + "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
                        sendWithOnePause(request, framing, firstBytes);
                    });
            client.send(request(kind, 30_000));
            assertWhole(client, framing);
            assertTrue(!harness.log.toString().contains("rejected"), harness.log.toString());
        }
    }

    /** What happens to the proxy while a response pauses. */
    private interface Disturbance {
        void begin(ProxyHarness harness) throws Exception;
    }

    @DataProvider
    public Object[][] disturbances() {
        Disturbance reload = harness -> harness.reload(harness.configuration());
        Disturbance drain = harness -> assertEquals(harness.status("POST", "/-/drain"), 200);
        Disturbance end = harness -> new Thread(harness::end).start();
        return new Object[][] {{reload, CHUNKED}, {drain, ENDS_BY_CLOSE}, {end, CHUNKED}};
    }

    /** Guards against cutting off a response that pauses during a reload, a drain or an end. */
    @Test(dataProvider = "disturbances")
    public void aLongResponseThatPausesMeanwhileIsServedWhole(
            Disturbance disturbance, String framing) throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start();
                Client client = harness.client()) {
            client.send(request("order", 30_000));
            Received received = harness.nextRequest();
            TestEndpoints.daemon(
                    () -> {
                        received.raw("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
                        sendWithOnePause(received, framing, 26_603);
                    });
            disturbance.begin(harness);
            assertWhole(client, framing);
        }
    }

    private static void sendWithOnePause(Received request, String framing, int firstBytes)
            throws Exception {
        String first = "y".repeat(firstBytes);
        String rest = "y".repeat(LENGTH - firstBytes);
        if (framing.equals(CHUNKED)) {
            request.chunk(first);
            Thread.sleep(PAUSE_MILLIS);
            request.chunk(rest);
            request.raw("0\r\n\r\n");
        } else {
            request.raw(first);
            Thread.sleep(PAUSE_MILLIS);
            request.raw(rest);
            if (framing.equals(ENDS_BY_CLOSE)) {
                request.socket().close();
            }
        }
    }

    @DataProvider
    public Object[][] lumps() {
        return new Object[][] {
            {CHUNKED, 350, 750}, {ENDS_BY_CLOSE, 350, 2_000}, {CHUNKED, 600, 900}, {LONG, 600, 750}
        };
    }

    /** Guards against cutting off a long response that comes in lumps across its deadline. */
    @Test(dataProvider = "lumps")
    public void aLongResponseInLumpsIsServedWhole(
            String framing, int gapMillis, long deadlineMillis) throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness, request -> sendInPieces(request, "", framing, 30_000, gapMillis));
            client.send(request("order", deadlineMillis));
            assertWhole(client, framing);
        }
    }

    @DataProvider
    public Object[][] unfinished() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {ok + SHORT + "\r\n\r\nless"},
            {ok + CHUNKED + "\r\n\r\n4\r\nless\r\n"},
            {ok + ENDS_BY_CLOSE + "\r\n\r\nless"},
            {ok + "Content-Len"},
            {INTERIM + ok + SHORT + "\r\n\r\nless"}
        };
    }

    /** Guards against waiting for the rest of a short response until the deadline. */
    @Test(dataProvider = "unfinished")
    public void aResponseThatStopsIsServedByASecondAttemptBesideTheFirst(String begun)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            client.send(request("lookup", 20_000));
            Received first = harness.nextRequest();
            first.raw(begun);
            Received second = harness.nextRequest();
            first.socket().setSoTimeout(1);
            try {
                assertEquals(first.socket().getInputStream().read(), 0, "the first was given up");
            } catch (java.net.SocketTimeoutException e) {
                // the first attempt is still in flight
            }
            second.reply("200 OK", "served");
            assertEquals(client.read().body(), "served");
        }
    }

    /** Guards against holding back for long what an endpoint gave of a long response. */
    @Test
    public void whatAPausingEndpointGaveIsPassedOnWithinTwoSeconds() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("lookup", 30_000));
            harness.nextRequest().raw("HTTP/1.1 200 OK\r\n" + CHUNKED + "\r\n\r\n4\r\nsome\r\n");
            long begunAt = System.nanoTime();
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            long heldMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt);
            assertTrue(heldMillis < 2_000, heldMillis + " ms");
            assertNull(harness.requests.poll());
        }
    }
}
