package cedarrudder.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cedarrudder.balancer.ColdFleet.Deployment;
import cedarrudder.balancer.ColdFleet.Seen;
import cedarrudder.balancer.ColdFleet.Trouble;
import cedarrudder.balancer.ColdFleet.World;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What all replicas together send to cold endpoints, beside what the standing test bears: N and two
 * roots of N and 2 requests, N being what the settings allow then. {@code -Dcold.tables=true}
 * prints docs/COLD.md's tables, in some minutes.
 */
class ColdBudgetTest {
    private static final boolean TABLES = Boolean.getBoolean("cold.tables");
    private static final int SEEDS = TABLES ? 3 : 1;

    /** Few replicas and many, and many replicas to an endpoint, each with few calls. */
    @ParameterizedTest
    @CsvSource({
        "1, 8", "5, 10", "15, 40", "20, 10", "30, 10", "30, 40", "100, 10", "100, 40", "500, 50"
    })
    void copiesTogetherStayWithinTheBound(int replicas, int endpoints) {
        double[] few = replicas < 500 ? new double[] {0, 1} : new double[] {1};
        for (double cold : TABLES ? new double[] {0, 0.5, 0.9, 1} : few) {
            play(
                    ColdFleet.FIRST,
                    replicas,
                    endpoints,
                    cold,
                    TABLES && replicas < 500
                            ? new double[] {0.1, 0.4, 0.7, 1.2}
                            : new double[] {1.2});
        }
    }

    /** Settings are other elsewhere, and so is what replicas are told. */
    @ParameterizedTest
    @CsvSource({"5, 10", "30, 10", "100, 10"})
    void soTheyDoInOtherDeployments(int replicas, int endpoints) {
        for (Deployment deployment : ColdFleet.OTHERS) {
            for (double cold : TABLES ? new double[] {0, 0.5, 1} : new double[] {0, 1}) {
                play(
                        deployment,
                        replicas,
                        endpoints,
                        cold,
                        TABLES ? new double[] {0.1, 0.4, 0.7, 1.2} : new double[] {1.2});
            }
        }
    }

    private static void play(
            Deployment deployment, int replicas, int endpoints, double cold, double[] loads) {
        World world = null;
        Seen worst = null;
        double byWork = 0;
        double served = 0;
        int worlds = 0;
        int over = 0;
        for (double load : loads) {
            for (Trouble trouble : Trouble.values()) {
                // A burst may come with the start, and after it.
                boolean burst = trouble == Trouble.BURST || trouble == Trouble.THRONG;
                // A lone replica has nobody who could get its calls.
                boolean lone =
                        replicas == 1
                                && (trouble == Trouble.SHIFT
                                        || trouble == Trouble.RESTART
                                        || trouble == Trouble.SEVEN_IN_TEN_DIE);
                for (long after = burst ? 0 : 3; after <= 3 && !lone; after += 3) {
                    World each =
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
                        Seen seen = ColdFleet.play(each, BalancerParameters.DEFAULTS, seed);
                        served += seen.served();
                        worlds++;
                        over += seen.worst() > 1 ? 1 : 0;
                        byWork = Math.max(byWork, seen.byWork());
                        if (worst == null || seen.worst() > worst.worst()) {
                            worst = seen;
                            world = each;
                        }
                        // The tables show what is over, too.
                        assertTrue(
                                seen.worst() <= 1 || TABLES, seen + ", seed " + seed + ", " + each);
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

    /** Detects a bound that nothing reaches: these replicas aren't told of the start. */
    @ParameterizedTest
    @CsvSource({"15, 40", "100, 10", "100, 40"})
    void withoutTheirGuardCopiesPushItOver(int replicas, int endpoints) {
        Seen seen =
                ColdFleet.play(
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
        System.out.println("seed 1, " + replicas + " copies that are not told: " + seen);
        assertTrue(seen.worst() > 1, seen.toString());
    }

    /**
     * The budget alone, under replicas that want nothing else than to send there: those that send
     * as soon as it lets them, and those that all wait for one another and send at once.
     */
    @ParameterizedTest
    @CsvSource({"1", "15", "100", "500"})
    void theBudgetAloneBearsCopiesThatWantNothingElse(int replicas) {
        for (double capacity : new double[] {33, 5}) {
            for (int second = 0; second <= 20; second += 5) {
                long from = second * Site.SECOND;
                long until = from + ColdFleet.SAFETY.overloadWindowNanos();
                double bound = ColdFleet.bound(ColdFleet.SAFETY, until, capacity);
                int eager = greedy(replicas, capacity, from, false);
                int atOnce = greedy(replicas, capacity, from, true);
                double allowed = ColdFleet.allowed(ColdFleet.SAFETY, until, capacity);
                System.out.printf(
                        "| %d | %.0f | %d | %.0f | %.0f | %d | %d |%n",
                        replicas, capacity, second + 3, allowed, bound, eager, atOnce);
                assertTrue(
                        eager <= bound && atOnce <= bound,
                        eager + " and " + atOnce + " of " + bound);
            }
        }
    }

    /**
     * Sends within the window from an instant on, at six tenths of the load that a warm endpoint
     * can do.
     */
    private static int greedy(int replicas, double capacity, long from, boolean atOnce) {
        SplittableRandom random = new SplittableRandom(7);
        double[] part = random.doubles(replicas, 0.1, 1).map(d -> d > 0.8 ? 4 : d).toArray();
        double sum = 0;
        List<EndpointState> servers = new ArrayList<>();
        for (double p : part) {
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
                double rate = 0.6 * capacity * part[i] / sum;
                while (servers.get(i)
                                .withinSlowStartBudget(
                                        now, rate, BalancerParameters.DEFAULTS, ColdFleet.SAFETY)
                        && (!atOnce || now > from)) {
                    servers.get(i).onAttemptSent(now, 1);
                    sent += now > from ? 1 : 0;
                }
            }
        }
        return sent;
    }
}
