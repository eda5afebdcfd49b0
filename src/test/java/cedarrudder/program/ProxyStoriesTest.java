package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The proxy among scripted callers, nodes and discovery. */
public class ProxyStoriesTest {

    @Test
    public void anRpcPassesUnchangedAndItsAnswerComesBack() throws Exception {
        try (World world = new World(2).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/api/x?y=1", "{\"a\":1}", "Idempotency-Key: k1"));
            Received call = world.call();
            assertEquals(call.first(), "POST /api/x?y=1 HTTP/1.1");
            assertEquals(call.body(), "{\"a\":1}");
            assertEquals(call.field("Req-Id"), "id-1");
            assertEquals(call.field("Idempotency-Key"), "k1");
            long left = Long.parseLong(call.field("Req-Deadline-Ms"));
            assertTrue(left > 0 && left < 30_000, "left " + left);
            call.reply("200 OK", "done", "Content-Type: application/json");
            Received answer = caller.read();
            assertEquals(answer.first(), "HTTP/1.1 200 OK");
            assertEquals(answer.body(), "done");
            assertEquals(answer.field("Content-Type"), "application/json");
        }
    }

    @Test
    public void splitAndJoinedBytesAreTheSameRpcs() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            for (char next : World.rpc("order", "/api", "body").toCharArray()) {
                caller.send(String.valueOf(next));
            }
            Received split = world.call();
            assertEquals(split.body(), "body");
            caller.send(World.rpc("order", "/api/2", "two") + World.rpc("lookup", "/api/3", ""));
            split.reply("200 OK", "1");
            assertEquals(caller.read().body(), "1");
            Received second = world.call();
            assertEquals(second.body(), "two");
            second.reply("200 OK", "2");
            assertEquals(caller.read().body(), "2");
            world.call().reply("200 OK", "3");
            assertEquals(caller.read().body(), "3");
        }
    }

    @Test
    public void aRefusedConnectionProvesNothingRanSoAnotherNodeIsTried() throws Exception {
        try (World world = new World(2).start(); Caller caller = world.caller()) {
            world.nodes.get(0).close();
            for (int i = 0; i < 8; i++) {
                caller.send(World.rpc("order", "/api", "x"));
                world.call().reply("200 OK", "ok");
                assertEquals(caller.read().body(), "ok");
            }
        }
    }

    @Test
    public void whatMayHaveRunIsNotSentAgain() throws Exception {
        try (World world = new World(2).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/api", "x"));
            world.call().reset();
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(world.calls.isEmpty());
        }
    }

    @Test
    public void whatNeverRanIsRefusedWithAnUnavailableStatus() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/api", "x"));
            world.call().reply("503 Full", "", "Srv-Declined: 1");
            assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
        }
    }

    @Test
    public void aBodyThatEndsWithItsConnectionIsWhole() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("lookup", "/api", ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\n\r\nto the end");
            call.socket().close();
            assertEquals(caller.read().body(), "to the end");
        }
    }

    /** A write on a channel that its node has closed would be a reset, and the RPC lost. */
    @Test
    public void aChannelThatItsNodeClosedIsNotUsedAgain() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/api", "x"));
            Received first = world.call();
            first.reply("200 OK", "1", "Connection: close");
            assertEquals(caller.read().body(), "1");
            caller.send(World.rpc("order", "/api", "y"));
            Received second = world.call();
            assertNotEquals(second.socket().getPort(), first.socket().getPort());
            second.reply("200 OK", "2");
            assertEquals(caller.read().body(), "2");
        }
    }

    @Test
    public void aCallerThatLeavesEndsTheAttempt() throws Exception {
        try (World world = new World(1).start()) {
            Received call;
            try (Caller caller = world.caller()) {
                caller.send(World.rpc("lookup", "/stays-for-test", ""));
                call = world.call();
            }
            call.awaitEnd();
        }
    }

    @Test
    public void anRpcIsAnsweredAtItsDeadlineThoughItsNodeIsSilent() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/stays-for-test", "x").replace("30000", "2000"));
            Received call = world.call();
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            call.awaitEnd();
        }
    }

    @Test
    public void nonsenseFromANodeEndsOnlyThatAttempt() throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            caller.send(World.rpc("order", "/api", "x"));
            world.call().raw("\u0001\u0002 what\r\n\r\n");
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            caller.send(World.rpc("order", "/api", "y"));
            world.call().reply("200 OK", "fine");
            assertEquals(caller.read().body(), "fine");
        }
    }

    /** Guards against serving on with an old list for good after discovery was away. */
    @Test
    public void aLostWatchIsOpenedAgainFromTheVersionHeld() throws Exception {
        try (World world = new World(1).start()) {
            Received watch = World.await(world.lookups);
            assertEquals(watch.first(), "GET /catalog/members?follow=1&since=0 HTTP/1.1");
            watch.raw(World.STREAM);
            String list = "{\"version\":7,\"full\":true,\"servers\":[" + world.entries("in_service") + "]}\n";
            watch.chunk(list.substring(0, 30));
            watch.chunk(list.substring(30) + "\n");
            watch.reset();
            Received again = World.await(world.lookups);
            assertEquals(again.first(), "GET /catalog/members?follow=1&since=7 HTTP/1.1");
            again.raw(World.STREAM);
            again.chunk("no JSON\n");
            assertEquals(World.await(world.lookups).first(), again.first());
        }
    }

    /** Guards against a gap in the list while the watch moves: the old one tells until then. */
    @Test
    public void aMovedDiscoveryIsWatchedAtItsNewAddressWithoutAGap() throws Exception {
        try (World world = new World(1).start()) {
            Received old = World.await(world.lookups);
            old.raw(World.STREAM);
            old.chunk("{\"version\":7,\"full\":true,\"servers\":["
                    + world.entries("in_service") + "]}\n");
            world.reload("{");
            world.awaitLog("stays as it was");
            world.discovery = new World.Peer(world.lookups);
            world.reload(world.configuration());
            Received watch = World.await(world.lookups);
            assertEquals(watch.socket().getLocalPort(), world.discovery.server.getLocalPort());
            old.chunk("{\"version\":8,\"full\":false,\"servers\":[]}\n");
            watch.raw(World.STREAM);
            watch.chunk("{\"version\":9,\"full\":false,\"servers\":[]}\n");
            old.awaitEnd();
            watch.reset();
            Received again = World.await(world.lookups);
            assertEquals(again.first(), "GET /catalog/members?follow=1&since=9 HTTP/1.1");
            assertEquals(again.socket().getLocalPort(), world.discovery.server.getLocalPort());
        }
    }

    @DataProvider
    public Object[][] badRequests() {
        String body = "x".repeat(65 * 1024);
        return new Object[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
            {World.rpc("unheard-of", "/api", ""), "400"},
            {World.rpc("order", "/api", "x", "Content-Length: 2"), "400"},
            {World.rpc("order", "/api", "x", "Content-Length: 1"), "400"},
            {World.rpc("order", "/api", "x", "Transfer-Encoding: chunked"), "400"},
            {World.rpc("order", "/api", "x").replace("30000", "soon"), "400"},
            {World.rpc("order", "/api", body), "413"},
            {World.rpc("lookup", "/api", "", "A: " + "x".repeat(17 * 1024)), "431"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void aBadRequestGetsItsStatusAndAClose(String request, String status) throws Exception {
        try (World world = new World(1).start(); Caller caller = world.caller()) {
            Received answer = caller.send(request).read();
            assertTrue(answer.first().startsWith("HTTP/1.1 " + status), answer.first());
            assertEquals(answer.field("Connection"), "close");
            assertNull(caller.read());
            assertTrue(world.calls.isEmpty());
        }
    }

    @Test
    public void itIsHealthyOnceItKnowsNodes() throws Exception {
        try (World empty = new World(0).start(); World full = new World(1).start();
                Caller early = empty.caller(); Caller ready = full.caller()) {
            String health = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
            assertEquals(early.send(health).read().first(), "HTTP/1.1 503 Service Unavailable");
            assertEquals(ready.send(health).read().first(), "HTTP/1.1 200 OK");
            assertFalse(full.log.toString().contains("WARN"), full.log.toString());
        }
    }
}
