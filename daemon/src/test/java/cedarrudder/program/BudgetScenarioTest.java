package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.operator.OperatorFile;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
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

    private static World world(int tier, int nodes, String... keys) throws Exception {
        Path file = Files.createTempFile("operator", ".toml");
        try {
            Files.writeString(file, "[budget]\n" + String.join("\n", keys) + "\n");
            return plain(tier, nodes).with(OperatorFile.read(file));
        } finally {
            Files.delete(file);
        }
    }

    private static World plain(int tier, int nodes) throws Exception {
        return new World(nodes)
                .with(
                        "\"layer\": 0, \"tiers\": [\"api\"]",
                        "\"layer\": "
                                + tier
                                + ", \"tiers\": [\""
                                + String.join("\", \"", TIERS)
                                + "\"]");
    }

    /** Returns the number of a key in a header field, or -1 if there is none. */
    private static double figure(Received message, String field, String key) {
        Matcher found =
                Pattern.compile(";" + key + "=([0-9.]+)")
                        .matcher(String.valueOf(message.field(field)));
        return found.find() ? Double.parseDouble(found.group(1)) : -1;
    }

    private static double tries(Received call) {
        return figure(call, "Cedar-Budget", "tries");
    }

    // ---- propagation ----

    @Test
    public void theRemainingBudgetIsPropagatedAndTheRestOfTheRequestIsUnchanged() throws Exception {
        try (World world = world(0, 1).start();
                Caller caller = world.caller()) {
            caller.send(
                    World.request(
                            "booking",
                            "/api/x?y=1",
                            "{\"a\":1}",
                            "Idempotency-Key: k1",
                            "Other: o",
                            "Cedar-Colour: red"));
            Received call = world.call();
            assertEquals(call.first(), "POST /api/x?y=1 HTTP/1.1");
            assertEquals(call.body(), "{\"a\":1}");
            assertEquals(call.field("Req-Id"), "id-1");
            assertEquals(call.field("Idempotency-Key"), "k1");
            assertEquals(call.field("Other"), "o");
            assertEquals(call.field("Cedar-Colour"), "red", "unknown fields are forwarded");
            assertEquals(tries(call), 2.0);
            double left = figure(call, "Cedar-Budget", "left");
            assertTrue(
                    left > 0 && left < Long.parseLong(call.field("Req-Deadline-Ms")),
                    "left " + left);
            assertEquals(call.field("Cedar-Path"), "1;front");
            call.reply("200 OK", "done", "Cedar-Result: 1;spent=0", "Other: p");
            Received answer = caller.read();
            assertEquals(answer.body(), "done");
            assertEquals(answer.field("Other"), "p");
            assertNull(
                    answer.field("Cedar-Result"),
                    "a client that sends no budget fields receives none");
        }
    }

    @Test
    public void withoutTheBudgetTableItsFieldsAreForwardedLikeAnyOthers() throws Exception {
        try (World world = plain(1, 1).start();
                Caller caller = world.caller()) {
            String budget = "1;left=5;tries=0;grant=7";
            caller.send(
                    World.request(
                            "lookup", "/api", "", "Cedar-Budget: " + budget, "Cedar-Path: 1;core"));
            Received call = world.call();
            assertEquals(call.field("Cedar-Budget"), budget);
            assertEquals(call.field("Cedar-Path"), "1;core");
            call.reply("200 OK", "done", "Cedar-Result: 1;spent=0");
            assertEquals(caller.read().field("Cedar-Result"), "1;spent=0");
            caller.send(
                    World.request("lookup", "/api", "").replace("Req-Deadline-Ms: 30000\r\n", ""));
            assertEquals(caller.read().first(), "HTTP/1.1 400 Bad Request");
        }
    }

    /**
     * A request without a deadline would wait for ever; it gets the time of its class, less what
     * the tiers above may use.
     */
    @Test
    public void aRequestWithoutADeadlineGetsTheRemainingTimeOfItsClass() throws Exception {
        try (World world = world(1, 1).start();
                Caller caller = world.caller()) {
            caller.send(
                    World.request("lookup", "/stays-for-test", "")
                            .replace("Req-Deadline-Ms: 30000\r\n", ""));
            Received call = world.call();
            long left = Long.parseLong(call.field("Req-Deadline-Ms"));
            assertTrue(left > 0 && left <= 667, "two thirds of a second: " + left);
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            call.awaitEnd();
        }
    }

    @Test
    public void theRemainingTimeOfTheBudgetOverridesALaterDeadline() throws Exception {
        try (World world = world(1, 1).start();
                Caller caller = world.caller()) {
            caller.send(
                    World.request(
                            "lookup", "/stays-for-test", "", "Cedar-Budget: 1;left=400;tries=0"));
            Received call = world.call();
            assertTrue(Long.parseLong(call.field("Req-Deadline-Ms")) <= 400);
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
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
        try (World world = world(1, 1).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x", fields));
            Received call = world.call();
            assertTrue(tries(call) <= max, call.field("Cedar-Budget"));
            assertTrue(figure(call, "Cedar-Budget", "left") < 30_000);
            assertTrue(figure(call, "Cedar-Budget", "worth") <= 1);
            assertEquals(call.field("Cedar-Path"), "1;core");
            assertFalse(call.field("Cedar-Budget").contains("colour"));
            call.reply("200 OK", "fine", "Cedar-Result: 1;spent=-9;why=because;path=?");
            assertEquals(caller.read().body(), "fine");
        }
    }

    // ---- attempts ----

    /**
     * A request that may have run is never reported as rejected, and the answer is sent at once,
     * not at the deadline.
     */
    @Test
    public void aBudgetExhaustedAfterAnAttemptThatMayHaveRunIsAFailure() throws Exception {
        try (World world =
                        world(1, 3)
                                .with(
                                        "\"name\": \"booking\", \"idempotency\": \"dedup\", "
                                                + "\"key-scope\": \"all\"",
                                        "\"name\": \"booking\", \"idempotency\": \"dedup\", "
                                                + "\"key-scope\": \"cell\"")
                                .start();
                Caller caller = world.caller()) {
            for (int tries = 1; tries >= 0; tries--) {
                caller.send(
                        World.request(
                                "booking",
                                "/api",
                                "x",
                                "Idempotency-Key: k",
                                "Cedar-Budget: 1;tries=" + tries + ";grant=" + (7 + tries)));
                for (int i = 0; i <= tries; i++) {
                    world.call().reset();
                }
                Received answer = caller.read();
                assertEquals(answer.first(), "HTTP/1.1 502 Bad Gateway");
                assertEquals(answer.field("Cedar-Result"), "1;spent=" + tries + ";why=tries");
                assertTrue(world.calls.isEmpty());
            }
        }
    }

    @Test
    public void aRequestThatIsSafeToRepeatIsRejectedWhenItsBudgetIsExhausted() throws Exception {
        try (World world = world(1, 2).start();
                Caller caller = world.caller()) {
            caller.send(World.request("lookup", "/api", "", "Cedar-Budget: 1;tries=0;grant=7"));
            world.call().reset();
            Received answer = caller.read();
            assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
            assertEquals(answer.field("Cedar-Result"), "1;spent=0;why=tries");
            assertTrue(world.calls.isEmpty());
        }
    }

    /** The budget permits a further attempt, but the class forbids it. */
    @Test
    public void aRequestThatMustNotRunTwiceIsNotRetriedWhateverBudgetRemains() throws Exception {
        try (World world = world(0, 2).start();
                Caller caller = world.caller()) {
            caller.send(World.request("order", "/api", "x"));
            world.call().reset();
            assertEquals(caller.read().first(), "HTTP/1.1 502 Bad Gateway");
            assertTrue(world.calls.isEmpty());
        }
    }

    @Test
    public void theSameRequestOnTwoPathsUsesOneBudget() throws Exception {
        try (World world = world(2, 3).start();
                Caller first = world.caller();
                Caller second = world.caller()) {
            String budget = "Cedar-Budget: 1;tries=1;grant=abc";
            first.send(World.request("lookup", "/api", "", budget, "Cedar-Path: 1;front,left"));
            world.call().reset();
            world.call().reset();
            assertEquals(first.read().field("Cedar-Result"), "1;spent=1;why=tries");
            second.send(World.request("lookup", "/api", "", budget, "Cedar-Path: 1;front,right"));
            world.call().reset();
            assertEquals(second.read().field("Cedar-Result"), "1;spent=1;why=tries");
            assertTrue(world.calls.isEmpty());
        }
    }

    // ---- overload ----

    @Test
    public void anOverloadRejectionByALowerTierIsNotRetriedAndReducesAdmission() throws Exception {
        try (World world = world(1, 3).start();
                Caller caller = world.caller()) {
            String budget = "Cedar-Budget: 1;tries=3;grant=";
            int refused = 0;
            for (int i = 1; refused == 0; i++) {
                assertTrue(i < 20_000, "every request is admitted");
                // The priority weight is 1 in 300 ms for lookups and 2 in 1,000 for orders: orders
                // weigh less for their work.
                caller.send(
                        World.request("lookup", "/api", "", budget + i).replace("id-1", "l" + i));
                world.call().reply("500 Error", "", "Cedar-Result: 1;spent=0;why=overload");
                Received answer = caller.read();
                assertEquals(answer.first(), "HTTP/1.1 503 Service Unavailable");
                assertEquals(answer.field("Cedar-Result"), "1;spent=0;why=overload");
                caller.send(
                        World.request("order", "/api", "x", budget + "f" + i)
                                .replace("id-1", "o" + i));
                // The order either reaches an endpoint or is rejected before any endpoint has
                // received it.
                Nodes.daemon(() -> world.calls.add(caller.read()));
                Received next = world.call();
                if (next.first().startsWith("POST")) {
                    next.reply("200 OK", "");
                    assertEquals(world.call().first(), "HTTP/1.1 200 OK");
                } else {
                    refused++;
                    assertEquals(next.first(), "HTTP/1.1 503 Service Unavailable");
                    assertEquals(next.field("Cedar-Result"), "1;spent=0;why=overload");
                }
            }
            caller.send(World.request("lookup", "/api", "", budget + "aaaa"));
            world.call().reply("200 OK", "the highest priority is still admitted");
            assertEquals(caller.read().body(), "the highest priority is still admitted");
        }
    }

    // ---- loops ----

    /** The endpoints of two tiers send requests to each other's tier by mistake. */
    @Test
    public void aLoopIsRejectedWhereItClosesAndItsPathIsInTheAnswerAndOnceInTheLog()
            throws Exception {
        try (World front = world(0, 1).start();
                World core = world(1, 1).start();
                Caller caller = front.caller()) {
            AtomicInteger seen = new AtomicInteger();
            Nodes.play(
                    front,
                    call -> {
                        seen.incrementAndGet();
                        Nodes.relay(core.port, true).serve(call);
                    });
            Nodes.play(
                    core,
                    call -> {
                        seen.incrementAndGet();
                        Nodes.relay(front.port, true).serve(call);
                    });
            for (int i = 1; i <= 3; i++) {
                caller.send(World.request("lookup", "/api", "").replace("id-1", "loop-" + i));
                Received answer = caller.read();
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
        try (World front = world(0, 1).start();
                World core = plain(1, 1).start();
                World link = world(2, 1).start();
                Caller caller = front.caller()) {
            Nodes.play(front, Nodes.relay(core.port, true));
            Nodes.play(core, Nodes.relay(link.port, true));
            caller.send(World.request("order", "/api", "x"));
            Received call = link.call();
            assertEquals(call.field("Cedar-Path"), "1;front,link");
            assertEquals(tries(call), 0.0, "the last tier passes no retries on");
            call.reply("200 OK", "through");
            assertEquals(caller.read().body(), "through");
        }
    }

    @Test
    public void aTierThatReceivesNoBudgetFieldsUsesItsOwnBudget() throws Exception {
        try (World front = world(0, 1).start();
                World core = world(1, 3).start();
                Caller caller = front.caller()) {
            Nodes.play(front, Nodes.relay(core.port, false));
            caller.send(World.request("lookup", "/api", ""));
            Received first = core.call();
            assertEquals(first.field("Cedar-Path"), "1;core");
            assertEquals(tries(first), 0.0);
            first.reset();
            Received second = core.call();
            assertNotEquals(second.socket().getLocalPort(), first.socket().getLocalPort());
            second.reset();
            assertEquals(caller.read().first(), "HTTP/1.1 503 Service Unavailable");
            assertTrue(core.calls.isEmpty(), "exactly one further attempt");
        }
    }
}
