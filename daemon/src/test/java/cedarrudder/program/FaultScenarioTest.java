package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Regression tests for the findings of the review of the whole program; see docs/audit-findings.md.
 */
public class FaultScenarioTest {

    private static long metric(ProxyHarness harness, String name) throws IOException {
        return JsonObject.parse(harness.operator("GET", "/-/metrics").body()).integer(name);
    }

    private static void awaitMetric(ProxyHarness harness, String name, long value)
            throws Exception {
        for (int i = 0; metric(harness, name) != value; i++) {
            assertTrue(i < 5_000, name + " stays at " + metric(harness, name));
            Thread.sleep(1);
        }
    }

    private static String upload(String id) {
        return ProxyHarness.request("order", "/stays-for-test", "", "Transfer-Encoding: chunked")
                .replace("Content-Length: 0\r\n", "")
                .replace("id-1", id);
    }

    /**
     * The buffer account must not fill up for good. Body bytes that had been read but never reached
     * an endpoint stayed in the account, 64 KiB each time, and after some 300 times every body was
     * rejected.
     */
    @Test
    public void aBodyThatNoEndpointReceivedIsReleasedAfterItsAnswer() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin()) {
            harness.nodes.get(0).close(); // so that no probe is connected
            harness.start();
            for (int i = 0; i < 20; i++) {
                try (Client client = harness.client()) {
                    client.send(
                            upload("whole-" + i)
                                    + "10064\r\n"
                                    + "x".repeat(0x10064)
                                    + "\r\n0\r\n\r\n");
                    assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
                }
            }
            awaitMetric(harness, "held_bytes", 0);
            assertEquals(metric(harness, "open_requests"), 0);
        }
    }

    /** Memory must be bounded for many complete requests of 64 KiB each in flight. */
    @Test
    public void aCompleteBodyStaysInTheBufferAccountUntilItsAnswer() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x".repeat(1000)));
            Received received = harness.nextRequest();
            assertEquals(metric(harness, "held_bytes"), 1000);
            received.reply("200 OK", "done");
            assertEquals(client.read().body(), "done");
            awaitMetric(harness, "held_bytes", 0);
        }
    }

    /**
     * A request must not get two answers: one because its endpoint failed, one because it can't be
     * parsed.
     */
    @Test
    public void aRequestWithAMalformedBodyGetsOneAnswer() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start();
                Client client = harness.client()) {
            client.send(upload("spoilt") + "13880\r\n" + "x".repeat(80_000) + "\r\n");
            harness.nextRequest();
            client.send("what\r\n");
            assertEquals(client.readAll().split("HTTP/1.1 ", -1).length - 1, 1, "answers");
            awaitMetric(harness, "open_requests", 0);
            assertEquals(
                    JsonObject.parse(harness.operator("GET", "/-/metrics").body())
                            .child("operations")
                            .child("order")
                            .integer("left"),
                    1);
        }
    }

    /** A load that another process reported at the endpoint's former address must not be used. */
    @Test
    public void aProbeAnswerFromAnEndpointsFormerAddressIsIgnored() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            harness.probesWait = true;
            Received watch = ProxyHarness.await(harness.lookups);
            watch.raw(ProxyHarness.STREAM);
            ProxyHarness.Peer former = harness.nodes.get(0);
            Received quick = null;
            Received slow = null;
            for (int i = 0; quick == null || slow == null; i++) {
                serveOne(harness, client, "early-" + i);
                for (Received probe = harness.probes.poll();
                        probe != null;
                        probe = harness.probes.poll()) {
                    boolean first = probe.socket().getLocalPort() == former.server.getLocalPort();
                    quick = first && quick == null ? probe : quick;
                    slow = first || slow != null ? slow : probe;
                }
            }
            harness.nodes.set(0, harness.new Peer(harness.requests));
            watch.chunk(
                    "{\"version\":2,\"full\":true,\"servers\":["
                            + harness.entries("in_service")
                            + "]}\n");
            quick.reply("200 OK", "TEXT latency_ms=1, inflight=0");
            slow.reply("200 OK", "TEXT latency_ms=900, inflight=9");
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        serveOne(harness, client, "late-" + i),
                        harness.nodes.get(1).server.getLocalPort(),
                        "the only endpoint with a load report");
            }
            former.close();
        }
    }

    /** Serves one request, and returns the port of the endpoint that served it. */
    private static int serveOne(ProxyHarness harness, Client client, String id) throws Exception {
        client.send(ProxyHarness.request("order", "/api", "x").replace("id-1", id));
        Received received = harness.nextRequest();
        received.reply("200 OK", "done");
        assertEquals(client.read().body(), "done");
        return received.socket().getLocalPort();
    }

    /** An endpoint that breaks off each large answer must not count as successful. */
    @Test
    public void anEndpointThatBreaksOffItsAnswersCountsAsFailing() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            for (int i = 0; i < 8 && metric(harness, "out_of_rotation") == 0; i++) {
                try (Client client = harness.client()) {
                    client.send(
                            ProxyHarness.request("lookup", "/stays-for-test", "")
                                    .replace("id-1", "large-" + i));
                    Received received = harness.nextRequest();
                    received.raw(
                            "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
                                    + "x".repeat(100_000));
                    assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
                    received.socket().close();
                    awaitMetric(harness, "open_requests", 0);
                }
            }
            assertEquals(metric(harness, "out_of_rotation"), 1);
        }
    }

    /** An endpoint must not go on with an answer whose client has disconnected. */
    @Test
    public void aClientThatDisconnectsDuringItsAnswerEndsTheAttempt() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            Received received;
            try (Client client = harness.client()) {
                client.send(ProxyHarness.request("lookup", "/stays-for-test", ""));
                received = harness.nextRequest();
                received.raw(
                        "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
                assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            }
            received.awaitEnd();
            awaitMetric(harness, "open_requests", 0);
            awaitMetric(harness, "held_bytes", 0);
            assertFalse(harness.log.toString().contains("failed"), harness.log.toString());
        }
    }

    /**
     * No part of a truncated answer may be served, and no client may be left waiting, wherever the
     * answer is cut.
     */
    @Test
    public void anAnswerTruncatedAtAnyByteIsServedWholeOrNotAtAll() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            for (int cut = 0; cut <= answer.length(); cut++) {
                try (Client client = harness.client()) {
                    client.send(
                            ProxyHarness.request("order", "/stays-for-test", "x")
                                    .replace("id-1", "cut-" + cut));
                    Received received = harness.nextRequest();
                    received.raw(answer.substring(0, cut));
                    received.socket().close();
                    Received got = client.read();
                    assertEquals(
                            got.first() + got.body(),
                            cut < answer.length()
                                    ? "HTTP/1.1 502 Bad Gatewayfailed\n"
                                    : "HTTP/1.1 200 OKbody",
                            "cut at " + cut);
                }
            }
            awaitMetric(harness, "open_requests", 0);
            assertEquals(metric(harness, "relayed"), answer.length() + 1);
        }
    }

    /** Opens this many clients, each of which sends a request that an endpoint is to answer. */
    private static List<Client> connectClients(ProxyHarness harness, int count) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(harness.client());
            clients.get(i)
                    .send(ProxyHarness.request("order", "/api", "x").replace("id-1", "crowd-" + i));
        }
        return clients;
    }

    /** Attempts must not use up the descriptors of operators and discovery. */
    @Test
    public void attemptsBeyondTheConnectionBoundAreRejectedAndOperatorsAreAnswered()
            throws Exception {
        int sockets = 240;
        int max = sockets / 2 - 48;
        try (ProxyHarness harness =
                new ProxyHarness(40)
                        .with("\"sockets\": 1024", "\"sockets\": " + sockets)
                        .withAdmin()
                        .start()) {
            List<Client> clients = connectClients(harness, sockets / 2);
            List<Received> reachedEndpoints = awaitRequests(harness, clients.size());
            assertTrue(
                    reachedEndpoints.size() <= max && reachedEndpoints.size() > max / 2,
                    reachedEndpoints.size() + " of " + max);
            assertEquals(harness.status("GET", "/-/ready"), 200);
            for (Received received : reachedEndpoints) {
                received.reply("200 OK", "done");
            }
            int served = 0;
            for (Client client : clients) {
                try (client) {
                    String first = client.read().first();
                    served += first.contains(" 200 ") ? 1 : 0;
                    assertTrue(first.contains(" 200 ") || first.contains(" 503 "), first);
                }
            }
            assertTrue(
                    served >= reachedEndpoints.size(), served + " of " + reachedEndpoints.size());
        }
    }

    /**
     * Collects the requests at endpoints until each of this many requests was rejected or has
     * reached an endpoint.
     */
    private static List<Received> awaitRequests(ProxyHarness harness, int requests)
            throws Exception {
        List<Received> reachedEndpoints = new ArrayList<>();
        for (int i = 0; ; i++) {
            assertTrue(i < 5_000, reachedEndpoints.size() + " requests at endpoints");
            Received next = harness.requests.poll(1, TimeUnit.MILLISECONDS);
            if (next != null) {
                reachedEndpoints.add(next);
                continue;
            }
            JsonObject metrics = JsonObject.parse(harness.operator("GET", "/-/metrics").body());
            long rejected = metrics.child("operations").child("order").integer("throttled");
            if (metrics.integer("open_requests") == reachedEndpoints.size()
                    && reachedEndpoints.size() + rejected == requests) {
                return reachedEndpoints;
            }
        }
    }

    /** The fraction of descriptors for idle connections must not bound the attempts. */
    @Test
    public void theFractionOfDescriptorsForIdleConnectionsDoesNotBoundAttempts() throws Exception {
        try (ProxyHarness harness =
                new ProxyHarness(40)
                        .with("\"sockets\": 1024", "\"sockets\": 240")
                        .with(OperatorScenarioTest.operator("[nodes]\ndescriptors_share = 0.05\n"))
                        .withAdmin()
                        .start()) {
            List<Client> clients = connectClients(harness, 30);
            List<Received> reachedEndpoints = awaitRequests(harness, clients.size());
            assertEquals(reachedEndpoints.size(), clients.size(), "requests at endpoints at once");
            for (Received received : reachedEndpoints) {
                received.reply("200 OK", "done");
            }
            for (Client client : clients) {
                try (client) {
                    assertEquals(client.read().body(), "done");
                }
            }
        }
    }

    /**
     * A request must not reach an endpoint long after the endpoint was asked to drain because its
     * connection took as long as the settings allow. The rule on drains ends the wait sooner.
     */
    @Test
    public void aConnectionAttemptEndsWithinTheTimeThatTheDrainRuleAllows() throws Exception {
        try (ProxyHarness harness =
                        new ProxyHarness(1)
                                .with(
                                        "\"dial-timeout-ns\": 120000000",
                                        "\"dial-timeout-ns\": 60000000000");
                ProxyHarness.FullQueueEndpoint full = harness.new FullQueueEndpoint(0)) {
            harness.start();
            try (Client client = harness.client()) {
                client.send(ProxyHarness.request("order", "/api", "x"));
                assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            }
            assertEquals(full.awaitConnections(0).size(), 0, "no connection was established");
        }
    }

    /** An answer without a length that its endpoint breaks off must not look whole. */
    @Test
    public void anAnswerWithoutALengthThatIsResetIsVisiblyIncomplete() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("lookup", "/stays-for-test", ""));
            Received received = harness.nextRequest();
            received.raw("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(100_000));
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            received.reset();
            assertFalse(
                    client.readAll().endsWith("0\r\n\r\n"), "the answer ends like a complete one");
        } catch (SocketException e) {
            // a reset shows that the answer is incomplete
        }
    }

    /**
     * A client must not wait ten minutes, nor its memory stay in use as long, for an endpoint that
     * stops reading in the middle of a body, since a request has no deadline before the end of its
     * body. The bound is 30 s.
     */
    @Test
    public void anEndpointThatReadsNothingOfABodyIsGivenUp() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request(
                                    "order", "/stays-for-test", "", "Transfer-Encoding: chunked")
                            .replace("Content-Length: 0\r\n", ""));
            byte[] piece = ("10000\r\n" + "x".repeat(65536) + "\r\n").getBytes();
            TestEndpoints.daemon(
                    () -> {
                        while (true) {
                            client.out().write(piece);
                        }
                    });
            harness.nextRequest();
            assertEquals(readPatiently(client).first(), "HTTP/1.1 503 Service Unavailable");
            awaitMetric(harness, "held_bytes", 0);
        }
    }

    /** Returns the client's next answer, which may take longer than other tests wait. */
    private static Received readPatiently(Client client) throws IOException {
        for (int i = 0; i < 2; i++) {
            try {
                return client.read();
            } catch (SocketTimeoutException e) {
                // not yet
            }
        }
        return client.read();
    }

    /** A probe that is never answered must not keep its endpoint from being probed again. */
    @Test
    public void anUnansweredProbeIsGivenUpAndAnotherIsSent() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            harness.probesWait = true;
            Received first = ProxyHarness.await(harness.probes);
            Received second = ProxyHarness.await(harness.probes);
            assertTrue(
                    first.socket() != second.socket(), "the first one's connection was given up");
            first.awaitEnd();
        }
    }
}
