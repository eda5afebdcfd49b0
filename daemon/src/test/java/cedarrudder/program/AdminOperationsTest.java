package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.operator.OperatorFile;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import cedarrudder.transport.AdminListener;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Requests of operators on the operators' address, and their effect on clients. */
public class AdminOperationsTest {

    private static final int CROWD = 40;

    @Test
    public void invalidOperatorRequestsGetAnErrorStatusAndClientsAreStillServed() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            assertEquals(harness.status("GET", "/-/ready"), 200);
            assertEquals(harness.status("GET", "/-/nothing"), 404);
            Received wrong = harness.operator("DELETE", "/-/ready");
            assertEquals(wrong.first(), "HTTP/1.1 405 Method Not Allowed");
            assertEquals(wrong.field("Allow"), "GET");
            assertEquals(harness.operator("GET", "/-/drain").field("Allow"), "POST");
            try (Client garbled = harness.operator()) {
                assertEquals(
                        garbled.send("\u0016\u0003\u0001").read().first(),
                        "HTTP/1.1 400 Bad Request");
                assertNull(garbled.read());
            }
            serve(harness, "after");
        }
    }

    /**
     * Operator connections that send nothing or half a request must not lock out complete requests.
     */
    @Test
    public void aCompleteRequestIsAnsweredBesideManySilentAndPartialOnes() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start()) {
            List<Client> connections = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                connections.add(harness.operator().send(i % 2 == 0 ? "" : "GET /-/rea"));
            }
            assertEquals(harness.status("GET", "/-/ready"), 200);
            // Connections that sent nothing were closed first; of the others as many remain as the
            // bound allows.
            int answered = 0;
            for (int i = 1; i < CROWD; i += 2) {
                try (Client half = connections.get(i)) {
                    Received answer = half.send("dy HTTP/1.1\r\nHost: ops\r\n\r\n").read();
                    answered += answer == null ? 0 : 1;
                } catch (SocketException e) {
                    // closed to free a connection
                }
            }
            assertTrue(
                    answered > 0 && answered <= AdminListener.MAX_CONNECTIONS,
                    answered + " connections remained");
            for (Client client : connections) {
                client.close();
            }
        }
    }

    /** Clients must not stay connected to a proxy that operators drain. */
    @Test
    public void drainClosesClientConnectionsWithoutLosingRequestsAndResumeEndsIt()
            throws Exception {
        // With timeouts this long only the drain closes idle or silent connections.
        Path patient = Files.createTempFile("operator", ".toml");
        Files.writeString(
                patient, "[callers]\nidle_patience_ms = 60000\nrequest_patience_ms = 60000\n");
        try (ProxyHarness harness =
                        new ProxyHarness(1).withAdmin().with(OperatorFile.read(patient)).start();
                Client busy = harness.client();
                Client idle = harness.client();
                Client silent = harness.client()) {
            serveOnConnection(harness, idle, "idle");
            busy.send(ProxyHarness.request("order", "/api", "x").replace("id-1", "busy"));
            Received open = harness.nextRequest();
            assertEquals(harness.status("POST", "/-/drain"), 200);
            assertEquals(health(harness), "HTTP/1.1 503 Service Unavailable");
            assertEquals(harness.status("POST", "/-/drain"), 200);
            // The process is still able to serve.
            assertEquals(harness.status("GET", "/-/ready"), 200);
            // Requests that still arrive are served.
            serve(harness, "late");
            assertNull(idle.read());
            assertNull(silent.read());
            open.reply("200 OK", "kept");
            Received answer = busy.read();
            assertEquals(answer.body(), "kept");
            assertEquals(answer.field("Connection"), "close");
            assertEquals(harness.status("POST", "/-/resume"), 200);
            assertEquals(health(harness), "HTTP/1.1 200 OK");
            try (Client back = harness.client()) {
                serveOnConnection(harness, back, "one");
                serveOnConnection(harness, back, "two");
            }
        }
    }

    /**
     * Disabling an endpoint must also apply to queued requests, and must end when the endpoint is
     * enabled.
     */
    @Test
    public void aDisabledEndpointGetsNoNewRequestsUntilItIsEnabled() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).withAdmin().start();
                Client client = harness.client()) {
            assertEquals(harness.status("POST", "/-/nodes/n9/disable"), 404);
            assertEquals(harness.status("POST", "/-/nodes/%zz/disable"), 400);
            assertEquals(harness.operator("GET", "/-/nodes/n0/disable").field("Allow"), "POST");
            assertEquals(harness.status("POST", "/-/nodes/n0/other"), 404);
            assertEquals(harness.status("POST", "/-/nodes/%6e0/disable"), 200);
            assertEquals(harness.status("POST", "/-/nodes/n0/disable"), 200);
            assertEquals(metric(harness, "out_of_rotation"), 1);
            assertEquals(metric(harness, "registry_entries"), 2);
            for (int i = 0; i < 30; i++) {
                assertEquals(servingPort(harness, client, "one-" + i), endpointPort(harness, 1));
            }
            assertEquals(harness.status("POST", "/-/nodes/n1/disable"), 200);
            client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "none"));
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            harness.probesWait = true;
            assertEquals(harness.status("POST", "/-/nodes/n0/enable"), 200);
            // Probed at once, although there are no requests.
            ProxyHarness.await(harness.probes)
                    .reply("200 OK", "TEXT latency_ms=5, inflight=0, util=0.1");
            assertEquals(metric(harness, "out_of_rotation"), 1);
            int answered = 0;
            for (int i = 0; answered == 0; i++) {
                // The endpoint is cold: now and then it has no capacity for a request yet.
                client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "two-" + i));
                Received request = harness.requests.poll(300, TimeUnit.MILLISECONDS);
                if (request != null) {
                    assertEquals(request.socket().getLocalPort(), endpointPort(harness, 0));
                    request.reply("200 OK", "x");
                    answered++;
                }
                client.read();
            }
        }
    }

    /**
     * An operator request must not be acknowledged unless the next process finds its effect
     * persisted.
     */
    @Test
    public void operatorRequestsThatCannotBePersistedFailAndPersistedOnesAreRestored()
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).withAdmin()) {
            Files.createDirectories(harness.state);
            Files.createFile(harness.state.resolve("disabled-n0"));
            Files.createFile(harness.state.resolve("drained"));
            harness.start();
            assertEquals(health(harness), "HTTP/1.1 503 Service Unavailable");
            assertEquals(metric(harness, "out_of_rotation"), 1);
            assertEquals(harness.status("POST", "/-/resume"), 200);
            assertEquals(health(harness), "HTTP/1.1 200 OK");
            assertEquals(harness.status("POST", "/-/nodes/n0/enable"), 200);
            assertEquals(metric(harness, "out_of_rotation"), 0);
            try (Stream<Path> remaining = Files.list(harness.state)) {
                List<String> names =
                        remaining.map(file -> file.getFileName().toString()).sorted().toList();
                assertEquals(names, List.of("processes", "started-request-ids"));
            }
        }
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin()) {
            Files.createFile(harness.state); // a folder can't be created there
            harness.start();
            assertEquals(harness.status("POST", "/-/drain"), 503);
            assertEquals(harness.status("POST", "/-/nodes/n0/disable"), 503);
            assertEquals(health(harness), "HTTP/1.1 200 OK");
            assertEquals(metric(harness, "out_of_rotation"), 0);
        }
    }

    /** The metrics must agree with what clients and endpoints observed. */
    @Test
    public void metricsMatchWhatClientsAndEndpointsObserved() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).withAdmin().start();
                Client client = harness.client()) {
            String before = page(harness);
            assertTrue(before.contains("\"order\":{\"fulfilled\":0"), before);
            serveOnConnection(harness, client, "served");
            client.send(ProxyHarness.request("order", "/api", "x").replace("id-1", "failed"));
            harness.nextRequest().reply("500 Broken", "");
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            Client leaving = harness.client();
            leaving.send(ProxyHarness.request("order", "/api", "x").replace("id-1", "leaves"));
            harness.nextRequest();
            assertEquals(metric(harness, "open_requests"), 1);
            leaving.close();
            Await.until("no open request", () -> metric(harness, "open_requests") == 0);
            JsonObject operations = JsonObject.parse(page(harness)).child("operations");
            assertEquals(operations.child("lookup").integer("fulfilled"), 1);
            assertEquals(operations.child("lookup").integer("relayed"), 1);
            assertEquals(operations.child("order").integer("faulted"), 1);
            assertEquals(operations.child("order").integer("relayed"), 2);
            assertEquals(operations.child("order").integer("left"), 1);
        }
    }

    private static String page(ProxyHarness harness) throws Exception {
        return harness.operator("GET", "/-/metrics").body();
    }

    private static long metric(ProxyHarness harness, String name) throws Exception {
        return JsonObject.parse(page(harness)).integer(name);
    }

    private static int endpointPort(ProxyHarness harness, int endpoint) {
        return harness.nodes.get(endpoint).server.getLocalPort();
    }

    /** Serves a request and returns the port of the endpoint that it reached. */
    private static int servingPort(ProxyHarness harness, Client client, String id)
            throws Exception {
        client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", id));
        Received request = harness.nextRequest();
        request.reply("200 OK", id);
        assertEquals(client.read().body(), id);
        return request.socket().getLocalPort();
    }

    private static String health(ProxyHarness harness) throws Exception {
        try (Client front = harness.client()) {
            return front.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().first();
        }
    }

    private static void serve(ProxyHarness harness, String text) throws Exception {
        try (Client client = harness.client()) {
            serveOnConnection(harness, client, text);
        }
    }

    private static void serveOnConnection(ProxyHarness harness, Client client, String text)
            throws Exception {
        client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", text));
        harness.nextRequest().reply("200 OK", text);
        assertEquals(client.read().body(), text);
    }
}
