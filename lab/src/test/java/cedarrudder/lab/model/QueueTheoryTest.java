package cedarrudder.lab.model;

import static org.testng.Assert.assertEquals;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario.Spread;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A node on its own against queueing theory, by what it holds on average. */
public class QueueTheoryTest {

    private static final double SECONDS = 6000;

    /** Of the mean, for this long a run: its standard error is about 2 %. */
    private static final double TOLERANCE = 0.05;

    @DataProvider
    public Object[][] queues() {
        double rho = 0.7;
        return new Object[][] {
            // One at a time, in order: Pollaczek and Khinchine, L = rho + rho^2 (1 + cv^2) / (2 (1
            // - rho)).
            {Spread.EXPONENTIAL, 0, 1, rho, rho + rho * rho / (1 - rho)},
            {Spread.FIXED, 0, 1, rho, rho + rho * rho / (2 * (1 - rho))},
            {Spread.LOGNORMAL, 1.5, 1, rho, rho + rho * rho * (1 + 1.5 * 1.5) / (2 * (1 - rho))},
            // All at once, sharing the core: L = rho / (1 - rho), whatever the spread.
            {Spread.FIXED, 0, 5000, rho, rho / (1 - rho)},
            {Spread.LOGNORMAL, 1.5, 5000, rho, rho / (1 - rho)},
        };
    }

    @Test(dataProvider = "queues")
    public void holdsAsManyAsTheorySays(
            Spread spread, double cv, int slots, double rho, double expected)
            throws InterruptedException {
        Scenarios site = new Scenarios();
        site.nodes = 1;
        site.seconds = SECONDS;
        site.perSecond = 100 * rho;
        site.work = 10 * Scenarios.MS;
        site.spread = spread;
        site.cv = cv;
        site.slots = slots;
        site.queue = 5000;
        site.handshakeWork = 0;
        site.connections = 1e9;
        long deadline = 100 * Scenarios.SECOND;
        site.classes = List.of(site.kind(Idempotency.UNSAFE, deadline, deadline));
        long seed = 3;
        RunResult result =
                Model.run(
                                site.make(),
                                seed,
                                Policies.of(
                                        "first",
                                        (settings, random, actions) -> new Policies.First(actions)),
                                "v",
                                new NullTrace(),
                                Guard.usual())
                        .result();
        assertEquals(result.finding(), "");
        // What follows the last arrival is empty but counts as time.
        double held = result.nodes().get(0).meanHeld() * (SECONDS + 101) / SECONDS;
        assertEquals(held, expected, TOLERANCE * expected, "seed " + seed);
        assertEquals(result.nodes().get(0).busy() * (SECONDS + 101) / SECONDS, rho, 0.02 * rho);
    }
}
