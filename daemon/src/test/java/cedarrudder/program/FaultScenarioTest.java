package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
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

    private static long figure(World world, String name) throws IOException {
        return JsonObject.parse(world.operator("GET", "/-/metrics").body()).integer(name);
    }

    private static void awaitFigure(World world, String name, long value) throws Exception {
        for (int i = 0; figure(world, name) != value; i++) {
            assertTrue(i < 5_000, name + " stays at " + figure(world, name));
            Thread.sleep(1);
        }
    }

    private static String upload(String id) {
        return World.request("order", "/stays-for-test", "", "Transfer-Encoding: chunked")
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
        try (World world = new World(1).withAdmin()) {
            world.nodes.get(0).close(); // closed first, so that no probe's connection to it remains
            world.start();
            for (int i = 0; i < 20; i++) {
                try (Caller caller = world.caller()) {
                    caller.send(
                            upload("whole-" + i)
                                    + "10064\r\n"
                                    + "x".repeat(0x10064)
                                    + "\r\n0\r\n\r\n");
                    assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
                }
            }
            awaitFigure(world, "held_bytes", 0);
            assertEquals(figure(world, "open_requests"), 0);
        }
    }

    /** Memory must be bounded for many complete requests of 64 KiB each in flight. */
    @Test
    public void aCompleteBodyStaysInTheBufferAccountUntilItsAnswer() throws Exception {
        try (World world = new World(1).withAdmin().start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x".repeat(1000)));
            Received call = world.call();
            assertEquals(figure(world, "held_bytes"), 1000);
            call.reply("200 OK", "done");
            assertEquals(caller.read().body(), "done");
            awaitFigure(world, "held_bytes", 0);
        }
    }

    /**
     * A request must not get two answers: one because its endpoint failed, one because it can't be
     * parsed.
     */
    @Test
    public void aRequestWithAMalformedBodyGetsOneAnswer() throws Exception {
        try (World world = new World(1).withAdmin().start();
                Caller caller = world.caller()) {
            caller.send(upload("spoilt") + "13880\r\n" + "x".repeat(80_000) + "\r\n");
            world.call();
            caller.send("what\r\n");
            assertEquals(caller.readAll().split("HTTP/1.1 ", -1).length - 1, 1, "answers");
            awaitFigure(world, "open_requests", 0);
            assertEquals(
                    JsonObject.parse(world.operator("GET", "/-/metrics").body())
                            .child("operations")
                            .child("order")
                            .integer("left"),
                    1);
        }
    }

    /** A load that another process reported at the endpoint's former address must not be used. */
    @Test
    public void aProbeAnswerFromAnEndpointsFormerAddressIsIgnored() throws Exception {
        try (World world = new World(2).start();
                Caller caller = world.caller()) {
            world.probesWait = true;
            Received watch = World.await(world.lookups);
            watch.raw(World.STREAM);
            World.Peer former = world.nodes.get(0);
            Received quick = null;
            Received slow = null;
            for (int i = 0; quick == null || slow == null; i++) {
                call(world, caller, "early-" + i);
                for (Received probe = world.probes.poll();
                        probe != null;
                        probe = world.probes.poll()) {
                    boolean first = probe.socket().getLocalPort() == former.server.getLocalPort();
                    quick = first && quick == null ? probe : quick;
                    slow = first || slow != null ? slow : probe;
                }
            }
            world.nodes.set(0, world.new Peer(world.calls));
            watch.chunk(
                    "{\"version\":2,\"full\":true,\"servers\":["
                            + world.entries("in_service")
                            + "]}\n");
            quick.reply("200 OK", "TEXT latency_ms=1, inflight=0");
            slow.reply("200 OK", "TEXT latency_ms=900, inflight=9");
            for (int i = 0; i < 10; i++) {
                assertEquals(
                        call(world, caller, "late-" + i),
                        world.nodes.get(1).server.getLocalPort(),
                        "the only endpoint with a load report");
            }
            former.close();
        }
    }

    /** Serves one request, and returns the port of the endpoint that served it. */
    private static int call(World world, Caller caller, String id) throws Exception {
        caller.send(World.request("order", "/api", "x").replace("id-1", id));
        Received call = world.call();
        call.reply("200 OK", "done");
        assertEquals(caller.read().body(), "done");
        return call.socket().getLocalPort();
    }

    /** An endpoint that breaks off each large answer must not count as successful. */
    @Test
    public void anEndpointThatBreaksOffItsAnswersCountsAsFailing() throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            for (int i = 0; i < 8 && figure(world, "out_of_rotation") == 0; i++) {
                try (Caller caller = world.caller()) {
                    caller.send(
                            World.request("lookup", "/stays-for-test", "")
                                    .replace("id-1", "large-" + i));
                    Received call = world.call();
                    call.raw(
                            "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
                                    + "x".repeat(100_000));
                    assertEquals(caller.readHead().first(), "HTTP/1.1 200 OK");
                    call.socket().close();
                    awaitFigure(world, "open_requests", 0);
                }
            }
            assertEquals(figure(world, "out_of_rotation"), 1);
        }
    }

    /** An endpoint must not go on with an answer whose client has disconnected. */
    @Test
    public void aClientThatDisconnectsDuringItsAnswerEndsTheAttempt() throws Exception {
        try (World world = new World(1).withAdmin().start()) {
            Received call;
            try (Caller caller = world.caller()) {
                caller.send(World.request("lookup", "/stays-for-test", ""));
                call = world.call();
                call.raw("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
                assertEquals(caller.readHead().first(), "HTTP/1.1 200 OK");
            }
            call.awaitEnd();
            awaitFigure(world, "open_requests", 0);
            awaitFigure(world, "held_bytes", 0);
            assertFalse(world.log.toString().contains("failed"), world.log.toString());
        }
    }

    /**
     * No part of a truncated answer may be served, and no client may be left waiting, wherever the
     * answer is cut.
     */
    @Test
    public void anAnswerTruncatedAtAnyByteIsServedWholeOrNotAtAll() throws Exception {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
        try (World world = new World(1).withAdmin().start()) {
            for (int cut = 0; cut <= answer.length(); cut++) {
                try (Caller caller = world.caller()) {
                    caller.send(
                            World.request("order", "/stays-for-test", "x")
                                    .replace("id-1", "cut-" + cut));
                    Received call = world.call();
                    call.raw(answer.substring(0, cut));
                    call.socket().close();
                    Received got = caller.read();
                    assertEquals(
                            got.first() + got.body(),
                            cut < answer.length()
                                    ? "HTTP/1.1 502 Bad Gatewayfailed\n"
                                    : "HTTP/1.1 200 OKbody",
                            "cut at " + cut);
                }
            }
            awaitFigure(world, "open_requests", 0);
            assertEquals(figure(world, "relayed"), answer.length() + 1);
        }
    }

    /** Opens this many clients, each of which sends a request that an endpoint is to answer. */
    private static List<Caller> crowd(World world, int callers) throws Exception {
        List<Caller> crowd = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            crowd.add(world.caller());
            crowd.get(i).send(World.request("order", "/api", "x").replace("id-1", "crowd-" + i));
        }
        return crowd;
    }

    /** Attempts must not use up the descriptors of operators and discovery. */
    @Test
    public void attemptsBeyondTheConnectionBoundAreRejectedAndOperatorsAreAnswered()
            throws Exception {
        int sockets = 240;
        int max = sockets / 2 - 48;
        try (World world =
                new World(40)
                        .with("\"sockets\": 1024", "\"sockets\": " + sockets)
                        .withAdmin()
                        .start()) {
            List<Caller> crowd = crowd(world, sockets / 2);
            List<Received> calls = calls(world, crowd.size());
            assertTrue(calls.size() <= max && calls.size() > max / 2, calls.size() + " of " + max);
            assertEquals(world.status("GET", "/-/ready"), 200);
            for (Received call : calls) {
                call.reply("200 OK", "done");
            }
            int served = 0;
            for (Caller caller : crowd) {
                try (caller) {
                    String first = caller.read().first();
                    served += first.contains(" 200 ") ? 1 : 0;
                    assertTrue(first.contains(" 200 ") || first.contains(" 503 "), first);
                }
            }
            assertTrue(served >= calls.size(), served + " of " + calls.size());
        }
    }

    /**
     * Collects the requests at endpoints until each of this many requests was rejected or has
     * reached an endpoint.
     */
    private static List<Received> calls(World world, int requests) throws Exception {
        List<Received> calls = new ArrayList<>();
        for (int i = 0; ; i++) {
            assertTrue(i < 5_000, calls.size() + " requests at endpoints");
            Received next = world.calls.poll(1, TimeUnit.MILLISECONDS);
            if (next != null) {
                calls.add(next);
                continue;
            }
            JsonObject figures = JsonObject.parse(world.operator("GET", "/-/metrics").body());
            long refused = figures.child("operations").child("order").integer("throttled");
            if (figures.integer("open_requests") == calls.size()
                    && calls.size() + refused == requests) {
                return calls;
            }
        }
    }

    /** The fraction of descriptors for idle connections must not bound the attempts. */
    @Test
    public void theFractionOfDescriptorsForIdleConnectionsDoesNotBoundAttempts() throws Exception {
        try (World world =
                new World(40)
                        .with("\"sockets\": 1024", "\"sockets\": 240")
                        .with(OperatorScenarioTest.operator("[nodes]\ndescriptors_share = 0.05\n"))
                        .withAdmin()
                        .start()) {
            List<Caller> crowd = crowd(world, 30);
            List<Received> calls = calls(world, crowd.size());
            assertEquals(calls.size(), crowd.size(), "requests at endpoints at once");
            for (Received call : calls) {
                call.reply("200 OK", "done");
            }
            for (Caller caller : crowd) {
                try (caller) {
                    assertEquals(caller.read().body(), "done");
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
        try (World world =
                        new World(1)
                                .with(
                                        "\"dial-timeout-ns\": 120000000",
                                        "\"dial-timeout-ns\": 60000000000");
                World.FullNode full = world.new FullNode(0)) {
            world.start();
            try (Caller caller = world.caller()) {
                caller.send(World.request("order", "/api", "x"));
                assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
            }
            assertEquals(full.awaitConnections(0).size(), 0, "no connection was established");
        }
    }

    /** An answer without a length that its endpoint breaks off must not look whole. */
    @Test
    public void anAnswerWithoutALengthThatIsResetIsVisiblyIncomplete() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", "/stays-for-test", ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(100_000));
            assertEquals(caller.readHead().first(), "HTTP/1.1 200 OK");
            call.reset();
            assertFalse(
                    caller.readAll().endsWith("0\r\n\r\n"), "the answer ends like a complete one");
        } catch (SocketException e) {
            // a reset shows that the answer is incomplete
        }
    }

    /**
     * A client must not wait ten minutes, nor its memory stay in use as long, for an endpoint that
     * stops reading in the middle of a body, since the deadline counts only from the end of the
     * body. The bound is 30 s.
     */
    @Test
    public void anEndpointThatReadsNothingOfABodyIsGivenUp() throws Exception {
        try (World world = new World(1).withAdmin().start();
                Caller caller = world.caller()) {
            caller.send(
                    World.request("order", "/stays-for-test", "", "Transfer-Encoding: chunked")
                            .replace("Content-Length: 0\r\n", ""));
            byte[] piece = ("10000\r\n" + "x".repeat(65536) + "\r\n").getBytes();
            Nodes.daemon(
                    () -> {
                        while (true) {
                            caller.out().write(piece);
                        }
                    });
            world.call();
            assertEquals(patiently(caller).first(), "HTTP/1.1 503 Service Unavailable");
            awaitFigure(world, "held_bytes", 0);
        }
    }

    /** Returns the client's next answer, which may take longer than other tests wait. */
    private static Received patiently(Caller caller) throws IOException {
        for (int i = 0; i < 2; i++) {
            try {
                return caller.read();
            } catch (SocketTimeoutException e) {
                // not yet
            }
        }
        return caller.read();
    }

    /** A probe that is never answered must not keep its endpoint from being probed again. */
    @Test
    public void anUnansweredProbeIsGivenUpAndAnotherIsSent() throws Exception {
        try (World world = new World(1).start()) {
            world.probesWait = true;
            Received first = World.await(world.probes);
            Received second = World.await(world.probes);
            assertTrue(
                    first.socket() != second.socket(), "the first one's connection was given up");
            first.awaitEnd();
        }
    }
}
