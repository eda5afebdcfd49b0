package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import cedarrudder.protocol.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * Metrics and operators' requests while clients send requests, endpoints fail and clients
 * disconnect.
 */
public class OperationUnderLoadTest {

    private static final int CLIENTS = 8;
    private static final int REQUESTS_PER_CLIENT = 100;

    /** The time for which a draining endpoint may still get new requests, in nanoseconds. */
    private static final long DRAIN_GRACE = 2_000_000_000L;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger rejected = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger disconnected = new AtomicInteger();

    private void reset() {
        for (AtomicInteger count : List.of(served, rejected, failed, disconnected)) {
            count.set(0);
        }
    }

    /**
     * Sends requests until stopped, or up to a number; disconnects before the answer to every tenth
     * one.
     */
    private void sendRequests(ProxyHarness harness, String name, AtomicBoolean on, int max)
            throws IOException {
        Client open = null;
        for (int i = 0; i < max && on.get(); i++) {
            open = open == null ? harness.client() : open;
            open.send(ProxyHarness.request("order", "/api", "x").replace("id-1", name + i));
            if (i % 10 == 9) {
                open.close();
                open = null;
                disconnected.incrementAndGet();
                continue;
            }
            Received answer = open.read();
            (answer.first().contains(" 200 ")
                            ? served
                            : answer.first().contains(" 503 ") ? rejected : failed)
                    .incrementAndGet();
        }
        if (open != null) {
            open.close();
        }
    }

    private List<Thread> load(ProxyHarness harness, AtomicBoolean on, int max) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i + "-";
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    sendRequests(harness, name, on, max);
                                } catch (IOException e) {
                                    failed.addAndGet(1_000_000); // no client's connection may break
                                }
                            });
            thread.start();
            threads.add(thread);
        }
        return threads;
    }

    /** The metrics must agree with what clients and endpoints observed, even when requests fail. */
    @Test
    public void metricsMatchWhatClientsAndEndpointsObservedUnderLoadAndFaults() throws Exception {
        AtomicInteger arrived = new AtomicInteger();
        reset();
        try (ProxyHarness harness = new ProxyHarness(3).withAdmin().start()) {
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        switch (arrived.incrementAndGet() % 10) {
                            case 3 -> request.reply("500 Broken", "");
                            case 6 -> request.reply("503 Full", "", "Srv-Declined: 1");
                            case 9 -> request.reset();
                            default -> request.reply("200 OK", "done");
                        }
                    });
            for (Thread thread : load(harness, new AtomicBoolean(true), REQUESTS_PER_CLIENT)) {
                Await.end("the end of a client", thread);
            }
            JsonObject page = page(harness);
            // An endpoint may still be reading the request of a client that disconnected.
            for (int i = 0;
                    i < 20_000
                            && (page.integer("open_requests") > 0
                                    || page.integer("relayed") != arrived.get());
                    i++) {
                page = page(harness);
            }
            JsonObject orders = page.child("operations").child("order");
            // A request whose client disconnected may count as any outcome: it may have been
            // answered already.
            long spare =
                    CLIENTS * REQUESTS_PER_CLIENT - served.get() - rejected.get() - failed.get();
            assertEquals(spare, disconnected.get());
            long counted = 0;
            String[] names = {"fulfilled", "throttled", "faulted"};
            int[] observed = {served.get(), rejected.get(), failed.get()};
            for (int i = 0; i < names.length; i++) {
                long reported = orders.integer(names[i]);
                counted += reported;
                assertTrue(
                        reported >= observed[i] && reported <= observed[i] + disconnected.get(),
                        names[i] + ": reported " + reported + ", observed " + observed[i]);
            }
            assertTrue(counted + orders.integer("left") <= CLIENTS * REQUESTS_PER_CLIENT);
            assertEquals(page.integer("relayed"), arrived.get());
        }
    }

    private static JsonObject page(ProxyHarness harness) throws IOException {
        return JsonObject.parse(harness.operator("GET", "/-/metrics").body());
    }

    /**
     * An endpoint that is being restarted must get no requests, and must get requests again
     * afterwards.
     */
    @Test
    public void anEndpointIsDisabledRestartedAndEnabledUnderLoad() throws Exception {
        AtomicBoolean on = new AtomicBoolean(true);
        ConcurrentLinkedQueue<Long> at = new ConcurrentLinkedQueue<>();
        reset();
        try (ProxyHarness harness = new ProxyHarness(3).withAdmin().start()) {
            int port = harness.nodes.get(0).server.getLocalPort();
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        if (request.socket().getLocalPort() == port) {
                            at.add(System.nanoTime());
                        }
                        request.reply("200 OK", "done");
                    });
            List<Thread> threads = load(harness, on, Integer.MAX_VALUE);
            Await.until("a request at n0", () -> !at.isEmpty());
            assertEquals(harness.status("POST", "/-/nodes/n0/disable"), 200);
            long disabledAt = System.nanoTime();
            int before = served.get();
            Await.until(
                    "100 more served",
                    () ->
                            System.nanoTime() - disabledAt >= 2 * DRAIN_GRACE
                                    && served.get() >= before + 100);
            assertTrue(
                    at.stream().allMatch(time -> time < disabledAt + DRAIN_GRACE),
                    "sent to a disabled endpoint");
            // Not earlier: a request on its way there during the close may have run, and fails as
            // it must.
            harness.nodes.get(0).close();
            int without = served.get();
            Await.until("100 more served without it", () -> served.get() >= without + 100);
            harness.restart(0);
            int then = at.size();
            assertEquals(harness.status("POST", "/-/nodes/n0/enable"), 200);
            Await.until("a request at n0 again", () -> at.size() > then);
            on.set(false);
            for (Thread thread : threads) {
                Await.end("the end of a client", thread);
            }
            assertEquals(failed.get(), 0);
        }
    }
}
