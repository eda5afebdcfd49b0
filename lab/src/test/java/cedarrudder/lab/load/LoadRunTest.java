package cedarrudder.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.testng.annotations.Test;

/** The load tool against servers that do as a test says. */
public class LoadRunTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final Traffic PLAIN =
            new Traffic(
                    List.of(new Traffic.Kind("lookup", Idempotency.SAFE, 1, 20_000)), List.of());

    /** What a server answers to the request of a number, from 0; null: the connection is reset. */
    private interface Script {
        String answer(int number, List<String> head) throws InterruptedException;
    }

    private static final class Server implements AutoCloseable {
        private final ServerSocket socket =
                new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final Script script;
        final AtomicInteger requests = new AtomicInteger();
        final AtomicInteger connections = new AtomicInteger();

        Server(Script script) throws IOException {
            this.script = script;
            start(
                    () -> {
                        while (true) {
                            Socket caller = socket.accept();
                            connections.incrementAndGet();
                            start(() -> serve(caller));
                        }
                    });
        }

        /** Something that ends when the other side does. */
        private interface Serving {
            void run() throws IOException, InterruptedException;
        }

        private static void start(Serving serving) {
            Thread thread =
                    new Thread(
                            () -> {
                                try {
                                    serving.run();
                                } catch (IOException | InterruptedException e) {
                                    // closed
                                }
                            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket caller) throws IOException, InterruptedException {
            try (caller) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        caller.getInputStream(), StandardCharsets.ISO_8859_1));
                while (true) {
                    List<String> head = new java.util.ArrayList<>();
                    for (String line = in.readLine(); !"".equals(line); line = in.readLine()) {
                        if (line == null) {
                            return;
                        }
                        head.add(line);
                    }
                    String answer = script.answer(requests.getAndIncrement(), head);
                    if (answer == null) {
                        caller.setSoLinger(true, 0);
                        return;
                    }
                    caller.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        }

        LoadResult load(Traffic traffic, String rate, int connections, boolean fresh, Path hlog)
                throws IOException, InterruptedException {
            InetSocketAddress at =
                    new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
            Options options =
                    new Options(
                            List.of(at),
                            Rate.parse(rate),
                            0,
                            traffic,
                            false,
                            connections,
                            fresh,
                            "/api",
                            10,
                            1,
                            7,
                            1000);
            return new LoadRun(options, line -> {}).play(hlog);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * The first answers come when request 50 is there: this much those before it waited, by their
     * times.
     */
    @Test
    public void aStallCountsForAllThatItKeptWaiting() throws Exception {
        CountDownLatch there = new CountDownLatch(50);
        Path hlog = Files.createTempFile("load", ".hlog");
        try (Server server =
                new Server(
                        (number, head) -> {
                            there.countDown();
                            Await.open("request 50", there);
                            return OK;
                        })) {
            LoadResult result = server.load(PLAIN, "200@0.5", 200, false, hlog);
            assertEquals(result.intended(), 100);
            assertEquals(result.ends().get("served"), Long.valueOf(100));
            // Request i was to leave 5 (50 - i) ms before the fiftieth: 25 of them 125 ms or more.
            assertTrue(result.latency().p90() >= 120, result.toString());
            assertTrue(result.latency().max() >= 244, result.toString());
        }
        long logged = 0;
        try (HistogramLogReader reader = new HistogramLogReader(hlog.toFile())) {
            while (reader.hasNext()) {
                logged += ((Histogram) reader.nextIntervalHistogram()).getTotalCount();
            }
        }
        assertEquals(logged, 100);
    }

    /** With one connection a closed loop would see one slow request; and the rate can't be kept. */
    @Test
    public void whatCouldNotLeaveIsChargedAndTheRateWasNotKept() throws Exception {
        try (Server server =
                new Server(
                        (number, head) -> {
                            if (number == 0) {
                                Thread.sleep(
                                        1300); // at least: nothing below depends on how much more
                            }
                            return OK;
                        })) {
            LoadResult result = server.load(PLAIN, "100@1", 1, false, null);
            assertEquals(result.ends().get("served"), Long.valueOf(100));
            assertTrue(result.latency().p50() >= 750, result.toString());
            assertTrue(result.service().p50() < result.latency().p50(), result.toString());
            assertFalse(result.kept());
            assertTrue(
                    result.lines().stream().anyMatch(l -> l.contains("NOT KEPT")),
                    result.toString());
        }
    }

    @Test
    public void eachEndIsCountedAsWhatItIs() throws Exception {
        Set<String> ids = ConcurrentHashMap.newKeySet();
        try (Server server =
                new Server(
                        (number, head) -> {
                            ids.add(
                                    head.stream()
                                            .filter(l -> l.startsWith("Req-Id: "))
                                            .findFirst()
                                            .orElseThrow());
                            return switch (number % 6) {
                                case 0 -> OK;
                                case 1 ->
                                        "HTTP/1.1 503 No\r\n"
                                                + "Retry-After: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n";
                                case 2 -> "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n";
                                case 3 -> "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
                                case 4 -> "nonsense\r\n\r\n";
                                default -> null;
                            };
                        })) {
            LoadResult result = server.load(PLAIN, "300@0.2", 50, true, null);
            assertEquals(result.intended(), 60);
            assertEquals(ids.size(), 60);
            assertEquals(server.connections.get(), 60);
            assertEquals(result.ends().get("served"), Long.valueOf(10));
            assertEquals(result.ends().get("refused"), Long.valueOf(20));
            assertEquals(result.advised(), 10);
            assertEquals(result.ends().get("failed"), Long.valueOf(10));
            assertEquals(result.ends().get("garbled"), Long.valueOf(10));
            assertEquals(result.ends().get("reset"), Long.valueOf(10));
        }
    }

    @Test
    public void aRequestWithoutAnAnswerEndsAtItsDeadlineAndOneThatNeverLeftIsTold()
            throws Exception {
        Traffic brief =
                new Traffic(
                        List.of(new Traffic.Kind("order", Idempotency.KEYED, 1, 200)), List.of());
        CountDownLatch never = new CountDownLatch(1);
        try (Server server =
                new Server(
                        (number, head) -> {
                            never.await();
                            return OK;
                        })) {
            LoadResult result = server.load(brief, "100@0.1", 4, false, null);
            assertEquals(result.ends().get("no answer") + result.ends().get("unsent"), 10);
            assertTrue(result.ends().get("no answer") >= 4, result.toString());
            never.countDown();
        }
    }

    @Test
    public void noListenerIsUnreachable() throws Exception {
        Server server = new Server((number, head) -> OK);
        server.close();
        LoadResult result = server.load(PLAIN, "100@0.1", 4, false, null);
        assertEquals(result.ends().get("unreachable"), Long.valueOf(10));
    }

    @Test
    public void aRampSendsWhatItsAreaHolds() {
        Rate rate = Rate.parse("100:300@2, 300@1");
        Schedule schedule = new Schedule(rate, null);
        int first = 0;
        int all = 0;
        long before = 0;
        for (long at = schedule.next(); at >= 0; at = schedule.next()) {
            assertTrue(at >= before);
            before = at;
            first += at < 1_000_000_000L ? 1 : 0;
            all++;
        }
        assertEquals(all, 700);
        assertEquals(first, 149);
    }
}
