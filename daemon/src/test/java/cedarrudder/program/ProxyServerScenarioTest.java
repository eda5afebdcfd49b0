package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the proxy with scripted clients, endpoints and discovery. */
public class ProxyServerScenarioTest {

    @Test
    public void aRequestIsForwardedUnchangedAndItsAnswerReturned() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request(
                                    "booking", "/api/x?y=1", "{\"a\":1}", "Idempotency-Key: k1")
                            .replace("id-1", "forwarded"));
            Received request = harness.nextRequest();
            assertEquals(request.first(), "POST /api/x?y=1 HTTP/1.1");
            assertEquals(request.body(), "{\"a\":1}");
            assertEquals(request.field("Req-Id"), "forwarded");
            assertEquals(request.field("Idempotency-Key"), "k1");
            long remaining = Long.parseLong(request.field("Req-Deadline-Ms"));
            assertTrue(remaining > 0 && remaining < 30_000, "left " + remaining);
            request.reply("200 OK", "done", "Content-Type: application/json");
            Received answer = client.read();
            assertEquals(answer.first(), "HTTP/1.1 200 OK");
            assertEquals(answer.body(), "done");
            assertEquals(answer.field("Content-Type"), "application/json");
        }
    }

    @Test
    public void requestsAreParsedHoweverTheirBytesAreSplitOrJoined() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            for (char next : ProxyHarness.request("order", "/api", "body").toCharArray()) {
                client.send(String.valueOf(next));
            }
            Received split = harness.nextRequest();
            assertEquals(split.body(), "body");
            client.send(
                    ProxyHarness.request("order", "/api/2", "two")
                            + ProxyHarness.request("lookup", "/api/3", ""));
            split.reply("200 OK", "1");
            assertEquals(client.read().body(), "1");
            Received second = harness.nextRequest();
            assertEquals(second.body(), "two");
            second.reply("200 OK", "2");
            assertEquals(client.read().body(), "2");
            harness.nextRequest().reply("200 OK", "3");
            assertEquals(client.read().body(), "3");
        }
    }

    @Test
    public void afterARefusedConnectionAnotherEndpointIsTried() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            harness.nodes.get(0).close();
            for (int i = 0; i < 8; i++) {
                client.send(ProxyHarness.request("order", "/api", "x"));
                harness.nextRequest().reply("200 OK", "ok");
                assertEquals(client.read().body(), "ok");
            }
        }
    }

    @Test
    public void aRequestThatMayHaveRunIsNotRetried() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            harness.nextRequest().reset();
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(harness.requests.isEmpty());
        }
    }

    @Test
    public void aRequestThatNeverRanIsRejectedAsUnavailable() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            harness.nextRequest().reply("503 Full", "", "Srv-Declined: 1");
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
        }
    }

    @Test
    public void aBodyThatEndsWithItsConnectionIsComplete() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("lookup", "/api", ""));
            Received request = harness.nextRequest();
            request.raw("HTTP/1.1 200 OK\r\n\r\nto the end");
            request.socket().close();
            assertEquals(client.read().body(), "to the end");
        }
    }

    /**
     * A write on a connection that its endpoint has closed would be answered by a reset, and the
     * request lost.
     */
    @Test
    public void aConnectionThatItsEndpointClosedIsNotReused() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            Received first = harness.nextRequest();
            first.reply("200 OK", "1", "Connection: close");
            assertEquals(client.read().body(), "1");
            client.send(ProxyHarness.request("order", "/api", "y"));
            Received second = harness.nextRequest();
            assertNotEquals(second.socket().getPort(), first.socket().getPort());
            second.reply("200 OK", "2");
            assertEquals(client.read().body(), "2");
        }
    }

    @Test
    public void aClientThatDisconnectsEndsTheAttempt() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            Received request;
            try (Client client = harness.client()) {
                client.send(ProxyHarness.request("lookup", "/stays-for-test", ""));
                request = harness.nextRequest();
            }
            request.awaitEnd();
        }
    }

    @Test
    public void aRequestIsAnsweredAtItsDeadlineThoughItsEndpointIsSilent() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request("order", "/stays-for-test", "x").replace("30000", "2000"));
            Received request = harness.nextRequest();
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            request.awaitEnd();
        }
    }

    @Test
    public void anUnreadableAnswerFailsOnlyThatAttempt() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            harness.nextRequest().raw("\u0001\u0002 what\r\n\r\n");
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            client.send(ProxyHarness.request("order", "/api", "y"));
            harness.nextRequest().reply("200 OK", "fine");
            assertEquals(client.read().body(), "fine");
        }
    }

    /** After an outage of discovery the proxy must not go on with an old list for good. */
    @Test
    public void aLostWatchIsReopenedFromTheCurrentVersion() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            Received watch = ProxyHarness.await(harness.lookups);
            assertEquals(watch.first(), "GET /catalog/members?follow=1&since=0 HTTP/1.1");
            watch.raw(ProxyHarness.STREAM);
            String list =
                    "{\"version\":7,\"full\":true,\"servers\":["
                            + harness.entries("in_service")
                            + "]}\n";
            watch.chunk(list.substring(0, 30));
            watch.chunk(list.substring(30) + "\n");
            watch.reset();
            Received again = ProxyHarness.await(harness.lookups);
            assertEquals(again.first(), "GET /catalog/members?follow=1&since=7 HTTP/1.1");
            again.raw(ProxyHarness.STREAM);
            again.chunk("no JSON\n");
            assertEquals(ProxyHarness.await(harness.lookups).first(), again.first());
        }
    }

    /** With pushed lists the balancer requests none, so the proxy must open the watch by itself. */
    @Test
    public void withPushedListsTheWatchIsOpenFromTheStart() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).with("\"ask\"", "\"push\"").start()) {
            for (int i = 0; i < 3; i++) {
                Received watch = ProxyHarness.await(harness.lookups);
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
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            Received old = ProxyHarness.await(harness.lookups);
            old.raw(ProxyHarness.STREAM);
            old.chunk(
                    "{\"version\":7,\"full\":true,\"servers\":["
                            + harness.entries("in_service")
                            + "]}\n");
            harness.reload("{");
            harness.awaitLog("configuration.rejected");
            harness.discovery = harness.new Peer(harness.lookups);
            harness.reload(harness.configuration());
            Received watch = ProxyHarness.await(harness.lookups);
            assertEquals(watch.socket().getLocalPort(), harness.discovery.server.getLocalPort());
            old.chunk("{\"version\":8,\"full\":false,\"servers\":[]}\n");
            watch.raw(ProxyHarness.STREAM);
            watch.chunk("{\"version\":9,\"full\":false,\"servers\":[]}\n");
            old.awaitEnd();
            watch.reset();
            Received again = ProxyHarness.await(harness.lookups);
            assertEquals(again.first(), "GET /catalog/members?follow=1&since=9 HTTP/1.1");
            assertEquals(again.socket().getLocalPort(), harness.discovery.server.getLocalPort());
        }
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"nonsense\r\n\r\n", "400"},
            {"GET /api HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
            {ProxyHarness.request("unheard-of", "/api", ""), "400"},
            {ProxyHarness.request("order", "/api", "x", "Content-Length: 2"), "400"},
            {ProxyHarness.request("order", "/api", "x", "Content-Length: 1"), "400"},
            {ProxyHarness.request("order", "/api", "x", "Transfer-Encoding: chunked"), "400"},
            {ProxyHarness.request("order", "/api", "x").replace("30000", "soon"), "400"},
            {ProxyHarness.request("order", "/api", "x").replace("30000", "-5"), "400"},
            {ProxyHarness.request("order", "/api", "x").replace("30000", "0"), "400"},
            {
                ProxyHarness.request("order", "/api", "x")
                        .replace("30000", "999999999999999999999"),
                "400"
            },
            {ProxyHarness.request("order", "/api", "x").replace("POST", "GET"), "400"},
            {ProxyHarness.request("order", "/api", "x", "Idempotency-Key: k"), "400"},
            {ProxyHarness.request("booking", "/api", "x"), "400"},
            {ProxyHarness.request("lookup", "/api", "x", "Content-Length: 1"), "400"},
            {
                ProxyHarness.request("order", "/api", "").replace("Length: 0", "Length: 67108865"),
                "413"
            },
            {ProxyHarness.request("lookup", "/api", "", "A: " + "x".repeat(17 * 1024)), "431"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void aBadRequestGetsItsStatusAndTheConnectionIsClosed(String request, String status)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            Received answer = client.send(request).read();
            assertTrue(answer.first().startsWith("HTTP/1.1 " + status), answer.first());
            assertEquals(answer.field("Connection"), "close");
            assertNull(client.read());
            assertTrue(harness.requests.isEmpty());
        }
    }

    /** A client must not get the answer to another client's request of the same id. */
    @Test
    public void anIdInFlightIsNotAcceptedAgain() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client first = harness.client();
                Client second = harness.client()) {
            first.send(ProxyHarness.request("order", "/api", "x").replace("id-1", "in-flight"));
            Received request = harness.nextRequest();
            assertEquals(
                    second.send(
                                    ProxyHarness.request("order", "/api", "y")
                                            .replace("id-1", "in-flight"))
                            .read()
                            .first(),
                    "HTTP/1.1 400 Bad Request");
            request.reply("200 OK", "mine");
            assertEquals(first.read().body(), "mine");
            first.send(ProxyHarness.request("order", "/api", "z"));
            assertEquals(harness.nextRequest().body(), "z");
        }
    }

    /** Silent connections and half requests must not occupy descriptors for good. */
    @Test
    public void clientsWithoutACompleteRequestAreClosedAndWaitingClientsAreNot() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client silent = harness.client();
                Client half = harness.client();
                Client waiting = harness.client();
                Client served = harness.client()) {
            waiting.send(ProxyHarness.request("order", "/api", "x"));
            Received request = harness.nextRequest();
            served.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "id-2"));
            harness.nextRequest().reply("200 OK", "once");
            assertEquals(served.read().body(), "once");
            half.send("POST /api HTTP/1.1\r\nReq-");
            assertNull(silent.read());
            assertNull(half.read());
            assertNull(served.read()); // the client sent one request and stayed connected
            request.reply("200 OK", "late");
            assertEquals(waiting.read().body(), "late");
        }
    }

    /**
     * The proxy must not run out of descriptors; it may close only connections that wait for no
     * answer.
     */
    @Test
    public void atItsConnectionBoundTheProxyClosesSilentClients() throws Exception {
        List<Client> silent = new ArrayList<>();
        try (ProxyHarness harness =
                        new ProxyHarness(1).with("\"sockets\": 1024", "\"sockets\": 16").start();
                Client waiting = harness.client()) {
            waiting.send(ProxyHarness.request("order", "/api", "x"));
            Received request = harness.nextRequest();
            for (int i = 0; i < 40; i++) {
                silent.add(harness.client());
            }
            try (Client late = harness.client()) {
                late.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "id-2"));
                harness.nextRequest().reply("200 OK", "late");
                assertEquals(late.read().body(), "late");
            }
            request.reply("200 OK", "kept");
            assertEquals(waiting.read().body(), "kept");
        }
        for (Client client : silent) {
            client.close();
        }
    }

    /**
     * On a recorded day requests failed because their connections were closed before their first
     * bytes had arrived.
     */
    @Test
    public void atItsConnectionBoundTheProxyClosesIdleClientsBeforeNewOnes() throws Exception {
        List<Client> idle = new ArrayList<>();
        try (ProxyHarness harness =
                new ProxyHarness(1).with("\"sockets\": 1024", "\"sockets\": 16").start()) {
            for (int i = 0; i < 8; i++) {
                idle.add(harness.client());
                idle.get(i).send(ProxyHarness.request("lookup", "/api", ""));
                harness.nextRequest().reply("200 OK", "once");
                assertEquals(idle.get(i).read().body(), "once");
            }
            try (Client first = harness.client();
                    Client second = harness.client()) {
                assertNull(idle.get(0).read());
                assertNull(idle.get(1).read());
                for (Client client : List.of(first, second)) {
                    client.send(ProxyHarness.request("lookup", "/api", ""));
                    harness.nextRequest().reply("200 OK", "new");
                    assertEquals(client.read().body(), "new");
                }
            }
        }
        for (Client client : idle) {
            client.close();
        }
    }

    /**
     * Returns answers that can't be parsed, and the request's wait. Such an attempt has failed and
     * may have run; no part of the answer may reach the client. An answer that stops may go on, so
     * it fails at the request's deadline.
     */
    @DataProvider
    public Object[][] malformedAnswers() {
        String ok = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {ok + "Content-Length: 3000000000\r\n\r\nx", 30_000},
            {ok + "Content-Length: 10\r\n\r\nhalf", 900},
            {ok + "Content-Length: -1\r\n\r\nx", 30_000},
            {ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", 30_000},
            {ok + "A: " + "x".repeat(17 * 1024), 30_000},
            {ok + "A: never ends", 900},
            {
                "HTTP/1.1 100 Continue\r\n\r\n".repeat(20) + ok + "Content-Length: 1\r\n\r\nx",
                30_000
            },
        };
    }

    @Test(dataProvider = "malformedAnswers")
    public void aMalformedAnswerFailsAtOnceAndIsNeverForwarded(String answer, int waitMillis)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request("order", "/api", "x")
                            .replace("Deadline-Ms: 30000", "Deadline-Ms: " + waitMillis));
            Received malformed = harness.nextRequest();
            malformed.raw(answer);
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            client.send(ProxyHarness.request("order", "/api", "y"));
            Received next = harness.nextRequest();
            assertNotEquals(next.socket().getPort(), malformed.socket().getPort());
            next.reply("200 OK", "fine");
            assertEquals(client.read().body(), "fine");
        }
    }

    /** Bytes left over from one answer must not be mistaken for the next answer. */
    @Test
    public void bytesAfterACompleteAnswerAreDiscarded() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            Received first = harness.nextRequest();
            String one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
            first.raw("HTTP/1.1 103 Early Hints\r\n\r\n" + one + one);
            assertEquals(client.read().body(), "one");
            client.send(ProxyHarness.request("order", "/api", "y"));
            Received second = harness.nextRequest();
            assertNotEquals(second.socket().getPort(), first.socket().getPort());
            second.reply("200 OK", "two");
            assertEquals(client.read().body(), "two");
        }
    }

    /**
     * A connection to a removed endpoint must not be used for another endpoint that now has its
     * address.
     */
    @Test
    public void anEndpointWithANewIdGetsItsOwnConnection() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            Received watch = ProxyHarness.await(harness.lookups);
            client.send(ProxyHarness.request("order", "/api", "x"));
            Received old = harness.nextRequest();
            old.reply("200 OK", "old");
            assertEquals(client.read().body(), "old");
            watch.raw(ProxyHarness.STREAM);
            watch.chunk(
                    "{\"version\":7,\"full\":false,\"servers\":["
                            + harness.entries("terminated")
                            + ","
                            + harness.entries("in_service").replace("\"n0\"", "\"new\"")
                            + "]}\n");
            old.awaitEnd();
            client.send(ProxyHarness.request("order", "/api", "y"));
            Received request = harness.nextRequest();
            assertNotEquals(request.socket().getPort(), old.socket().getPort());
            request.reply("200 OK", "new");
            assertEquals(client.read().body(), "new");
        }
    }

    @Test
    public void theProxyIsHealthyOnceItHasEndpoints() throws Exception {
        try (ProxyHarness empty = new ProxyHarness(0).start();
                ProxyHarness full = new ProxyHarness(1).start();
                Client early = empty.client();
                Client ready = full.client()) {
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
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            SplittableRandom random =
                    new SplittableRandom(Long.parseUnsignedLong("8c1f30d27a5be964", 16));
            String id =
                    "warm-up-"
                            + Long.toHexString(random.nextLong())
                            + Long.toHexString(random.nextLong());
            client.send(ProxyHarness.request("lookup", "/warm-up", "").replace("id-1", id));
            assertEquals(client.read().first(), "HTTP/1.1 200 OK");
            client.send(ProxyHarness.request("lookup", "/api", "").replace("id-1", "forwarded"));
            Received request = harness.nextRequest();
            assertEquals(request.field("Req-Id"), "forwarded");
            request.reply("200 OK", "done");
            assertEquals(client.read().body(), "done");
        }
    }
}
