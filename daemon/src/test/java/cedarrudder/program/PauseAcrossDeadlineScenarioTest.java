package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses whose endpoint pauses across the deadline of the request, after a part of them. */
public class PauseAcrossDeadlineScenarioTest {

    private static final String STAYS = "/stays-for-test";
    private static final int LENGTH = 200_000;
    private static final int RESPONSES = 18;
    private static final int RETRY_MILLIS = 300;
    private static final int[] DEADLINES_MILLIS = {800, 1_250, 2_500};

    /** How the rest of a response comes after the pause. */
    private enum Rest {
        AT_ONCE(2_000, 0),
        IN_LUMPS(30_000, 500),
        IN_DRIPS(1_000, 15);

        final int pieceBytes;
        final int gapMillis;

        Rest(int pieceBytes, int gapMillis) {
            this.pieceBytes = pieceBytes;
            this.gapMillis = gapMillis;
        }
    }

    /** A response that begins before the deadline, and pauses once before or after 64 KiB. */
    private record Shape(
            ResponseFraming framing,
            int deadlineMillis,
            int beginMillis,
            int firstBytes,
            int pauseMillis,
            Rest rest) {

        static Shape draw(ResponseFraming framing, Random random) {
            int deadline = DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)];
            return new Shape(
                    framing,
                    deadline,
                    deadline - 150 - random.nextInt(500),
                    16_000 + random.nextInt(80_000),
                    300 + random.nextInt(1_200),
                    Rest.values()[random.nextInt(Rest.values().length)]);
        }

        void send(Received request) throws Exception {
            Thread.sleep(beginMillis);
            framing.sendHead(request, LENGTH);
            framing.send(request, "y".repeat(firstBytes));
            Thread.sleep(pauseMillis);
            for (int sent = firstBytes; sent < LENGTH; sent += rest.pieceBytes) {
                framing.send(request, "y".repeat(Math.min(rest.pieceBytes, LENGTH - sent)));
                Thread.sleep(rest.gapMillis);
            }
            framing.end(request);
        }

        /**
         * Returns what is wrong with the rest of a response, or nothing.
         *
         * @param client has read the head
         */
        String readBody(Client client) throws IOException {
            try {
                long letters = client.readAll().chars().filter(letter -> letter == 'y').count();
                return letters == LENGTH ? "" : this + ": ended after " + letters + " bytes\n";
            } catch (SocketException e) {
                return this + ": " + e + "\n";
            }
        }

        /** Requests the response until it begins: slow ones beside it may cause refusals. */
        String receive(ProxyHarness harness, String id) throws Exception {
            for (int i = 0; ; i++) {
                try (Client client = harness.client()) {
                    client.send(request(id + "-" + i, deadlineMillis));
                    if (client.readHead().first().equals("HTTP/1.1 200 OK")) {
                        return readBody(client);
                    }
                    Thread.sleep(RETRY_MILLIS);
                }
            }
        }
    }

    private static String request(String id, long deadlineMillis) {
        return ProxyHarness.request("order", STAYS, "x", "Connection: close")
                .replace("id-1", id)
                .replace("Deadline-Ms: 30000", "Deadline-Ms: " + deadlineMillis);
    }

    private static CompletableFuture<String> receive(ProxyHarness harness, Shape shape, String id) {
        CompletableFuture<String> result = new CompletableFuture<>();
        TestEndpoints.daemon(
                () -> {
                    try {
                        result.complete(shape.receive(harness, id));
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    /** Guards against taking a pause across the deadline, after a part, for the end. */
    @Test
    public void aLongResponseThatPausesAcrossItsDeadlineIsServedWhole() throws Exception {
        long seed = System.nanoTime();
        System.out.println("PauseAcrossDeadlineScenarioTest: seed " + seed);
        Random random = new Random(seed);
        ResponseFraming[] framings = ResponseFraming.values();
        List<Shape> shapes = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            shapes.add(Shape.draw(framings[i % framings.length], random));
        }
        try (ProxyHarness harness = new ProxyHarness(4).start()) {
            TestEndpoints.handleRequests(
                    harness,
                    request ->
                            shapes.get(Integer.parseInt(request.field("Req-Id").split("-")[0]))
                                    .send(request));
            List<CompletableFuture<String>> results = new ArrayList<>();
            for (int i = 0; i < RESPONSES; i++) {
                results.add(receive(harness, shapes.get(i), Integer.toString(i)));
            }
            StringBuilder wrong = new StringBuilder();
            for (CompletableFuture<String> result : results) {
                wrong.append(result.get(Await.LONGEST_SECONDS, TimeUnit.SECONDS));
            }
            assertEquals(wrong.toString(), "");
        }
    }

    @DataProvider
    public Object[][] framingsWithoutLength() {
        return new Object[][] {{ResponseFraming.CHUNKED}, {ResponseFraming.CLOSE}};
    }

    /** Guards against a short response that is passed on as complete long after its deadline. */
    @Test(dataProvider = "framingsWithoutLength")
    public void aShortResponseThatEndsTooLateVisiblyFails(ResponseFraming framing)
            throws Exception {
        try (ProxyHarness harness = new ProxyHarness(1).start();
                Client client = harness.client()) {
            client.send(request("late", 1_400));
            Received received = harness.nextRequest();
            TestEndpoints.daemon(
                    () -> {
                        Thread.sleep(700);
                        framing.sendHead(received, 60_000);
                        for (int sent = 0; sent < 60_000; sent += 1_000) {
                            framing.send(received, "y".repeat(1_000));
                            Thread.sleep(25);
                        }
                        framing.end(received);
                    });
            assertEquals(client.readHead().first(), "HTTP/1.1 200 OK");
            assertThrows(SocketException.class, client::readAll);
        }
    }
}
