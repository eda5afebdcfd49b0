package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the proxy with scripted clients, endpoints and discovery. */
public class ProxyServerScenarioTest {

    @Test
    public void aRequestIsForwardedUnchangedAndItsAnswerReturned() throws Exception {
        try (World world = new World(2).start();
                Caller caller = world.caller()) {
            caller.send(World.request("booking", "/api/x?y=1", "{\"a\":1}", "Idempotency-Key: k1"));
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
    public void requestsAreParsedHoweverTheirBytesAreSplitOrJoined() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            for (char next : World.request("order", "/api", "body").toCharArray()) {
                caller.send(String.valueOf(next));
            }
            Received split = world.call();
            assertEquals(split.body(), "body");
            caller.send(
                    World.request("order", "/api/2", "two")
                            + World.request("lookup", "/api/3", ""));
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
    public void afterARefusedConnectionAnotherEndpointIsTried() throws Exception {
        try (World world = new World(2).start();
                Caller caller = world.caller()) {
            world.nodes.get(0).close();
            for (int i = 0; i < 8; i++) {
                caller.send(World.request("order", "/api", "x"));
                world.call().reply("200 OK", "ok");
                assertEquals(caller.read().body(), "ok");
            }
        }
    }

    @Test
    public void aRequestThatMayHaveRunIsNotRetried() throws Exception {
        try (World world = new World(2).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            world.call().reset();
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(world.calls.isEmpty());
        }
    }

    @Test
    public void aRequestThatNeverRanIsRejectedAsUnavailable() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            world.call().reply("503 Full", "", "Srv-Declined: 1");
            assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
        }
    }

    @Test
    public void aBodyThatEndsWithItsConnectionIsComplete() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", "/api", ""));
            Received call = world.call();
            call.raw("HTTP/1.1 200 OK\r\n\r\nto the end");
            call.socket().close();
            assertEquals(caller.read().body(), "to the end");
        }
    }

    /**
     * A write on a connection that its endpoint has closed would be answered by a reset, and the
     * request lost.
     */
    @Test
    public void aConnectionThatItsEndpointClosedIsNotReused() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            Received first = world.call();
            first.reply("200 OK", "1", "Connection: close");
            assertEquals(caller.read().body(), "1");
            caller.send(World.request("order", "/api", "y"));
            Received second = world.call();
            assertNotEquals(second.socket().getPort(), first.socket().getPort());
            second.reply("200 OK", "2");
            assertEquals(caller.read().body(), "2");
        }
    }

    @Test
    public void aClientThatDisconnectsEndsTheAttempt() throws Exception {
        try (World world = new World(1).start()) {
            Received call;
            try (Caller caller = world.caller()) {
                caller.send(World.request("lookup", "/stays-for-test", ""));
                call = world.call();
            }
            call.awaitEnd();
        }
    }

    @Test
    public void aRequestIsAnsweredAtItsDeadlineThoughItsEndpointIsSilent() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/stays-for-test", "x").replace("30000", "2000"));
            Received call = world.call();
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            call.awaitEnd();
        }
    }

    @Test
    public void anUnreadableAnswerFailsOnlyThatAttempt() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            world.call().raw("\u0001\u0002 what\r\n\r\n");
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            caller.send(World.request("order", "/api", "y"));
            world.call().reply("200 OK", "fine");
            assertEquals(caller.read().body(), "fine");
        }
    }

    /** After an outage of discovery the proxy must not go on with an old list for good. */
    @Test
    public void aLostWatchIsReopenedFromTheCurrentVersion() throws Exception {
        try (World world = new World(1).start()) {
            Received watch = World.await(world.lookups);
            assertEquals(watch.first(), "GET /catalog/members?follow=1&since=0 HTTP/1.1");
            watch.raw(World.STREAM);
            String list =
                    "{\"version\":7,\"full\":true,\"servers\":["
                            + world.entries("in_service")
                            + "]}\n";
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

    /** With pushed lists the balancer requests none, so the proxy must open the watch by itself. */
    @Test
    public void withPushedListsTheWatchIsOpenFromTheStart() throws Exception {
        try (World world = new World(1).with("\"ask\"", "\"push\"").start()) {
            for (int i = 0; i < 3; i++) {
                Received watch = World.await(world.lookups);
                assertEquals(watch.first(), "GET /catalog/members?follow=1&since=0 HTTP/1.1");
                watch.reset();
            }
        }
    }

    /**
     * No list may be missed while the watch moves: the old watch stays in use until the new one is
     * answered.
     */
    @Test
    public void theWatchMovesToTheNewDiscoveryAddressWithoutAGap() throws Exception {
        try (World world = new World(1).start()) {
            Received old = World.await(world.lookups);
            old.raw(World.STREAM);
            old.chunk(
                    "{\"version\":7,\"full\":true,\"servers\":["
                            + world.entries("in_service")
                            + "]}\n");
            world.reload("{");
            world.awaitLog("configuration.rejected");
            world.discovery = world.new Peer(world.lookups);
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
        return new Object[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
            {World.request("unheard-of", "/api", ""), "400"},
            {World.request("order", "/api", "x", "Content-Length: 2"), "400"},
            {World.request("order", "/api", "x", "Content-Length: 1"), "400"},
            {World.request("order", "/api", "x", "Transfer-Encoding: chunked"), "400"},
            {World.request("order", "/api", "x").replace("30000", "soon"), "400"},
            {World.request("order", "/api", "x").replace("30000", "-5"), "400"},
            {World.request("order", "/api", "x").replace("30000", "0"), "400"},
            {World.request("order", "/api", "x").replace("30000", "999999999999999999999"), "400"},
            {World.request("order", "/api", "x").replace("POST", "GET"), "400"},
            {World.request("order", "/api", "x", "Idempotency-Key: k"), "400"},
            {World.request("booking", "/api", "x"), "400"},
            {World.request("lookup", "/api", "x", "Content-Length: 1"), "400"},
            {World.request("order", "/api", "").replace("Length: 0", "Length: 67108865"), "413"},
            {World.request("lookup", "/api", "", "A: " + "x".repeat(17 * 1024)), "431"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void aBadRequestGetsItsStatusAndTheConnectionIsClosed(String request, String status)
            throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            Received answer = caller.send(request).read();
            assertTrue(answer.first().startsWith("HTTP/1.1 " + status), answer.first());
            assertEquals(answer.field("Connection"), "close");
            assertNull(caller.read());
            assertTrue(world.calls.isEmpty());
        }
    }

    /** A client must not get the answer to another client's request of the same id. */
    @Test
    public void anIdInFlightIsNotAcceptedAgain() throws Exception {
        try (World world = new World(1).start();
                Caller first = world.caller();
                Caller second = world.caller()) {
            first.send(World.request("order", "/api", "x"));
            Received call = world.call();
            assertEquals(
                    second.send(World.request("order", "/api", "y")).read().first(),
                    "HTTP/1.1 400 Bad Request");
            call.reply("200 OK", "mine");
            assertEquals(first.read().body(), "mine");
            first.send(World.request("order", "/api", "z"));
            assertEquals(world.call().body(), "z");
        }
    }

    /** Silent connections and half requests must not occupy descriptors for good. */
    @Test
    public void clientsWithoutACompleteRequestAreClosedAndWaitingClientsAreNot() throws Exception {
        try (World world = new World(1).start();
                Caller silent = world.caller();
                Caller half = world.caller();
                Caller waiting = world.caller();
                Caller served = world.caller()) {
            waiting.send(World.request("order", "/api", "x"));
            Received call = world.call();
            served.send(World.request("lookup", "/api", "").replace("id-1", "id-2"));
            world.call().reply("200 OK", "once");
            assertEquals(served.read().body(), "once");
            half.send("POST /api HTTP/1.1\r\nReq-");
            assertNull(silent.read());
            assertNull(half.read());
            assertNull(served.read()); // the client sent one request and stayed connected
            call.reply("200 OK", "late");
            assertEquals(waiting.read().body(), "late");
        }
    }

    /**
     * The proxy must not run out of descriptors; it may close only connections that wait for no
     * answer.
     */
    @Test
    public void atItsConnectionBoundTheProxyClosesSilentClients() throws Exception {
        List<Caller> silent = new ArrayList<>();
        try (World world = new World(1).with("\"sockets\": 1024", "\"sockets\": 16").start();
                Caller waiting = world.caller()) {
            waiting.send(World.request("order", "/api", "x"));
            Received call = world.call();
            for (int i = 0; i < 40; i++) {
                silent.add(world.caller());
            }
            try (Caller late = world.caller()) {
                late.send(World.request("lookup", "/api", "").replace("id-1", "id-2"));
                world.call().reply("200 OK", "late");
                assertEquals(late.read().body(), "late");
            }
            call.reply("200 OK", "kept");
            assertEquals(waiting.read().body(), "kept");
        }
        for (Caller caller : silent) {
            caller.close();
        }
    }

    /**
     * On a recorded day requests failed because their connections were closed before their first
     * bytes had arrived.
     */
    @Test
    public void atItsConnectionBoundTheProxyClosesIdleClientsBeforeNewOnes() throws Exception {
        List<Caller> idle = new ArrayList<>();
        try (World world = new World(1).with("\"sockets\": 1024", "\"sockets\": 16").start()) {
            for (int i = 0; i < 8; i++) {
                idle.add(world.caller());
                idle.get(i).send(World.request("lookup", "/api", ""));
                world.call().reply("200 OK", "once");
                assertEquals(idle.get(i).read().body(), "once");
            }
            try (Caller first = world.caller();
                    Caller second = world.caller()) {
                assertNull(idle.get(0).read());
                assertNull(idle.get(1).read());
                for (Caller caller : List.of(first, second)) {
                    caller.send(World.request("lookup", "/api", ""));
                    world.call().reply("200 OK", "new");
                    assertEquals(caller.read().body(), "new");
                }
            }
        }
        for (Caller caller : idle) {
            caller.close();
        }
    }

    /**
     * Returns answers that can't be parsed or have no end. Such an attempt has failed and may have
     * run; no part of the answer may reach the client.
     */
    @DataProvider
    public Object[][] malformedAnswers() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {ok + "Content-Length: 3000000000\r\n\r\nx"},
            {ok + "Content-Length: 10\r\n\r\nhalf"},
            {ok + "Content-Length: -1\r\n\r\nx"},
            {ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx"},
            {ok + "A: " + "x".repeat(17 * 1024)},
            {ok + "A: never ends"},
            {"HTTP/1.1 100 Continue\r\n\r\n".repeat(20) + ok + "Content-Length: 1\r\n\r\nx"},
        };
    }

    @Test(dataProvider = "malformedAnswers")
    public void aMalformedAnswerFailsAtOnceAndIsNeverForwarded(String answer) throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            Received malformed = world.call();
            malformed.raw(answer);
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            caller.send(World.request("order", "/api", "y"));
            Received next = world.call();
            assertNotEquals(next.socket().getPort(), malformed.socket().getPort());
            next.reply("200 OK", "fine");
            assertEquals(caller.read().body(), "fine");
        }
    }

    /** Bytes left over from one answer must not be mistaken for the next answer. */
    @Test
    public void bytesAfterACompleteAnswerAreDiscarded() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            Received first = world.call();
            String one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
            first.raw("HTTP/1.1 103 Early Hints\r\n\r\n" + one + one);
            assertEquals(caller.read().body(), "one");
            caller.send(World.request("order", "/api", "y"));
            Received second = world.call();
            assertNotEquals(second.socket().getPort(), first.socket().getPort());
            second.reply("200 OK", "two");
            assertEquals(caller.read().body(), "two");
        }
    }

    /**
     * A connection to a removed endpoint must not be used for another endpoint that now has its
     * address.
     */
    @Test
    public void anEndpointWithANewIdGetsItsOwnConnection() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            Received watch = World.await(world.lookups);
            caller.send(World.request("order", "/api", "x"));
            Received old = world.call();
            old.reply("200 OK", "old");
            assertEquals(caller.read().body(), "old");
            watch.raw(World.STREAM);
            watch.chunk(
                    "{\"version\":7,\"full\":false,\"servers\":["
                            + world.entries("terminated")
                            + ","
                            + world.entries("in_service").replace("\"n0\"", "\"new\"")
                            + "]}\n");
            old.awaitEnd();
            caller.send(World.request("order", "/api", "y"));
            Received call = world.call();
            assertNotEquals(call.socket().getPort(), old.socket().getPort());
            call.reply("200 OK", "new");
            assertEquals(caller.read().body(), "new");
        }
    }

    @Test
    public void theProxyIsHealthyOnceItHasEndpoints() throws Exception {
        try (World empty = new World(0).start();
                World full = new World(1).start();
                Caller early = empty.caller();
                Caller ready = full.caller()) {
            String health = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
            assertEquals(early.send(health).read().first(), "HTTP/1.1 503 Service Unavailable");
            assertEquals(ready.send(health).read().first(), "HTTP/1.1 200 OK");
            // On a machine short of cores the event loop logs its delay.
            assertFalse(
                    full.log.toString().replace("WARN loop.delayed", "").contains("WARN"),
                    full.log.toString());
        }
    }

    /**
     * Bytes of the warm-up that are read after its end, such as those of a hedged request of its
     * last request, must not reach an endpoint.
     */
    @Test
    public void leftoverWarmUpRequestsReachNoEndpoint() throws Exception {
        try (World world = new World(1).start();
                Caller caller = world.caller()) {
            SplittableRandom random =
                    new SplittableRandom(Long.parseUnsignedLong("8c1f30d27a5be964", 16));
            String id =
                    "warm-up-"
                            + Long.toHexString(random.nextLong())
                            + Long.toHexString(random.nextLong());
            caller.send(World.request("lookup", "/warm-up", "").replace("id-1", id));
            assertEquals(caller.read().first(), "HTTP/1.1 200 OK");
            caller.send(World.request("lookup", "/api", ""));
            Received call = world.call();
            assertEquals(call.field("Req-Id"), "id-1");
            call.reply("200 OK", "done");
            assertEquals(caller.read().body(), "done");
        }
    }
}
