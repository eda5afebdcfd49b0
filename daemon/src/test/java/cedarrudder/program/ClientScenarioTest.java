package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.operator.OperatorFile;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * Misbehaving clients, and well-behaved clients beside them. Where a test sets long timeouts, no
 * close that it waits for can be due to a timeout.
 */
public class ClientScenarioTest {

    private static final String PATIENT = "[callers]\nrequest_patience_ms = 60000\n";
    private static final int LARGE = 60_000;
    private static final int UNREAD = 500;

    private static ProxyHarness harness(String operator) throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, operator);
            return new ProxyHarness(1).with(OperatorFile.read(file));
        } finally {
            Files.delete(file);
        }
    }

    /** Bytes that are no request must not occupy a descriptor until the timeout. */
    @Test
    public void bytesThatCannotBecomeARequestAreRejectedAtOnce() throws Exception {
        try (ProxyHarness harness = harness(PATIENT).start()) {
            for (String bytes :
                    List.of("\u0016\u0003\u0001\u0002", "\r\n".repeat(9), "SSH-2.0-x\r\n")) {
                try (Client client = harness.client()) {
                    assertEquals(client.send(bytes).read().first(), "HTTP/1.1 400 Bad Request");
                    assertNull(client.read());
                }
            }
            assertTrue(harness.requests.isEmpty());
        }
    }

    @Test
    public void aClientThatExpects100ContinueGetsIt() throws Exception {
        try (ProxyHarness harness = harness(PATIENT).start();
                Client client = harness.client()) {
            String request = ProxyHarness.request("order", "/api", "body", "Expect: 100-continue");
            client.send(request.substring(0, request.length() - 4));
            assertEquals(client.read().first(), "HTTP/1.1 100 Continue");
            client.send("body");
            Received received = harness.nextRequest();
            assertEquals(received.body(), "body");
            assertNull(received.field("Expect"));
            received.reply("200 OK", "done");
            assertEquals(client.read().body(), "done");
        }
    }

    /** The body of an answer to HEAD must not be mistaken for the next answer. */
    @Test
    public void anAnswerToHeadHasNoBody() throws Exception {
        try (ProxyHarness harness = harness(PATIENT).start();
                Client client = harness.client()) {
            String both = "HEAD /_health HTTP/1.1\r\nHost: a\r\n\r\nGET /api HTTP/1.1\r\n\r\n";
            String all = client.send(both).readAll();
            assertEquals(all.split("\r\n\r\n").length, 3, all);
            assertTrue(all.contains("\r\n\r\nHTTP/1.1 400 Bad Request"), all);
        }
    }

    @Test
    public void anAbsoluteTargetReachesAnEndpointAsAPathWithItsHost() throws Exception {
        try (ProxyHarness harness = harness(PATIENT).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request(
                            "lookup",
                            "http://other.example/api?x=1",
                            "",
                            "Connection: X-Mine",
                            "X-Mine: 1"));
            Received received = harness.nextRequest();
            assertEquals(received.first(), "GET /api?x=1 HTTP/1.1");
            assertEquals(received.field("Host"), "other.example");
            assertNull(received.field("X-Mine"));
            received.reply("200 OK", "done", "Connection: X-Theirs", "X-Theirs: 1");
            assertNull(client.read().field("X-Theirs"));
        }
    }

    /** Answers must not pile up in memory for a client that sends requests and reads no answers. */
    @Test
    public void aClientThatReadsNoAnswersIsNotReadFromAndIsClosed() throws Exception {
        AtomicInteger served = new AtomicInteger();
        try (ProxyHarness harness = harness("[callers]\nanswer_patience_ms = 500\n").start();
                Client nonReading = harness.client();
                Client good = harness.client()) {
            TestEndpoints.handleRequests(
                    harness,
                    received -> {
                        served.incrementAndGet();
                        received.reply("200 OK", "x".repeat(LARGE));
                    });
            for (int i = 0; i < UNREAD; i++) {
                nonReading.send(
                        ProxyHarness.request("lookup", "/api", "").replace("id-1", "deaf-" + i));
            }
            awaitClosed(nonReading);
            assertTrue(served.get() < UNREAD, served + " answers were produced");
            good.send(ProxyHarness.request("lookup", "/api", ""));
            assertEquals(good.read().body().length(), LARGE);
        }
    }

    private static void awaitClosed(Client client) throws Exception {
        try {
            while (true) {
                client.send("\r\n");
                Thread.sleep(1);
            }
        } catch (SocketException e) {
            // the proxy has closed the connection with bytes unread
        }
    }

    /** Half requests must not lock out other clients until their timeout. */
    @Test
    public void atItsConnectionBoundTheProxyClosesHalfRequests() throws Exception {
        List<Client> half = new ArrayList<>();
        try (ProxyHarness harness =
                        harness(PATIENT + "silent_patience_ms = 60000\n")
                                .with("\"sockets\": 1024", "\"sockets\": 16")
                                .start();
                Client waiting = harness.client()) {
            waiting.send(ProxyHarness.request("order", "/api", "x"));
            Received received = harness.nextRequest();
            for (int i = 0; i < 10; i++) {
                // The answer to the first request shows that the half request behind it, in the
                // same segment, was read.
                half.add(
                        harness.client()
                                .send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\nPOST /api HTT"));
                assertEquals(half.get(i).read().body(), "ready\n");
            }
            try (Client late = harness.client()) {
                late.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "id-2"));
                harness.nextRequest().reply("200 OK", "late");
                assertEquals(late.read().body(), "late");
            }
            received.reply("200 OK", "kept");
            assertEquals(waiting.read().body(), "kept");
            for (Client client : half) {
                client.close();
            }
        }
    }
}
