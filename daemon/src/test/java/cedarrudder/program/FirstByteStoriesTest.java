package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.Await;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.FullNode;
import cedarrudder.program.World.Received;
import cedarrudder.protocol.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What may still go out when a connection comes up long after it was asked for, or a request has waited: its
 * caller may have left, its node may drain, its time or the window of its repeats may be over. The nodes'
 * queues of connections are held full until the test opens them.
 */
public class FirstByteStoriesTest {

    private static final String REFUSED = "HTTP/1.1 503 Service Unavailable";

    /** A proxy that waits up to 10 s for a connection, and makes none for probes. */
    private static World world(int nodes) throws IOException {
        return new World(nodes).with("\"dial-timeout-ns\": 120000000", "\"dial-timeout-ns\": 60000000000")
                .with("\"stop-sending-within-ns\": 2000000000", "\"stop-sending-within-ns\": 20000000000")
                .with("\"probes\": true", "\"probes\": false").withAdmin();
    }

    private static String rpc(String kind, String id) {
        return World.rpc(kind, "/api", kind.equals("lookup") ? "" : "x").replace("id-1", id);
    }

    private static JsonObject figures(World world) throws IOException {
        return JsonObject.parse(world.operator("GET", "/-/metrics").body());
    }

    private static void awaitOpen(World world, int rpcs) throws Exception {
        Await.until(rpcs + " open", () -> figures(world).whole("open_requests") == rpcs);
    }

    private static long left(World world, String kind) throws IOException {
        return figures(world).child("operations").child(kind).whole("left");
    }

    /** The next RPC at a node has this id; it is answered. */
    private static Received serve(World world, Caller caller, String id) throws Exception {
        Received call = world.call();
        assertEquals(call.field("Req-Id"), id);
        call.reply("200 OK", id);
        assertEquals(caller.read().body(), id);
        return call;
    }

    @DataProvider
    public Object[][] mayCancel() {
        return new Object[][] {{true}, {false}};
    }

    // ---- its caller has left ----

    /**
     * Guards against an attempt that begins for nobody, as the settings may forbid to call off what has
     * begun; and against a connection that its node has paid for being thrown away.
     */
    @Test(dataProvider = "mayCancel")
    public void whatIsSentOnALateConnectionIsNotOfACallerThatLeft(boolean cancel) throws Exception {
        try (World world = world(1).with("\"cancel\": true", "\"cancel\": " + cancel);
                FullNode full = world.new FullNode(0)) {
            world.start();
            try (Caller leaves = world.caller()) {
                leaves.send(rpc("order", "leaves"));
                awaitOpen(world, 1);
            }
            awaitOpen(world, 0);
            full.open();
            Socket late = full.awaitConnections(1).get(0);
            try (Caller caller = world.caller()) {
                caller.send(rpc("order", "stays"));
                assertEquals(serve(world, caller, "stays").socket(), late, "it serves another");
            }
        }
    }

    @Test(dataProvider = "mayCancel")
    public void ofManyThatLeaveNoneIsSentOn(boolean cancel) throws Exception {
        int many = 4;
        try (World world = world(many).with("\"cancel\": true", "\"cancel\": " + cancel)) {
            List<FullNode> full = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                full.add(world.new FullNode(i));
            }
            world.start();
            List<Caller> crowd = new ArrayList<>();
            for (int i = 0; i < 2 * many; i++) {
                crowd.add(world.caller().send(rpc("order", "leaves-" + i)));
            }
            awaitOpen(world, 2 * many);
            for (Caller caller : crowd) {
                caller.close();
            }
            awaitOpen(world, 0);
            assertEquals(left(world, "order"), 2 * many);
            for (FullNode node : full) {
                node.open();
            }
            Await.until("late connections", () -> connections(full) >= 2 * many);
            try (Caller caller = world.caller()) {
                for (int i = 0; i < 3; i++) {
                    caller.send(rpc("order", "stays-" + i));
                    serve(world, caller, "stays-" + i);
                }
            }
            assertTrue(world.calls.isEmpty());
            for (FullNode node : full) {
                node.close();
            }
        }
    }

    private static int connections(List<FullNode> full) throws Exception {
        int all = 0;
        for (FullNode node : full) {
            all += node.awaitConnections(0).size();
        }
        return all;
    }

    /** Guards against a further attempt for nobody, where what is out may not be called off. */
    @Test(dataProvider = "mayCancel")
    public void noFurtherAttemptFollowsOneWhoseCallerLeft(boolean cancel) throws Exception {
        try (World world = world(2).with("\"cancel\": true", "\"cancel\": " + cancel).start()) {
            Received first;
            try (Caller leaves = world.caller()) {
                leaves.send(rpc("lookup", "leaves"));
                first = world.call();
            }
            awaitOpen(world, 0);
            if (!cancel) {
                first.reply("500 Internal Server Error", "");
            }
            try (Caller caller = world.caller()) {
                for (int i = 0; i < 3; i++) {
                    caller.send(rpc("order", "stays-" + i));
                    serve(world, caller, "stays-" + i);
                }
            }
            assertTrue(world.calls.isEmpty());
        }
    }

    /** Guards against a request that leaves the line for a node though its caller is gone. */
    @Test(dataProvider = "mayCancel")
    public void aCallerThatLeavesTheLineIsNotSentOn(boolean cancel) throws Exception {
        try (World world = world(1).with("\"cancel\": true", "\"cancel\": " + cancel)) {
            world.start();
            Received watch = World.await(world.lookups);
            watch.raw(World.STREAM);
            watch.chunk(list(7, world.entries("terminating")));
            Await.until("a node that drains", () -> figures(world).whole("out_of_rotation") == 1);
            try (Caller leaves = world.caller()) {
                leaves.send(rpc("order", "leaves"));
                awaitOpen(world, 1);
            }
            awaitOpen(world, 0);
            assertEquals(left(world, "order"), 1);
            watch.chunk(list(8, world.entries("in_service")));
            Await.until("a node", () -> figures(world).whole("out_of_rotation") == 0);
            try (Caller caller = world.caller()) {
                caller.send(rpc("order", "stays"));
                serve(world, caller, "stays");
            }
            assertTrue(world.calls.isEmpty());
        }
    }

    // ---- its node has left ----

    private static String list(int version, String entries) {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + entries + "]}\n";
    }

    @DataProvider
    public Object[][] waysToLeave() {
        return new Object[][] {{"terminating"}, {"omitted"}};
    }

    /** Guards against a request that reaches a node long after it was told to drain, or left the list. */
    @Test(dataProvider = "waysToLeave")
    public void aLateConnectionToANodeThatHasLeftCarriesNothing(String how) throws Exception {
        try (World world = world(2)) {
            String[] entries = world.entries("in_service").split("(?<=\\}),");
            FullNode full = world.new FullNode(0);
            world.with("\"servers\": []", "\"servers\": [" + entries[0] + "]").start();
            Received watch = World.await(world.lookups);
            watch.raw(World.STREAM);
            try (Caller late = world.caller(); Caller caller = world.caller()) {
                late.send(rpc("order", "late"));
                awaitOpen(world, 1);
                watch.chunk(list(7, (how.equals("omitted") ? ""
                        : entries[0].replace("in_service", how) + ",") + entries[1]));
                Received call = world.call();
                assertEquals(call.field("Req-Id"), "late");
                assertEquals(call.socket().getLocalPort(), world.nodes.get(1).server.getLocalPort());
                call.reply("200 OK", "elsewhere");
                assertEquals(late.read().body(), "elsewhere");
                full.open();
                full.awaitConnections(1);
                caller.send(rpc("order", "next"));
                serve(world, caller, "next");
                assertTrue(world.calls.isEmpty());
            }
            full.close();
        }
    }

    // ---- its time is over ----

    /** Guards against an answer that forbids a repeat of what was never sent on: that is no failure. */
    @Test
    public void anRpcWhoseConnectionIsNotUpByItsDeadlineIsRefused() throws Exception {
        try (World world = world(1); FullNode full = world.new FullNode(0)) {
            world.start();
            try (Caller caller = world.caller()) {
                caller.send(rpc("order", "short").replace("Deadline-Ms: 30000", "Deadline-Ms: 400"));
                assertEquals(caller.read().first(), REFUSED);
            }
            assertEquals(figures(world).whole("relayed"), 0);
            assertEquals(full.awaitConnections(0).size(), 0, "none came up");
        }
    }

    /** Guards against a repeat that begins when nodes have forgotten what ran before. */
    @Test
    public void aRepeatWhoseConnectionComesUpAfterItsWindowIsNotSent() throws Exception {
        try (World world = world(2).with("\"repeat-window-ns\": 5000000000",
                "\"repeat-window-ns\": 300000000")) {
            String[] entries = world.entries("in_service").split("(?<=\\}),");
            FullNode full = world.new FullNode(1);
            world.with("\"servers\": []", "\"servers\": [" + entries[0] + "]").start();
            Received watch = World.await(world.lookups);
            watch.raw(World.STREAM);
            try (Caller caller = world.caller()) {
                caller.send(rpc("booking", "keyed").replace("Req-Id", "Idempotency-Key: k\r\nReq-Id"));
                Received first = world.call();
                long sentBy = System.nanoTime();
                watch.chunk(list(7, entries[0].replace("in_service", "terminating") + "," + entries[1]));
                Await.until("the list", () -> figures(world).whole("out_of_rotation") == 1);
                first.reply("500 Internal Server Error", "");
                Await.until("the window is over", () -> System.nanoTime() - sentBy
                        > TimeUnit.MILLISECONDS.toNanos(300));
                full.open();
                assertEquals(caller.read().first(), REFUSED);
                assertTrue(world.calls.isEmpty());
            }
            full.close();
        }
    }

    /** Guards against a node that works for longer than its caller waits. */
    @Test
    public void aNodeIsToldNoMoreThanIsLeftOnceItsConnectionIsUp() throws Exception {
        for (boolean flows : new boolean[] {false, true}) {
            try (World world = world(1); FullNode full = world.new FullNode(0)) {
                world.start();
                try (Caller caller = world.caller()) {
                    String chunked = World.rpc("order", "/api", "", "Transfer-Encoding: chunked")
                            .replace("Content-Length: 0\r\n", "");
                    caller.send(!flows ? rpc("order", "id-1")
                            : chunked + "13880\r\n" + "x".repeat(80_000) + "\r\n0\r\n\r\n");
                    long sentBy = System.nanoTime();
                    awaitOpen(world, 1);
                    Await.until("some of its time", () -> System.nanoTime() - sentBy
                            > TimeUnit.MILLISECONDS.toNanos(300));
                    full.open();
                    int told = Integer.parseInt(world.call().field("Req-Deadline-Ms"));
                    assertTrue(told <= 30_000 - 300 && told > 15_000, told + " ms, flows: " + flows);
                }
            }
        }
    }

    // ---- what a reset says ----

    /** Guards against an answer without a length that its node breaks off being served as a whole one. */
    @Test
    public void aResetIsNoEndOfAnAnswer() throws Exception {
        try (World world = world(1).start()) {
            for (String answer : List.of("", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")) {
                try (Caller caller = world.caller()) {
                    caller.send(World.rpc("order", "/stays-for-test", "x"));
                    Received call = world.call();
                    call.raw(answer);
                    call.reset();
                    assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway", answer);
                }
            }
        }
    }

    @Test
    public void aCleanEndIsTheEndOfAnAnswerWithoutALength() throws Exception {
        try (World world = world(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/stays-for-test", "x"));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\n\r\nall of it");
            call.socket().close();
            assertEquals(caller.read().body(), "all of it");
        }
    }
}
