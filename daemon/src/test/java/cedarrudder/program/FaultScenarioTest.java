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

/** What the review of the whole program found, as stories; see docs/audit-findings.md. */
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
     * Detects an account that fills up for good: what had been read of a body, and was never taken
     * by an endpoint, stayed in it, 64 KiB each time, and after some 300 times every body was
     * refused.
     */
    @Test
    public void aBodyThatNoNodeTookIsNotHeldAfterItsAnswer() throws Exception {
        try (World world = new World(1).withAdmin()) {
            world.nodes.get(0).close(); // first: detects a probe's connection to it that stays
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

    /** Detects memory that nothing bounds: many requests of 64 KiB each, whole and under way. */
    @Test
    public void aWholeBodyIsHeldInTheAccountUntilItsAnswer() throws Exception {
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

    /** Detects two answers to one request: that its endpoint lost it, and that it can't be read. */
    @Test
    public void aRequestThatIsSpoiltWithinItsBodyGetsOneAnswer() throws Exception {
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

    /**
     * Detects a load that another process reported, at the address that the endpoint had before.
     */
    @Test
    public void aProbesAnswerFromTheAddressThatANodeHadBeforeIsNotTaken() throws Exception {
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
                        "the only node that is known by a report");
            }
            former.close();
        }
    }

    /** Has one request served, and returns the port of the endpoint that served it. */
    private static int call(World world, Caller caller, String id) throws Exception {
        caller.send(World.request("order", "/api", "x").replace("id-1", id));
        Received call = world.call();
        call.reply("200 OK", "done");
        assertEquals(caller.read().body(), "done");
        return call.socket().getLocalPort();
    }

    /** Detects an endpoint that breaks off each large answer being used as one that serves well. */
    @Test
    public void aNodeThatBreaksOffItsAnswersCountsAsFailing() throws Exception {
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

    /** Detects an endpoint that goes on with an answer that nobody waits for any more. */
    @Test
    public void aCallerThatLeavesWithinItsAnswerEndsTheAttempt() throws Exception {
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
     * Detects any part of an answer being served, and against a client that waits, at every cut.
     */
    @Test
    public void anAnswerThatIsCutAtAnyByteIsServedWholeOrNotAtAll() throws Exception {
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

    /** This many clients, each of which sends a request that its endpoint is to answer. */
    private static List<Caller> crowd(World world, int callers) throws Exception {
        List<Caller> crowd = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            crowd.add(world.caller());
            crowd.get(i).send(World.request("order", "/api", "x").replace("id-1", "crowd-" + i));
        }
        return crowd;
    }

    /** Detects attempts that take the descriptors of operators and discovery. */
    @Test
    public void attemptsBeyondTheBoundOnChannelsAreRefusedAndOperatorsAreHeard() throws Exception {
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

    /** Takes the calls that come until this many requests were refused, or are at endpoints. */
    private static List<Received> calls(World world, int requests) throws Exception {
        List<Received> calls = new ArrayList<>();
        for (int i = 0; ; i++) {
            assertTrue(i < 5_000, calls.size() + " calls");
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

    /** Detects the share of descriptors for idle channels bounding the attempts, too. */
    @Test
    public void theShareOfDescriptorsForIdleChannelsBoundsNoAttempts() throws Exception {
        try (World world =
                new World(40)
                        .with("\"sockets\": 1024", "\"sockets\": 240")
                        .with(OperatorScenarioTest.operator("[nodes]\ndescriptors_share = 0.05\n"))
                        .withAdmin()
                        .start()) {
            List<Caller> crowd = crowd(world, 30);
            List<Received> calls = calls(world, crowd.size());
            assertEquals(calls.size(), crowd.size(), "at nodes at once");
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
     * Detects a request that reaches an endpoint long after it was told to drain, since its
     * connection took as long as the settings allow: the rule on drains ends the wait sooner.
     */
    @Test
    public void aConnectionIsNotWaitedForLongerThanTheRuleOnDrainsAllows() throws Exception {
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
            assertEquals(full.awaitConnections(0).size(), 0, "none came up");
        }
    }

    /** Detects an answer that says no length, and that its endpoint breaks off, looking whole. */
    @Test
    public void anAnswerWithoutALengthThatIsResetIsNotAWholeOne() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", "/stays-for-test", ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(100_000));
            assertEquals(caller.readHead().first(), "HTTP/1.1 200 OK");
            call.reset();
            assertFalse(caller.readAll().endsWith("0\r\n\r\n"), "it ends as a whole one does");
        } catch (SocketException e) {
            // a reset is a visible break
        }
    }

    /**
     * Detects a client that waits ten minutes, and memory held as long, for an endpoint that is
     * silent in the midst of a body: it has no deadline before its end. The bound is 30 s.
     */
    @Test
    public void aNodeThatTakesNothingOfABodyIsGivenUp() throws Exception {
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

    /** Its answer, which may take longer than other tests wait. */
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

    /** Detects an endpoint that is never asked again for the sake of one answer that never came. */
    @Test
    public void aProbeThatIsNeverAnsweredFreesItsPlace() throws Exception {
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
