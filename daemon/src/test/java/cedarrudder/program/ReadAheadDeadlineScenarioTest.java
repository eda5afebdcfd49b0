package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.program.ProxyHarness.Client;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import org.testng.annotations.Test;

/** A client whose requests wait in the sockets, since more are not read ahead. */
public class ReadAheadDeadlineScenarioTest {

    private static final int DEADLINE_MILLIS = 1_500;
    private static final int FIRST_MILLIS = 1_200;
    private static final int WORK_MILLIS = 20;

    /** A final answer that comes later than this after its deadline is lost. */
    private static final int LATE_MILLIS = 500;

    /** Together more than is read ahead. */
    private static final int REQUESTS = 1_200;

    private static final int BODY_BYTES = 3_000;

    private static String request(int number) {
        return ProxyHarness.request(
                        "order",
                        number == 0 ? "/first" : "/api",
                        number == 0 ? "" : "x".repeat(BODY_BYTES))
                .replace("id-1", "ahead-" + number)
                .replace("30000", Integer.toString(DEADLINE_MILLIS));
    }

    /** Guards against an answer that is late since the one in front of it may take longer. */
    @Test
    public void aRequestBehindOneWithALaterDeadlineIsAnsweredByItsOwn() throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(
                    ProxyHarness.request("order", "/stays-for-test", "").replace("30000", "3000")
                            + ProxyHarness.request("order", "/api", "").replace("30000", "900"));
            long sentAt = System.nanoTime();
            client.read();
            client.read();
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            assertTrue(millis <= 900 + LATE_MILLIS, millis + " ms");
        }
    }

    /** Guards against deadlines that count from when a request was read, not from its last byte. */
    @Test
    public void requestsThatWaitUnreadAreAnsweredByTheirDeadline() throws Exception {
        AtomicLongArray sentAt = new AtomicLongArray(REQUESTS);
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            TestEndpoints.handleRequests(
                    harness,
                    received -> {
                        boolean first = received.first().contains("/first");
                        Thread.sleep(first ? FIRST_MILLIS : WORK_MILLIS);
                        received.reply("200 OK", "done");
                    });
            TestEndpoints.daemon(
                    () -> {
                        for (int i = 0; i < REQUESTS; i++) {
                            client.send(request(i));
                            sentAt.set(i, System.nanoTime());
                        }
                    });
            int late = 0;
            long latest = 0;
            for (int i = 0; i < REQUESTS; i++) {
                assertTrue(client.read().first().startsWith("HTTP/1.1 "), "answer " + i);
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt.get(i));
                latest = Math.max(latest, millis);
                late += millis > DEADLINE_MILLIS + LATE_MILLIS ? 1 : 0;
            }
            assertEquals(late, 0, "late answers, the latest after " + latest + " ms");
        }
    }
}
