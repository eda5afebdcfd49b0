package cedarrudder.program;

import static org.testng.Assert.assertEquals;

import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Requests whose id comes again at another process of the same proxy. */
public class RepeatedIdIT {

    /** Enough new connections that the kernel gives some to either process. */
    private static final int REPEATS = 16;

    private static String order() {
        return ProxyHarness.request("order", "/api", "x").replace("id-1", "repeated");
    }

    private static void assertNotRunAgain(ProxyHarness harness) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        TestEndpoints.handleRequests(
                harness,
                request -> {
                    runs.incrementAndGet();
                    request.reply("200 OK", "again");
                });
        for (int i = 0; i < REPEATS; i++) {
            try (Client client = harness.client()) {
                Received answer = client.send(order()).read();
                assertEquals(answer.first(), "HTTP/1.1 502 Bad Gateway");
            }
        }
        assertEquals(runs.get(), 0);
    }

    /** Guards against an id that runs at both processes of an upgrade. */
    @Test
    public void anIdThatRanAtTheOldProcessDoesNotRunAtTheNewOne() throws Exception {
        Path state = Files.createTempDirectory("repeated");
        try (ProxyHarness harness = new ProxyHarness(2);
                ProxyUnderTest first = new ProxyUnderTest(harness, state)) {
            TestEndpoints.serveFullList(harness);
            first.awaitLine("proxy.started");
            Client leaves = harness.client();
            leaves.send(order());
            harness.nextRequest();
            try (ProxyUnderTest second = new ProxyUnderTest(harness, state)) {
                second.awaitReady();
                leaves.close();
                first.awaitMetric("open_requests", 0);
                assertNotRunAgain(harness);
            }
        }
    }

    /** Guards against an id that runs again after its process was killed. */
    @Test
    public void anIdThatRanAtAKilledProcessDoesNotRunAtTheNextOne() throws Exception {
        Path state = Files.createTempDirectory("repeated");
        try (ProxyHarness harness = new ProxyHarness(2)) {
            TestEndpoints.serveFullList(harness);
            try (ProxyUnderTest first = new ProxyUnderTest(harness, state)) {
                first.awaitReady();
                try (Client loses = harness.client()) {
                    loses.send(order());
                    harness.nextRequest();
                    first.kill();
                }
            }
            try (ProxyUnderTest second = new ProxyUnderTest(harness, state)) {
                second.awaitReady();
                assertNotRunAgain(harness);
            }
        }
    }
}
