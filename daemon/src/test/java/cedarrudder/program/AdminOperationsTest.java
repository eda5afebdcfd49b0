package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.operator.OperatorFile;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
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
        try (World world = new World(1).withAdmin().start()) {
            assertEquals(world.status("GET", "/-/ready"), 200);
            assertEquals(world.status("GET", "/-/nothing"), 404);
            Received wrong = world.operator("DELETE", "/-/ready");
            assertEquals(wrong.first(), "HTTP/1.1 405 Method Not Allowed");
            assertEquals(wrong.field("Allow"), "GET");
            assertEquals(world.operator("GET", "/-/drain").field("Allow"), "POST");
            try (Caller garbled = world.operator()) {
                assertEquals(
                        garbled.send("\u0016\u0003\u0001").read().first(),
                        "HTTP/1.1 400 Bad Request");
                assertNull(garbled.read());
            }
            serve(world, "after");
        }
    }

    /**
     * Operator connections that send nothing or half a request must not lock out complete requests.
     */
    @Test
    public void aCompleteRequestIsAnsweredBesideManySilentAndPartialOnes() throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            List<Caller> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                crowd.add(world.operator().send(i % 2 == 0 ? "" : "GET /-/rea"));
            }
            assertEquals(world.status("GET", "/-/ready"), 200);
            // Connections that sent nothing were closed first; of the others as many remain as the
            // bound allows.
            int answered = 0;
            for (int i = 1; i < CROWD; i += 2) {
                try (Caller half = crowd.get(i)) {
                    Received answer = half.send("dy HTTP/1.1\r\nHost: ops\r\n\r\n").read();
                    answered += answer == null ? 0 : 1;
                } catch (SocketException e) {
                    // closed to free a connection
                }
            }
            assertTrue(
                    answered > 0 && answered <= AdminListener.MAX_CONNECTIONS,
                    answered + " connections remained");
            for (Caller caller : crowd) {
                caller.close();
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
        try (World world = new World(1).withAdmin().with(OperatorFile.read(patient)).start();
                Caller busy = world.caller();
                Caller idle = world.caller();
                Caller silent = world.caller()) {
            serveOn(world, idle, "idle");
            busy.send(World.request("order", "/api", "x").replace("id-1", "busy"));
            Received open = world.call();
            assertEquals(world.status("POST", "/-/drain"), 200);
            assertEquals(health(world), "HTTP/1.1 503 Service Unavailable");
            assertEquals(world.status("POST", "/-/drain"), 200);
            // The process is still able to serve.
            assertEquals(world.status("GET", "/-/ready"), 200);
            // Requests that still arrive are served.
            serve(world, "late");
            assertNull(idle.read());
            assertNull(silent.read());
            open.reply("200 OK", "kept");
            Received answer = busy.read();
            assertEquals(answer.body(), "kept");
            assertEquals(answer.field("Connection"), "close");
            assertEquals(world.status("POST", "/-/resume"), 200);
            assertEquals(health(world), "HTTP/1.1 200 OK");
            try (Caller back = world.caller()) {
                serveOn(world, back, "one");
                serveOn(world, back, "two");
            }
        }
    }

    /**
     * Disabling an endpoint must also apply to queued requests, and must end when the endpoint is
     * enabled.
     */
    @Test
    public void aDisabledEndpointGetsNoNewRequestsUntilItIsEnabled() throws Exception {
        try (World world = new World(2).withAdmin().start();
                Caller caller = world.caller()) {
            assertEquals(world.status("POST", "/-/nodes/n9/disable"), 404);
            assertEquals(world.status("POST", "/-/nodes/%zz/disable"), 400);
            assertEquals(world.operator("GET", "/-/nodes/n0/disable").field("Allow"), "POST");
            assertEquals(world.status("POST", "/-/nodes/n0/other"), 404);
            assertEquals(world.status("POST", "/-/nodes/%6e0/disable"), 200);
            assertEquals(world.status("POST", "/-/nodes/n0/disable"), 200);
            assertEquals(metric(world, "out_of_rotation"), 1);
            assertEquals(metric(world, "registry_entries"), 2);
            for (int i = 0; i < 30; i++) {
                assertEquals(served(world, caller, "one-" + i), nodePort(world, 1));
            }
            assertEquals(world.status("POST", "/-/nodes/n1/disable"), 200);
            caller.send(World.request("lookup", "/api", "").replace("id-1", "none"));
            assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
            world.probesWait = true;
            assertEquals(world.status("POST", "/-/nodes/n0/enable"), 200);
            // Probed at once, although there are no requests.
            World.await(world.probes).reply("200 OK", "TEXT latency_ms=5, inflight=0, util=0.1");
            assertEquals(metric(world, "out_of_rotation"), 1);
            int answered = 0;
            for (int i = 0; answered == 0; i++) {
                // The endpoint is cold: now and then it has no capacity for a request yet.
                caller.send(World.request("lookup", "/api", "").replace("id-1", "two-" + i));
                Received call = world.calls.poll(300, TimeUnit.MILLISECONDS);
                if (call != null) {
                    assertEquals(call.socket().getLocalPort(), nodePort(world, 0));
                    call.reply("200 OK", "x");
                    answered++;
                }
                caller.read();
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
        try (World world = new World(2).withAdmin()) {
            Files.createDirectories(world.state);
            Files.createFile(world.state.resolve("disabled-n0"));
            Files.createFile(world.state.resolve("drained"));
            world.start();
            assertEquals(health(world), "HTTP/1.1 503 Service Unavailable");
            assertEquals(metric(world, "out_of_rotation"), 1);
            assertEquals(world.status("POST", "/-/resume"), 200);
            assertEquals(health(world), "HTTP/1.1 200 OK");
            assertEquals(world.status("POST", "/-/nodes/n0/enable"), 200);
            assertEquals(metric(world, "out_of_rotation"), 0);
            try (Stream<Path> left = Files.list(world.state)) {
                assertEquals(
                        left.filter(file -> !file.toString().endsWith("processes")).count(), 0);
            }
        }
        try (World world = new World(1).withAdmin()) {
            Files.createFile(world.state); // a folder can't be created there
            world.start();
            assertEquals(world.status("POST", "/-/drain"), 503);
            assertEquals(world.status("POST", "/-/nodes/n0/disable"), 503);
            assertEquals(health(world), "HTTP/1.1 200 OK");
            assertEquals(metric(world, "out_of_rotation"), 0);
        }
    }

    /** The metrics must agree with what clients and endpoints observed. */
    @Test
    public void metricsMatchWhatClientsAndEndpointsObserved() throws Exception {
        try (World world = new World(1).withAdmin().start();
                Caller caller = world.caller()) {
            String before = page(world);
            assertTrue(before.contains("\"order\":{\"fulfilled\":0"), before);
            serveOn(world, caller, "served");
            caller.send(World.request("order", "/api", "x").replace("id-1", "failed"));
            world.call().reply("500 Broken", "");
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            Caller leaving = world.caller();
            leaving.send(World.request("order", "/api", "x").replace("id-1", "leaves"));
            world.call();
            assertEquals(metric(world, "open_requests"), 1);
            leaving.close();
            Await.until("no open request", () -> metric(world, "open_requests") == 0);
            JsonObject operations = JsonObject.parse(page(world)).child("operations");
            assertEquals(operations.child("lookup").integer("fulfilled"), 1);
            assertEquals(operations.child("lookup").integer("relayed"), 1);
            assertEquals(operations.child("order").integer("faulted"), 1);
            assertEquals(operations.child("order").integer("relayed"), 2);
            assertEquals(operations.child("order").integer("left"), 1);
        }
    }

    private static String page(World world) throws Exception {
        return world.operator("GET", "/-/metrics").body();
    }

    private static long metric(World world, String name) throws Exception {
        return JsonObject.parse(page(world)).integer(name);
    }

    private static int nodePort(World world, int node) {
        return world.nodes.get(node).server.getLocalPort();
    }

    /** Serves a request and returns the port of the endpoint that it reached. */
    private static int served(World world, Caller caller, String id) throws Exception {
        caller.send(World.request("lookup", "/api", "").replace("id-1", id));
        Received call = world.call();
        call.reply("200 OK", id);
        assertEquals(caller.read().body(), id);
        return call.socket().getLocalPort();
    }

    private static String health(World world) throws Exception {
        try (Caller front = world.caller()) {
            return front.send("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").read().first();
        }
    }

    private static void serve(World world, String text) throws Exception {
        try (Caller caller = world.caller()) {
            serveOn(world, caller, text);
        }
    }

    private static void serveOn(World world, Caller caller, String text) throws Exception {
        caller.send(World.request("lookup", "/api", "").replace("id-1", text));
        world.call().reply("200 OK", text);
        assertEquals(caller.read().body(), text);
    }
}
