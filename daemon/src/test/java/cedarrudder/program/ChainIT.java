package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.ProxyHarness.Client;
import cedarrudder.program.ProxyHarness.Received;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.testng.annotations.Test;

/**
 * Three tiers of the built jar, one process each, whose endpoints send requests to the next tier
 * and copy the budget fields. Counts the attempts that reach the endpoints of each tier for each
 * tree, that is for everything that one first request of a client causes.
 */
public class ChainIT {

    private static final int TIERS = 3;
    private static final int NODES = 4;

    /**
     * The number of requests that an endpoint of each tier sends to the next tier, one after
     * another.
     */
    private static final int[] REQUESTS_TO_NEXT_TIER = {2, 1, 0};

    private static final int TRIES = 3;

    /** The attempts and requests of one tree, by tier. */
    private static final class Tree {
        final AtomicIntegerArray attempts = new AtomicIntegerArray(TIERS);
        final AtomicIntegerArray requests = new AtomicIntegerArray(TIERS);

        /** Returns the number of attempts beyond the first one of each request. */
        int further() {
            int further = 0;
            for (int i = 0; i < TIERS; i++) {
                further += attempts.get(i) - requests.get(i);
            }
            return further;
        }
    }

    /**
     * The chain of tiers: for each tier the endpoints and discovery in this process, and a proxy
     * process in front of them.
     */
    private static final class Chain implements AutoCloseable {
        final List<ProxyHarness> harnesses = new ArrayList<>();
        final List<Process> processes = new ArrayList<>();
        final Map<String, Tree> trees = new ConcurrentHashMap<>();
        final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();

        Chain(boolean budgets, TestEndpoints.RequestHandler lastTier) throws Exception {
            for (int tier = 0; tier < TIERS; tier++) {
                ProxyHarness harness =
                        new ProxyHarness(NODES)
                                .with(
                                        "\"layer\": 0, \"tiers\": [\"api\"]",
                                        "\"layer\": "
                                                + tier
                                                + ", \"tiers\": [\"front\", \"core\", \"link\"]")
                                .with("\"max-attempts\": 3", "\"max-attempts\": 4");
                harnesses.add(harness);
                processes.add(serve(harness, budgets));
            }
            for (Process process : processes) {
                awaitListening(process);
            }
            for (int tier = 0; tier < TIERS; tier++) {
                int own = tier;
                TestEndpoints.handleRequests(
                        harnesses.get(tier),
                        request -> {
                            tree(request).attempts.incrementAndGet(own);
                            if (REQUESTS_TO_NEXT_TIER[own] == 0) {
                                lastTier.serve(request);
                            } else {
                                requestNextTier(own, request);
                            }
                        });
            }
        }

        private Tree tree(Received request) {
            return trees.computeIfAbsent(request.field("Test-Tree"), name -> new Tree());
        }

        private void requestNextTier(int tier, Received request) throws IOException {
            Received answer = null;
            for (int i = 0; i < REQUESTS_TO_NEXT_TIER[tier]; i++) {
                tree(request).requests.incrementAndGet(tier + 1);
                answer =
                        TestEndpoints.forward(
                                harnesses.get(tier + 1).port,
                                request,
                                TestEndpoints.copyFields(
                                        request,
                                        "Cedar-Budget",
                                        "Cedar-Path",
                                        "Test-Tree",
                                        "Req-Cost"));
                if (!answer.first().contains(" 200 ")) {
                    break;
                }
            }
            TestEndpoints.pass(request, answer, true);
        }

        /** Sends a client's first request and returns its answer. */
        Received send(Client client, String kind, int number) throws IOException {
            String name = kind + "-" + number;
            trees.computeIfAbsent(name, added -> new Tree()).requests.incrementAndGet(0);
            client.send(
                    ProxyHarness.request(kind, "/api", "", "Test-Tree: " + name, "Req-Cost: 20000")
                            .replace("id-1", name)
                            .replace("30000", "2000"));
            return client.read();
        }

        /** Returns whether the first proxy rejected a request before any endpoint received it. */
        boolean unsent(String kind, int number) {
            return trees.get(kind + "-" + number).attempts.get(0) == 0;
        }

        @Override
        public void close() throws IOException {
            for (Process process : processes) {
                process.destroyForcibly();
            }
            for (ProxyHarness harness : harnesses) {
                harness.close();
            }
            clock.shutdownNow();
        }
    }

    private static Process serve(ProxyHarness harness, boolean budgets) throws Exception {
        Path configuration = Files.createTempFile("cedarrudder", ".json");
        Files.writeString(configuration, harness.configuration());
        Path operator = Files.createTempFile("operator", ".toml");
        Files.writeString(operator, budgets ? "[budget]\ntries = " + TRIES + "\n" : "");
        ProcessBuilder builder =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-jar",
                                "daemon/target/cedarrudder.jar",
                                "serve",
                                "--operator",
                                operator.toString())
                        .redirectErrorStream(true);
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.start();
    }

    private static void awaitListening(Process process) throws IOException, InterruptedException {
        BufferedReader lines =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        Await.line(
                "the start of a proxy of the chain",
                process,
                lines,
                line -> line.contains("proxy.started"));
        // Keeps reading, so that a full pipe never blocks the proxy.
        TestEndpoints.daemon(() -> lines.lines().forEach(each -> {}));
    }

    /** The result of a run; attempts are counted where they reach endpoints. */
    private record Run(double[] multiples, int max, int served) {

        @Override
        public String toString() {
            return "attempts per first attempt "
                    + Arrays.toString(multiples)
                    + ", max further attempts of a tree "
                    + max
                    + ", served "
                    + served;
        }
    }

    private static Run run(Chain chain, int requests) throws IOException {
        int served = 0;
        try (Client client = chain.harnesses.get(0).client()) {
            for (int i = 0; i < requests; i++) {
                served += chain.send(client, "lookup", i).first().contains(" 200 ") ? 1 : 0;
            }
        }
        double[] multiples = new double[TIERS];
        double first = requests;
        int max = 0;
        for (int tier = 0; tier < TIERS; tier++) {
            for (Tree tree : chain.trees.values()) {
                multiples[tier] += tree.attempts.get(tier) / first;
                max = Math.max(max, tree.further());
            }
            first *= REQUESTS_TO_NEXT_TIER[tier];
        }
        return new Run(multiples, max, served);
    }

    /**
     * A request that fails at the last tier is retried there, then by the tier above with
     * everything below it, and so on.
     */
    @Test
    public void oneFirstRequestCausesNoMoreRetriesThanItsBudgetWhenAllAttemptsFail()
            throws Exception {
        for (boolean budgets : new boolean[] {true, false}) {
            try (Chain chain = new Chain(budgets, request -> request.reply("500 Error", ""))) {
                Run run = run(chain, 20);
                System.out.println("all fail, budgets " + budgets + ": " + run);
                assertTrue(run.max > 0 && budgets == run.max <= TRIES, run.toString());
                assertEquals(run.served, 0);
            }
        }
    }

    /**
     * One of four endpoints of the last tier answers after 400 ms, so that each tier finds its
     * answers late.
     */
    @Test
    public void attemptsAtEachTierStayWithinTheStatedMultipleWhenALastTierEndpointIsSlow()
            throws Exception {
        int requests = 80;
        for (boolean budgets : new boolean[] {true, false}) {
            Chain[] made = new Chain[1];
            try (Chain chain = new Chain(budgets, request -> answerLater(made[0], request))) {
                made[0] = chain;
                Run run = run(chain, requests);
                System.out.println("a slow endpoint, budgets " + budgets + ": " + run);
                double first = requests;
                for (int tier = 0; tier < TIERS && budgets; tier++) {
                    // The stated bound: a retry fraction of 0.2, and 5 in a window; the run takes
                    // less than three windows.
                    assertTrue(run.multiples[tier] <= 1.2 + 15 / first, run.toString());
                    first *= REQUESTS_TO_NEXT_TIER[tier];
                }
                assertTrue(!budgets || run.max <= TRIES, run.toString());
            }
        }
    }

    /**
     * Work that the last tier can't do is rejected by the first tier, lowest priority weight first,
     * and admitted again after the overload.
     */
    @Test
    public void theFirstTierShedsLoadWhileTheLastTierIsOverloadedAndNotAfterwards()
            throws Exception {
        AtomicBoolean overloaded = new AtomicBoolean(true);
        try (Chain chain =
                        new Chain(
                                true,
                                request -> {
                                    if (overloaded.get()) {
                                        request.reply("503 Full", "", "Srv-Declined: 1");
                                    } else {
                                        request.reply("200 OK", "done");
                                    }
                                });
                Client client = chain.harnesses.get(0).client()) {
            int next = 0;
            boolean orderRejected = false;
            while (!orderRejected) {
                assertTrue(++next < 5_000, "the first tier admits every request");
                // Lookups have a higher priority weight for their work than orders.
                assertEquals(
                        chain.send(client, "lookup", next).first(),
                        "HTTP/1.1 503 Service Unavailable");
                assertTrue(
                        !chain.unsent("lookup", next), "the highest priority was rejected first");
                chain.send(client, "order", next);
                orderRejected = chain.unsent("order", next);
            }
            overloaded.set(false);
            int served = 0;
            while (served < 20) {
                assertTrue(++next < 10_000, "orders are never admitted again");
                chain.send(client, "lookup", next);
                served =
                        chain.send(client, "order", next).first().contains(" 200 ")
                                ? served + 1
                                : 0;
            }
        }
    }

    private static void answerLater(Chain chain, Received request) {
        boolean slow =
                request.socket().getLocalPort()
                        == chain.harnesses.get(TIERS - 1).nodes.get(0).server.getLocalPort();
        chain.clock.schedule(
                () -> {
                    request.reply("200 OK", "done");
                    return null;
                },
                slow ? 400 : 5,
                TimeUnit.MILLISECONDS);
    }
}
