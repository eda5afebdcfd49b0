package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import cedarrudder.program.World.Caller;
import cedarrudder.program.World.Received;
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
    private static final int[] CALLS = {2, 1, 0};

    private static final int TRIES = 3;

    /** The attempts and requests of one tree, by tier. */
    private static final class Tree {
        final AtomicIntegerArray attempts = new AtomicIntegerArray(TIERS);
        final AtomicIntegerArray calls = new AtomicIntegerArray(TIERS);

        /** Returns the number of attempts beyond the first one of each request. */
        int further() {
            int further = 0;
            for (int i = 0; i < TIERS; i++) {
                further += attempts.get(i) - calls.get(i);
            }
            return further;
        }
    }

    /**
     * The chain of tiers: for each tier the endpoints and discovery in this process, and a proxy
     * process in front of them.
     */
    private static final class Chain implements AutoCloseable {
        final List<World> worlds = new ArrayList<>();
        final List<Process> processes = new ArrayList<>();
        final Map<String, Tree> trees = new ConcurrentHashMap<>();
        final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();

        Chain(boolean budgets, Nodes.Node lastTier) throws Exception {
            for (int tier = 0; tier < TIERS; tier++) {
                World world =
                        new World(NODES)
                                .with(
                                        "\"layer\": 0, \"tiers\": [\"api\"]",
                                        "\"layer\": "
                                                + tier
                                                + ", \"tiers\": [\"front\", \"core\", \"link\"]")
                                .with("\"max-attempts\": 3", "\"max-attempts\": 4");
                worlds.add(world);
                processes.add(serve(world, budgets));
            }
            for (Process process : processes) {
                awaitListening(process);
            }
            for (int tier = 0; tier < TIERS; tier++) {
                int own = tier;
                Nodes.play(
                        worlds.get(tier),
                        call -> {
                            tree(call).attempts.incrementAndGet(own);
                            if (CALLS[own] == 0) {
                                lastTier.serve(call);
                            } else {
                                callDown(own, call);
                            }
                        });
            }
        }

        private Tree tree(Received call) {
            return trees.computeIfAbsent(call.field("Test-Tree"), name -> new Tree());
        }

        private void callDown(int tier, Received call) throws IOException {
            Received answer = null;
            for (int i = 0; i < CALLS[tier]; i++) {
                tree(call).calls.incrementAndGet(tier + 1);
                answer =
                        Nodes.call(
                                worlds.get(tier + 1).port,
                                call,
                                Nodes.copied(
                                        call,
                                        "Cedar-Budget",
                                        "Cedar-Path",
                                        "Test-Tree",
                                        "Req-Cost"));
                if (!answer.first().contains(" 200 ")) {
                    break;
                }
            }
            Nodes.pass(call, answer, true);
        }

        /** Sends a client's first request and returns its answer. */
        Received ask(Caller caller, String kind, int number) throws IOException {
            String name = kind + "-" + number;
            trees.computeIfAbsent(name, added -> new Tree()).calls.incrementAndGet(0);
            caller.send(
                    World.request(kind, "/api", "", "Test-Tree: " + name, "Req-Cost: 20000")
                            .replace("id-1", name)
                            .replace("30000", "2000"));
            return caller.read();
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
            for (World world : worlds) {
                world.close();
            }
            clock.shutdownNow();
        }
    }

    private static Process serve(World world, boolean budgets) throws Exception {
        Path configuration = Files.createTempFile("cedarrudder", ".json");
        Files.writeString(configuration, world.configuration());
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
        Nodes.daemon(() -> lines.lines().forEach(each -> {}));
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
        try (Caller caller = chain.worlds.get(0).caller()) {
            for (int i = 0; i < requests; i++) {
                served += chain.ask(caller, "lookup", i).first().contains(" 200 ") ? 1 : 0;
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
            first *= CALLS[tier];
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
            try (Chain chain = new Chain(budgets, call -> call.reply("500 Error", ""))) {
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
            try (Chain chain = new Chain(budgets, call -> answerLater(made[0], call))) {
                made[0] = chain;
                Run run = run(chain, requests);
                System.out.println("a slow endpoint, budgets " + budgets + ": " + run);
                double first = requests;
                for (int tier = 0; tier < TIERS && budgets; tier++) {
                    // The stated bound: a retry fraction of 0.2, and 5 in a window; the run takes
                    // less than three windows.
                    assertTrue(run.multiples[tier] <= 1.2 + 15 / first, run.toString());
                    first *= CALLS[tier];
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
                                call -> {
                                    if (overloaded.get()) {
                                        call.reply("503 Full", "", "Srv-Declined: 1");
                                    } else {
                                        call.reply("200 OK", "done");
                                    }
                                });
                Caller caller = chain.worlds.get(0).caller()) {
            int next = 0;
            boolean orderRejected = false;
            while (!orderRejected) {
                assertTrue(++next < 5_000, "the first tier admits every request");
                // Lookups have a higher priority weight for their work than orders.
                assertEquals(
                        chain.ask(caller, "lookup", next).first(),
                        "HTTP/1.1 503 Service Unavailable");
                assertTrue(
                        !chain.unsent("lookup", next), "the highest priority was rejected first");
                chain.ask(caller, "order", next);
                orderRejected = chain.unsent("order", next);
            }
            overloaded.set(false);
            int served = 0;
            while (served < 20) {
                assertTrue(++next < 10_000, "orders are never admitted again");
                chain.ask(caller, "lookup", next);
                served =
                        chain.ask(caller, "order", next).first().contains(" 200 ") ? served + 1 : 0;
            }
        }
    }

    private static void answerLater(Chain chain, Received call) {
        boolean slow =
                call.socket().getLocalPort()
                        == chain.worlds.get(TIERS - 1).nodes.get(0).server.getLocalPort();
        chain.clock.schedule(
                () -> {
                    call.reply("200 OK", "done");
                    return null;
                },
                slow ? 400 : 5,
                TimeUnit.MILLISECONDS);
    }
}
