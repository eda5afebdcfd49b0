package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.ColdFleet.Deployment;
import cedarrudder.balancer.ColdFleet.Observation;
import cedarrudder.balancer.ColdFleet.Trouble;
import cedarrudder.balancer.ColdFleet.World;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Compares what all replicas together send to cold endpoints with the bound of the standing test: N
 * + 2 sqrt(N) + 2 requests, N being what the settings allow at that time. {@code
 * -Dcold.tables=true} prints the tables of docs/COLD.md, which takes some minutes.
 */
class ColdBudgetTest {
    private static final boolean PRINT_TABLES = Boolean.getBoolean("cold.tables");
    private static final int SEEDS = PRINT_TABLES ? 3 : 1;

    /** Few and many replicas, and many replicas per endpoint with few requests each. */
    @ParameterizedTest
    @CsvSource({
        "1, 8", "5, 10", "15, 40", "20, 10", "30, 10", "30, 40", "100, 10", "100, 40", "500, 50"
    })
    void replicasTogetherStayWithinTheBound(int replicas, int endpoints) {
        double[] few = replicas < 500 ? new double[] {0, 1} : new double[] {1};
        for (double cold : PRINT_TABLES ? new double[] {0, 0.5, 0.9, 1} : few) {
            runScenarios(
                    ColdFleet.FIRST,
                    replicas,
                    endpoints,
                    cold,
                    PRINT_TABLES && replicas < 500
                            ? new double[] {0.1, 0.4, 0.7, 1.2}
                            : new double[] {1.2});
        }
    }

    /** Other settings, and replicas that are given other information. */
    @ParameterizedTest
    @CsvSource({"5, 10", "30, 10", "100, 10"})
    void replicasStayWithinTheBoundInOtherDeployments(int replicas, int endpoints) {
        for (Deployment deployment : ColdFleet.OTHERS) {
            for (double cold : PRINT_TABLES ? new double[] {0, 0.5, 1} : new double[] {0, 1}) {
                runScenarios(
                        deployment,
                        replicas,
                        endpoints,
                        cold,
                        PRINT_TABLES ? new double[] {0.1, 0.4, 0.7, 1.2} : new double[] {1.2});
            }
        }
    }

    private static void runScenarios(
            Deployment deployment, int replicas, int endpoints, double cold, double[] loads) {
        World world = null;
        Observation worst = null;
        double byWork = 0;
        double served = 0;
        int worlds = 0;
        int over = 0;
        for (double load : loads) {
            for (Trouble trouble : Trouble.values()) {
                // A burst may arrive with the start, and after it.
                boolean burst = trouble == Trouble.BURST || trouble == Trouble.THRONG;
                // There is no other replica that could receive its requests.
                boolean alone =
                        replicas == 1
                                && (trouble == Trouble.SHIFT
                                        || trouble == Trouble.RESTART
                                        || trouble == Trouble.SEVEN_IN_TEN_DIE);
                for (long after = burst ? 0 : 3; after <= 3 && !alone; after += 3) {
                    World scenario =
                            new World(
                                    replicas,
                                    endpoints,
                                    Math.max(1, (int) (cold * endpoints)),
                                    5,
                                    load,
                                    deployment,
                                    trouble,
                                    after * Site.SECOND,
                                    true);
                    for (long seed = 1; seed <= SEEDS; seed++) {
                        Observation observed =
                                ColdFleet.run(scenario, BalancerParameters.DEFAULTS, seed);
                        served += observed.served();
                        worlds++;
                        over += observed.worst() > 1 ? 1 : 0;
                        byWork = Math.max(byWork, observed.byWork());
                        if (worst == null || observed.worst() > worst.worst()) {
                            worst = observed;
                            world = scenario;
                        }
                        // The tables include the scenarios that exceed the bound.
                        assertTrue(
                                observed.worst() <= 1 || PRINT_TABLES,
                                observed + ", seed " + seed + ", " + scenario);
                    }
                }
            }
        }
        System.out.printf(
                "| %s | %d, %d | %s | %.2f | %d of %d | %.2f | %.3f | seeds 1 to %d; %s "
                        + "at load %s, %s%n",
                deployment,
                replicas,
                endpoints,
                cold,
                worst.worst(),
                over,
                worlds,
                byWork,
                served / worlds,
                SEEDS,
                worst,
                world.load(),
                world.trouble());
    }

    /** The bound must be reachable: these replicas are not informed of the cold start. */
    @ParameterizedTest
    @CsvSource({"15, 40", "100, 10", "100, 40"})
    void replicasWithoutTheBudgetExceedTheBound(int replicas, int endpoints) {
        Observation observed =
                ColdFleet.run(
                        new World(
                                replicas,
                                endpoints,
                                endpoints / 2,
                                5,
                                0.7,
                                ColdFleet.FIRST,
                                Trouble.BURST,
                                3 * Site.SECOND,
                                false),
                        BalancerParameters.DEFAULTS,
                        1);
        System.out.println("seed 1, " + replicas + " replicas that are not informed: " + observed);
        assertTrue(observed.worst() > 1, observed.toString());
    }

    /**
     * Tests the budget alone, with replicas that send all that it allows: either as soon as it
     * allows a request, or all at the same time after waiting.
     */
    @ParameterizedTest
    @CsvSource({"1", "15", "100", "500"})
    void budgetAloneLimitsReplicasThatSendAllTheyMay(int replicas) {
        for (double capacity : new double[] {33, 5}) {
            for (int second = 0; second <= 20; second += 5) {
                long from = second * Site.SECOND;
                long until = from + ColdFleet.SAFETY.overloadWindowNanos();
                double bound = ColdFleet.bound(ColdFleet.SAFETY, until, capacity);
                int immediate = greedy(replicas, capacity, from, false);
                int waiting = greedy(replicas, capacity, from, true);
                double allowed = ColdFleet.allowed(ColdFleet.SAFETY, until, capacity);
                System.out.printf(
                        "| %d | %.0f | %d | %.0f | %.0f | %d | %d |%n",
                        replicas, capacity, second + 3, allowed, bound, immediate, waiting);
                assertTrue(
                        immediate <= bound && waiting <= bound,
                        immediate + " and " + waiting + " sent, allowed: " + bound);
            }
        }
    }

    /**
     * Returns the number of requests sent within the window that starts at an instant, at six
     * tenths of the load that a warm endpoint can serve.
     */
    private static int greedy(int replicas, double capacity, long from, boolean waiting) {
        SplittableRandom random = new SplittableRandom(7);
        double[] rates = random.doubles(replicas, 0.1, 1).map(d -> d > 0.8 ? 4 : d).toArray();
        double sum = 0;
        List<EndpointState> servers = new ArrayList<>();
        for (double p : rates) {
            sum += p;
            servers.add(
                    new EndpointState(
                            Site.endpoint(1, 0, 0, LoadBalancer.EndpointStatus.READY, 1),
                            1,
                            4,
                            random.nextDouble()));
        }
        int sent = 0;
        for (long now = 1;
                now <= from + ColdFleet.SAFETY.overloadWindowNanos();
                now += 20 * Site.MS) {
            for (int i = 0; i < replicas; i++) {
                double rate = 0.6 * capacity * rates[i] / sum;
                while (servers.get(i)
                                .withinSlowStartBudget(
                                        now, rate, BalancerParameters.DEFAULTS, ColdFleet.SAFETY)
                        && (!waiting || now > from)) {
                    servers.get(i).onAttemptSent(now, 1);
                    sent += now > from ? 1 : 0;
                }
            }
        }
        return sent;
    }
}
