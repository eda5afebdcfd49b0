package cedarrudder.program;

import static org.testng.Assert.assertEquals;

import cedarrudder.program.PipeliningClient.End;
import cedarrudder.program.PipeliningClient.Plan;
import cedarrudder.program.ProxyHarness.Received;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Clients that leave with many requests unread, beside others of the same shapes that stay, drawn
 * from a seed. The test judges by what clients and endpoints saw.
 *
 * <p>A long run is started by hand: {@code mvn -B verify -pl daemon -am -Dit.test=ClientDepartureIT
 * -Dfailsafe.failIfNoSpecifiedTests=false -Ddeparture.seeds=50 -Ddeparture.first=1}.
 */
public class ClientDepartureIT {

    private static final int SEEDS = Integer.getInteger("departure.seeds", 4);
    private static final long FIRST_SEED = Long.getLong("departure.first", 1);
    private static final int CROWD = 100;

    /** About as many as the descriptors of the example's configuration allow. */
    private static final int LARGE_CROWD = 450;

    /** The time after its client's close within which an attempt may still begin. */
    private static final long MAX_BEGIN_AFTER_CLOSE_NANOS = 100_000_000L;

    /** Longer than the longest first request, behind which further attempts might begin. */
    private static final int SETTLE_MILLIS = 1_000;

    /** Up to this many bytes behind an open request, none of a client that stays is refused. */
    private static final int NEVER_REFUSED_BYTES = 48_000;

    private static final int MAX_START_GAP_MILLIS = 40;
    private static final int ENDPOINTS = 12;

    /** A request whose attempt began at an endpoint. */
    private record Begin(String id, long at) {}

    /** A run of many clients against one proxy. */
    private static final class Round {
        final ProxyHarness harness = new ProxyHarness(ENDPOINTS);
        final List<PipeliningClient> clients = new ArrayList<>();
        final List<Begin> begins = new ArrayList<>();
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        final Random random;

        /** Whether so many clients start at once that admission may refuse some. */
        final boolean isCrowd;

        Round(long seed, int clients, boolean upgrade) throws Exception {
            isCrowd = clients >= CROWD;
            random = new Random(Objects.hash(seed, clients, upgrade));
            withoutOtherRefusals();
            harness.onHead = this::onBegin;
            TestEndpoints.handleRequests(harness, this::serve);
            TestEndpoints.serveFullList(harness);
        }

        /** Sets limits by which slow first requests, or a slow connect, cause no refusal. */
        private void withoutOtherRefusals() {
            harness.with("\"goal-time-ns\": 300000000", "\"goal-time-ns\": 6000000000")
                    .with("\"give-up-ns\": 1000000000", "\"give-up-ns\": 6000000000")
                    .with("\"give-up-ns\": 3000000000", "\"give-up-ns\": 6000000000")
                    .with("\"dial-timeout-ns\": 120000000", "\"dial-timeout-ns\": 2000000000");
        }

        private boolean hasBegun(String id) {
            synchronized (begins) {
                return begins.stream().anyMatch(begin -> begin.id.equals(id));
            }
        }

        private void onBegin(Received head) {
            long now = System.nanoTime();
            if (head.field("Req-Id") != null) {
                synchronized (begins) {
                    begins.add(new Begin(head.field("Req-Id"), now));
                }
            }
        }

        private void serve(Received request) throws Exception {
            int run = runs.merge(request.field("Req-Id"), 1, Integer::sum);
            String path = request.first().split(" ")[1];
            if (!path.startsWith(PipeliningClient.FIRST_PATH)) {
                request.reply("200 OK", "done");
                return;
            }
            boolean declined = path.endsWith(PipeliningClient.DECLINED) && run == 1;
            Thread.sleep(Integer.parseInt(path.replaceAll("\\D", "")));
            request.reply(
                    declined ? "503 Busy" : "200 OK", "", declined ? "Srv-Declined: 1" : "Any: 1");
        }

        void connect(int count) throws Exception {
            for (int i = 0; i < count; i++) {
                End end = End.values()[random.nextInt(End.values().length)];
                Plan plan = Plan.draw(random, end);
                clients.add(new PipeliningClient(harness, "c" + i, plan, this::hasBegun));
            }
        }

        /** Starts all clients within a time, and returns once all have ended. */
        void play(int millis) throws Exception {
            List<Thread> threads = new ArrayList<>();
            for (PipeliningClient client : clients) {
                threads.add(TestEndpoints.daemon(client::run));
                Thread.sleep(Math.min(MAX_START_GAP_MILLIS, millis / clients.size()));
            }
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(60));
            }
            Thread.sleep(SETTLE_MILLIS);
        }

        List<String> problems() {
            List<String> problems = new ArrayList<>();
            for (PipeliningClient client : clients) {
                problems.addAll(problems(client));
            }
            return problems;
        }

        private List<String> problems(PipeliningClient client) {
            List<String> problems = new ArrayList<>();
            synchronized (begins) {
                for (Begin begin : begins) {
                    long late = begin.at - client.leftAt();
                    boolean repeated = client.plan.repeats() && begin.id.endsWith("-1");
                    if (client.sent(begin.id) && !repeated && late > MAX_BEGIN_AFTER_CLOSE_NANOS) {
                        problems.add(
                                begin.id + " begun " + late / 1_000_000 + " ms late " + client);
                    }
                }
            }
            runs.forEach(
                    (id, times) -> {
                        if (client.sent(id) && !id.endsWith("-first") && times > 1) {
                            problems.add(id + " ran " + times + " times " + client);
                        }
                    });
            boolean mayBeRefused = isCrowd || client.plan.bytes() > NEVER_REFUSED_BYTES;
            if (!mayBeRefused && client.count("503") > 0) {
                problems.add(client.count("503") + " refused " + client);
            }
            if (client.count("closed") > 0) {
                problems.add("closed on " + client);
            }
            return problems;
        }

        /** Returns the share of refused requests of the clients that stayed, by size. */
        String refused() {
            Map<String, long[]> bySize = new TreeMap<>();
            for (PipeliningClient client : clients) {
                int bytes = client.plan.bytes();
                String size = bytes <= 32_768 ? "to 32 KiB" : bytes <= 48_000 ? "to 48 kB" : "over";
                long[] counts =
                        bySize.computeIfAbsent(client.plan.shape() + " " + size, s -> new long[2]);
                counts[0] += client.count("503");
                counts[1] += client.plan.end() == End.STAYS ? client.plan.requests() : 0;
            }
            StringBuilder text = new StringBuilder();
            bySize.forEach((size, c) -> text.append("; ").append(size + " " + c[0] + "/" + c[1]));
            return text.toString();
        }
    }

    /** The number of clients, the time within which they start, and whether it is an upgrade. */
    @DataProvider
    public Object[][] rounds() {
        return new Object[][] {{40, 1_500, false}, {CROWD, 300, false}, {40, 300, true}};
    }

    /** Guards against requests sent on after their client left, and ids that run twice. */
    @Test(dataProvider = "rounds")
    public void nothingIsSentForAClientThatLeftAndNoneThatStaysIsRefused(
            int clients, int withinMillis, boolean upgrade) throws Exception {
        assertNoProblems(clients, withinMillis, upgrade);
    }

    /** Guards against ids that run twice since others replace them in a memory that is bounded. */
    @Test
    public void nothingIsSentForAClientOfALargeCrowdThatLeft() throws Exception {
        assertNoProblems(LARGE_CROWD, 300, false);
    }

    private static void assertNoProblems(int clients, int withinMillis, boolean upgrade)
            throws Exception {
        List<String> problems = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Round round = new Round(seed, clients, upgrade);
            try (ProxyHarness harness = round.harness) {
                play(round, harness, clients, withinMillis, upgrade);
            }
            List<String> found = round.problems();
            System.out.println(
                    "ClientDepartureIT: seed "
                            + seed
                            + ", "
                            + clients
                            + " clients, upgrade "
                            + upgrade
                            + ", "
                            + found.size()
                            + " problems"
                            + round.refused());
            found.forEach(problem -> System.out.println("  " + problem));
            problems.addAll(found);
        }
        assertEquals(problems, List.of());
    }

    private static void play(
            Round round, ProxyHarness harness, int clients, int withinMillis, boolean upgrade)
            throws Exception {
        Path state = Files.createTempDirectory("departure");
        try (ProxyUnderTest proxy = ProxyUnderTest.startAsDeployed(harness, state)) {
            round.connect(clients);
            if (!upgrade) {
                round.play(withinMillis);
                proxy.awaitMetric("open_requests", 0);
                return;
            }
            try (ProxyUnderTest successor = ProxyUnderTest.startAsDeployed(harness, state)) {
                Thread signal = TestEndpoints.daemon(() -> signal(proxy, round.random));
                round.play(withinMillis);
                signal.join();
                successor.awaitMetric("open_requests", 0);
            }
        }
    }

    private static void signal(ProxyUnderTest proxy, Random random) throws Exception {
        Thread.sleep(random.nextInt(500));
        proxy.signal("TERM");
    }
}
