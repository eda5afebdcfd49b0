package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.operator.OperatorFile;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Retry budgets that are propagated between tiers over sockets: the fields sent with requests, the
 * fields returned with answers, and peers that support neither.
 */
public class BudgetScenarioTest {

    private static final String[] TIERS = {"front", "core", "link"};

    private static ProxyHarness harness(int tier, int nodes, String... keys) throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, "[budget]\n" + String.join("\n", keys) + "\n");
            return plain(tier, nodes).with(OperatorFile.read(file));
        } finally {
            Files.delete(file);
        }
    }

    private static ProxyHarness plain(int tier, int nodes) throws Exception {
        return new ProxyHarness(nodes)
                .with(
                        "\"layer\": 0, \"tiers\": [\"api\"]",
                        "\"layer\": "
                                + tier
                                + ", \"tiers\": [\""
                                + String.join("\", \"", TIERS)
                                + "\"]");
    }

    /** Returns the number of a key in a header field, or -1 if there is none. */
    private static double number(Received message, String field, String key) {
        Matcher found =
                Pattern.compile(";" + key + "=([0-9.]+)")
                        .matcher(String.valueOf(message.field(field)));
        return found.find() ? Double.parseDouble(found.group(1)) : -1;
    }

    private static double retries(Received request) {
        return number(request, "Cedar-Budget", "tries");
    }

    // ---- propagation ----

    @Test
    public void theRemainingBudgetIsPropagatedAndTheRestOfTheRequestIsUnchanged() throws Exception {
        try (ProxyHarness harness = harness(0, 1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request(
                                    "booking",
                                    "/api/x?y=1",
                                    "{\"a\":1}",
                                    "Idempotency-Key: k1",
                                    "Other: o",
                                    "Cedar-Colour: red")
                            .replace("id-1", "forwarded"));
            Received request = harness.nextRequest();
            assertEquals(request.first(), "POST /api/x?y=1 HTTP/1.1");
            assertEquals(request.body(), "{\"a\":1}");
            assertEquals(request.field("Req-Id"), "forwarded");
            assertEquals(request.field("Idempotency-Key"), "k1");
            assertEquals(request.field("Other"), "o");
            assertEquals(request.field("Cedar-Colour"), "red", "unknown fields are forwarded");
            assertEquals(retries(request), 2.0);
            double remaining = number(request, "Cedar-Budget", "left");
            assertTrue(
                    remaining > 0 && remaining < Long.parseLong(request.field("Req-Deadline-Ms")),
                    "left " + remaining);
            assertEquals(request.field("Cedar-Path"), "1;front");
            request.reply("200 OK", "done", "Cedar-Result: 1;spent=0", "Other: p");
            Received answer = client.read();
            assertEquals(answer.body(), "done");
            assertEquals(answer.field("Other"), "p");
            assertNull(
                    answer.field("Cedar-Result"),
                    "a client that sends no budget fields receives none");
        }
    }

    @Test
    public void withoutTheBudgetTableItsFieldsAreForwardedLikeAnyOthers() throws Exception {
        try (ProxyHarness harness = plain(1, 1).start();
                Client client = harness.client()) {
            String budget = "1;left=5;tries=0;grant=7";
            client.send(
                    ProxyHarness.request(
                            "lookup", "/api", "", "Cedar-Budget: " + budget, "Cedar-Path: 1;core"));
            Received request = harness.nextRequest();
            assertEquals(request.field("Cedar-Budget"), budget);
            assertEquals(request.field("Cedar-Path"), "1;core");
            request.reply("200 OK", "done", "Cedar-Result: 1;spent=0");
            assertEquals(client.read().field("Cedar-Result"), "1;spent=0");
            client.send(
                    ProxyHarness.request("lookup", "/api", "")
                            .replace("Req-Deadline-Ms: 30000\r\n", ""));
            assertEquals(client.read().first(), "HTTP/1.1 400 Bad Request");
        }
    }

    /**
     * A request without a deadline would wait for ever; it gets the time of its class, less what
     * the tiers above may use.
     */
    @Test
    public void aRequestWithoutADeadlineGetsTheRemainingTimeOfItsClass() throws Exception {
        try (ProxyHarness harness = harness(1, 1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request("lookup", "/stays-for-test", "")
                            .replace("Req-Deadline-Ms: 30000\r\n", ""));
            Received request = harness.nextRequest();
            long remaining = Long.parseLong(request.field("Req-Deadline-Ms"));
            assertTrue(remaining > 0 && remaining <= 667, "two thirds of a second: " + remaining);
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            request.awaitEnd();
        }
    }

    @Test
    public void theRemainingTimeOfTheBudgetOverridesALaterDeadline() throws Exception {
        try (ProxyHarness harness = harness(1, 1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request(
                            "lookup", "/stays-for-test", "", "Cedar-Budget: 1;left=400;tries=0"));
            Received request = harness.nextRequest();
            assertTrue(Long.parseLong(request.field("Req-Deadline-Ms")) <= 400);
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
        }
    }

    @DataProvider
    public Object[][] forged() {
        return new Object[][] {
            // fields, the max number of retries that may be passed on
            {new String[] {"Cedar-Budget: 1;left=99999999999;tries=999;worth=99;grant=1"}, 2},
            {new String[] {"Cedar-Budget: 1;left=-1;tries=-1;worth=-1;grant=-1"}, 0},
            {new String[] {"Cedar-Budget: 1;left=x;tries=y;worth=z;grant=?"}, 0},
            {new String[] {"Cedar-Budget: 1;tries=3" + ";x=y".repeat(400)}, 0},
            {new String[] {"Cedar-Budget: 1;tries=3", "Cedar-Budget: 1;tries=3"}, 0},
            {new String[] {"Cedar-Budget: 0;tries=3"}, 0},
            {new String[] {"Cedar-Budget: 3;tries=3;colour=red"}, 2},
            {new String[] {"Cedar-Path: " + "a,".repeat(2000)}, 0},
            {new String[] {"Cedar-Path: 1;a,b", "Cedar-Path: 1;a,b"}, 0},
        };
    }

    @Test(dataProvider = "forged")
    public void forgedFieldsNeverRaiseTheBudget(String[] fields, int max) throws Exception {
        try (ProxyHarness harness = harness(1, 1).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x", fields));
            Received request = harness.nextRequest();
            assertTrue(retries(request) <= max, request.field("Cedar-Budget"));
            assertTrue(number(request, "Cedar-Budget", "left") < 30_000);
            assertTrue(number(request, "Cedar-Budget", "worth") <= 1);
            assertEquals(request.field("Cedar-Path"), "1;core");
            assertFalse(request.field("Cedar-Budget").contains("colour"));
            request.reply("200 OK", "fine", "Cedar-Result: 1;spent=-9;why=because;path=?");
            assertEquals(client.read().body(), "fine");
        }
    }

    // ---- attempts ----

    /**
     * A request that may have run is never reported as rejected, and the answer is sent at once,
     * not at the deadline.
     */
    @Test
    public void aBudgetExhaustedAfterAnAttemptThatMayHaveRunIsAFailure() throws Exception {
        try (ProxyHarness harness =
                        harness(1, 3)
                                .with(
                                        "\"name\": \"booking\", \"idempotency\": \"dedup\", "
                                                + "\"key-scope\": \"all\"",
                                        "\"name\": \"booking\", \"idempotency\": \"dedup\", "
                                                + "\"key-scope\": \"cell\"")
                                .start();
                Client client = harness.client()) {
            for (int retries = 1; retries >= 0; retries--) {
                client.send(
                        ProxyHarness.request(
                                "booking",
                                "/api",
                                "x",
                                "Idempotency-Key: k",
                                "Cedar-Budget: 1;tries=" + retries + ";grant=" + (7 + retries)));
                for (int i = 0; i <= retries; i++) {
                    harness.nextRequest().reset();
                }
                Received answer = client.read();
                assertEquals(answer.first(), "HTTP/1.1 502 Bad Gateway");
                assertEquals(answer.field("Cedar-Result"), "1;spent=" + retries + ";why=tries");
                assertTrue(harness.requests.isEmpty());
            }
        }
    }

    @Test
    public void aRequestThatIsSafeToRepeatIsRejectedWhenItsBudgetIsExhausted() throws Exception {
        try (ProxyHarness harness = harness(1, 2).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request("lookup", "/api", "", "Cedar-Budget: 1;tries=0;grant=7"));
            harness.nextRequest().reset();
            Received answer = client.read();
            assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
            assertEquals(answer.field("Cedar-Result"), "1;spent=0;why=tries");
            assertTrue(harness.requests.isEmpty());
        }
    }

    /** The budget permits a further attempt, but the class forbids it. */
    @Test
    public void aRequestThatMustNotRunTwiceIsNotRetriedWhateverBudgetRemains() throws Exception {
        try (ProxyHarness harness = harness(0, 2).start();
                Client client = harness.client()) {
            client.send(ProxyHarness.request("order", "/api", "x"));
            harness.nextRequest().reset();
            assertEquals(client.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(harness.requests.isEmpty());
        }
    }

    @Test
    public void theSameRequestOnTwoPathsUsesOneBudget() throws Exception {
        try (ProxyHarness harness = harness(2, 3).start();
                Client first = harness.client();
                Client second = harness.client()) {
            String budget = "Cedar-Budget: 1;tries=1;grant=abc";
            first.send(
                    ProxyHarness.request("lookup", "/api", "", budget, "Cedar-Path: 1;front,left"));
            harness.nextRequest().reset();
            harness.nextRequest().reset();
            assertEquals(first.read().field("Cedar-Result"), "1;spent=1;why=tries");
            second.send(
                    ProxyHarness.request(
                            "lookup", "/api", "", budget, "Cedar-Path: 1;front,right"));
            harness.nextRequest().reset();
            assertEquals(second.read().field("Cedar-Result"), "1;spent=1;why=tries");
            assertTrue(harness.requests.isEmpty());
        }
    }

    // ---- overload ----

    @Test
    public void anOverloadRejectionByALowerTierIsNotRetriedAndReducesAdmission() throws Exception {
        try (ProxyHarness harness = harness(1, 3).start();
                Client client = harness.client()) {
            String budget = "Cedar-Budget: 1;tries=3;grant=";
            int rejected = 0;
            for (int i = 1; rejected == 0; i++) {
                assertTrue(i < 20_000, "every request is admitted");
                // The priority weight is 1 in 300 ms for lookups and 2 in 1,000 for orders: orders
                // weigh less for their work.
                client.send(
                        ProxyHarness.request("lookup", "/api", "", budget + i)
                                .replace("id-1", "l" + i));
                harness.nextRequest()
                        .reply("500 Error", "", "Cedar-Result: 1;spent=0;why=overload");
                Received answer = client.read();
                assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
                assertEquals(answer.field("Cedar-Result"), "1;spent=0;why=overload");
                client.send(
                        ProxyHarness.request("order", "/api", "x", budget + "f" + i)
                                .replace("id-1", "o" + i));
                // The order either reaches an endpoint or is rejected before any endpoint has
                // received it.
                TestEndpoints.daemon(() -> harness.requests.add(client.read()));
                Received next = harness.nextRequest();
                if (next.first().startsWith("POST")) {
                    next.reply("200 OK", "");
                    assertEquals(harness.nextRequest().first(), "HTTP/1.1 200 OK");
                } else {
                    rejected++;
                    assertEquals(next.first(), "HTTP/1.1 503 Service Unavailable");
                    assertEquals(next.field("Cedar-Result"), "1;spent=0;why=overload");
                }
            }
            client.send(ProxyHarness.request("lookup", "/api", "", budget + "aaaa"));
            harness.nextRequest().reply("200 OK", "the highest priority is still admitted");
            assertEquals(client.read().body(), "the highest priority is still admitted");
        }
    }

    // ---- loops ----

    /** The endpoints of two tiers send requests to each other's tier by mistake. */
    @Test
    public void aLoopIsRejectedWhereItClosesAndItsPathIsInTheAnswerAndOnceInTheLog()
            throws Exception {
        try (ProxyHarness front = harness(0, 1).start();
                ProxyHarness core = harness(1, 1).start();
                Client client = front.client()) {
            AtomicInteger seen = new AtomicInteger();
            TestEndpoints.handleRequests(
                    front,
                    request -> {
                        seen.incrementAndGet();
                        TestEndpoints.relay(core.port, true).serve(request);
                    });
            TestEndpoints.handleRequests(
                    core,
                    request -> {
                        seen.incrementAndGet();
                        TestEndpoints.relay(front.port, true).serve(request);
                    });
            for (int i = 1; i <= 3; i++) {
                client.send(
                        ProxyHarness.request("lookup", "/api", "").replace("id-1", "loop-" + i));
                Received answer = client.read();
                assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
                assertEquals(answer.body(), "a loop: front > core > front\n");
                assertEquals(seen.get(), 2 * i, "one round without retries");
            }
            String line = "budget.loop_rejected path=\"front > core > front\"";
            front.awaitLog(line);
            assertEquals(
                    front.log.toString().split(Pattern.quote(line), -1).length,
                    2,
                    front.log.toString());
        }
    }

    // ---- versions with and without budgets ----

    /** An old daemon forwards unknown fields, and its endpoints copy them. */
    @Test
    public void anOldDaemonBetweenNewOnesForwardsTheBudgetFields() throws Exception {
        try (ProxyHarness front = harness(0, 1).start();
                ProxyHarness core = plain(1, 1).start();
                ProxyHarness link = harness(2, 1).start();
                Client client = front.client()) {
            TestEndpoints.handleRequests(front, TestEndpoints.relay(core.port, true));
            TestEndpoints.handleRequests(core, TestEndpoints.relay(link.port, true));
            client.send(ProxyHarness.request("order", "/api", "x"));
            Received request = link.nextRequest();
            assertEquals(request.field("Cedar-Path"), "1;front,link");
            assertEquals(retries(request), 0.0, "the last tier passes no retries on");
            request.reply("200 OK", "through");
            assertEquals(client.read().body(), "through");
        }
    }

    @Test
    public void aTierThatReceivesNoBudgetFieldsUsesItsOwnBudget() throws Exception {
        try (ProxyHarness front = harness(0, 1).start();
                ProxyHarness core = harness(1, 3).start();
                Client client = front.client()) {
            TestEndpoints.handleRequests(front, TestEndpoints.relay(core.port, false));
            client.send(ProxyHarness.request("lookup", "/api", ""));
            Received first = core.nextRequest();
            assertEquals(first.field("Cedar-Path"), "1;core");
            assertEquals(retries(first), 0.0);
            first.reset();
            Received second = core.nextRequest();
            assertNotEquals(second.socket().getLocalPort(), first.socket().getLocalPort());
            second.reset();
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            assertTrue(core.requests.isEmpty(), "exactly one further attempt");
        }
    }
}
