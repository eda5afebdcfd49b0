package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.RulesWorld.Fault;
import java.util.Arrays;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the real request forwarder, balancer and admin overrides step by step against the model of
 * the rules.
 */
public class RulesTest {

    private static final int REQUESTS = 400;
    private static final int SEEDS = 150;

    /** Number of seeds within which an injected fault must be caught at least once. */
    private static final int MAX_SEEDS_TO_CATCH = 60;

    /** Runs a seed; a failure names the seed and the number of events after which it occurs. */
    private static RulesWorld runSeed(long seed, Fault fault) {
        RulesWorld world = new RulesWorld(seed, fault);
        try {
            world.run(REQUESTS);
        } catch (AssertionError e) {
            // A run is a function of its seed and ends at the first event that breaks a rule: no
            // shorter prefix of it fails.
            throw new AssertionError(
                    "seed " + seed + ", first " + world.events() + " events: " + e.getMessage(), e);
        }
        return world;
    }

    @DataProvider
    public Object[][] seeds() {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    /** Random histories that are legal but unusual must break no rule. */
    @Test(dataProvider = "seeds")
    public void rulesHoldUnderRandomEvents(long seed) {
        RulesWorld world = runSeed(seed, Fault.NONE);
        assertTrue(world.served() > REQUESTS / 8, "served " + world.served());
    }

    /** Decisions must depend on nothing but the events. */
    @Test
    public void sameSeedGivesSameActions() {
        for (long seed = 1; seed <= 3; seed++) {
            assertEquals(
                    runSeed(seed, Fault.NONE).transcript(), runSeed(seed, Fault.NONE).transcript());
        }
    }

    @DataProvider
    public Object[][] faults() {
        return Arrays.stream(Fault.values())
                .filter(f -> f != Fault.NONE)
                .map(f -> new Object[] {f})
                .toArray(Object[][]::new);
    }

    /** The model must be able to fail: each rule is broken on purpose and must be named. */
    @Test(dataProvider = "faults")
    public void injectedFaultIsCaughtByTheModel(Fault fault) {
        String failure = "nothing";
        for (long seed = 1; seed <= MAX_SEEDS_TO_CATCH && !failure.contains(fault.rule); seed++) {
            try {
                runSeed(seed, fault);
            } catch (AssertionError e) {
                failure = e.getMessage();
            }
        }
        assertTrue(failure.contains(fault.rule), fault + ": " + failure);
    }
}
