package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.nio.file.Files;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests whose id comes again after the client of the first has left. */
public class RepeatedIdScenarioTest {

    private static final String FAILED = "HTTP/1.1 502 Bad Gateway";
    private static final String SERVED = "HTTP/1.1 200 OK";
    private static final String ALL = "\"key-scope\": \"all\"";
    private static final String CELL = "\"key-scope\": \"cell\"";
    private static final String WINDOW = "\"repeat-window-ns\": 5000000000";
    private static final String SHORT_WINDOW = "\"repeat-window-ns\": 1";

    private static String request(String kind) {
        String[] key = kind.equals("booking") ? new String[] {"Idempotency-Key: k"} : new String[0];
        return ProxyHarness.request(kind, "/api", kind.equals("lookup") ? "" : "x", key)
                .replace("id-1", "repeated");
    }

    /** Returns the proxy's answer to the request, which the next attempt, if any, serves. */
    private static Received answer(ProxyHarness harness, String request) throws Exception {
        try (Client client = harness.client()) {
            client.send(request);
            TestEndpoints.handleRequests(harness, received -> received.reply("200 OK", "again"));
            return client.read();
        }
    }

    @DataProvider
    public Object[][] classes() {
        return new Object[][] {
            {"order", ALL, WINDOW, FAILED},
            {"lookup", ALL, WINDOW, SERVED},
            {"booking", ALL, WINDOW, SERVED},
            {"booking", CELL, WINDOW, FAILED},
            {"booking", ALL, SHORT_WINDOW, FAILED}
        };
    }

    /** Guards against an effect that happens twice because its id comes again. */
    @Test(dataProvider = "classes")
    public void anIdRunsAgainOnlyIfItsClassAllowsThat(
            String kind, String keyScope, String window, String expected) throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).with(ALL, keyScope).with(WINDOW, window)) {
            harness.start();
            try (Client leaves = harness.client()) {
                leaves.send(request(kind));
                harness.nextRequest();
            }
            awaitLeft(harness);
            assertEquals(answer(harness, request(kind)).first(), expected);
        }
    }

    /** Waits until the connection of the attempt was closed, since its client had left. */
    private static void awaitLeft(ProxyHarness harness) throws Exception {
        Await.until("the end of the attempt", () -> !harness.ended.isEmpty());
    }

    /** Guards against the same after a reload. */
    @Test
    public void anUnsafeIdDoesNotRunAgainAfterAReload() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start()) {
            try (Client leaves = harness.client()) {
                leaves.send(request("order"));
                harness.nextRequest();
            }
            awaitLeft(harness);
            harness.reload(harness.configuration());
            assertEquals(answer(harness, request("order")).first(), FAILED);
        }
    }

    /** Guards against failing a request whose first attempt is proven not to have run. */
    @Test
    public void anIdThatWasRejectedByItsEndpointRuns() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("order"));
            harness.nextRequest().reply("503 Busy", "", "Srv-Declined: 1");
            assertEquals(client.read().first(), "HTTP/1.1 503 Service Unavailable");
            assertEquals(answer(harness, request("order")).first(), SERVED);
        }
    }

    /** Guards against an effect that happens twice since its answer was lost on the way. */
    @Test
    public void anAnsweredIdDoesNotRunAgain() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("order"));
            harness.nextRequest().reply("200 OK", "first");
            assertEquals(client.read().body(), "first");
            assertEquals(answer(harness, request("order")).first(), FAILED);
        }
    }

    /** Guards against an id whose earlier copy runs after its later one was answered. */
    @Test
    public void anEarlierCopyBehindAnOpenRequestDoesNotRunAfterALaterOne() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).start();
                Client earlier = harness.client();
                Client later = harness.client()) {
            earlier.send(request("lookup").replace("repeated", "open") + request("order"));
            Received open = harness.nextRequest();
            later.send(request("order"));
            harness.nextRequest().reply("200 OK", "later");
            assertEquals(later.read().body(), "later");
            open.reply("200 OK", "open");
            assertEquals(earlier.read().body(), "open");
            assertEquals(earlier.read().first(), FAILED);
            assertNull(harness.requests.poll());
        }
    }

    /** Guards against a start that fails because the folder of the processes does. */
    @Test
    public void anUnsafeIdDoesNotRunAgainWhereTheSharedFileFails() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(2).withAdmin()) {
            Files.createDirectories(harness.state.resolve("started-request-ids"));
            harness.start();
            harness.awaitLog("state.write_failed");
            try (Client leaves = harness.client()) {
                leaves.send(request("order"));
                harness.nextRequest();
            }
            awaitLeft(harness);
            assertEquals(answer(harness, request("order")).first(), FAILED);
        }
    }

    /** Guards against an effect whose answer was cut off with its client, and that comes again. */
    @Test
    public void anIdWhoseClientLeftWithinItsAnswerDoesNotRunAgain() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start()) {
            try (Client leaves = harness.client()) {
                leaves.send(request("order"));
                Received first = harness.nextRequest();
                first.raw("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\nsome");
                assertEquals(leaves.readHead().first(), SERVED);
            }
            awaitLeft(harness);
            assertEquals(answer(harness, request("order")).first(), FAILED);
            assertNull(harness.requests.poll());
        }
    }
}
