package cedarrudder.balancer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.RulesWorld.Fault;
import java.util.Arrays;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The real driver, module and overlay of endpoints by hand, step by step beside the model of the
 * rules.
 */
public class RulesTest {

    private static final int RPCS = 400;
    private static final int SEEDS = 150;

    /** Seeds in which a part made wrong must be caught once. */
    private static final int SEEDS_TO_CATCH = 60;

    /**
     * Plays a seed; what fails names the seed, and the number of events that are needed for it to
     * fail.
     */
    private static RulesWorld play(long seed, Fault fault) {
        RulesWorld world = new RulesWorld(seed, fault);
        try {
            world.run(RPCS);
        } catch (AssertionError e) {
            // A run is a function of its seed, and ends at the first event that breaks a rule: no
            // shorter
            // prefix of it fails.
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

    /** Detects any rule broken by a history that is legal but odd. */
    @Test(dataProvider = "seeds")
    public void theRulesHoldWhateverHappens(long seed) {
        RulesWorld world = play(seed, Fault.NONE);
        assertTrue(world.served() > RPCS / 8, "served " + world.served());
    }

    /** Detects decisions that depend on anything but the events. */
    @Test
    public void theSameEventsMakeTheSameActions() {
        for (long seed = 1; seed <= 3; seed++) {
            assertEquals(play(seed, Fault.NONE).transcript(), play(seed, Fault.NONE).transcript());
        }
    }

    @DataProvider
    public Object[][] faults() {
        return Arrays.stream(Fault.values())
                .filter(f -> f != Fault.NONE)
                .map(f -> new Object[] {f})
                .toArray(Object[][]::new);
    }

    /** Detects a model that can't fail: each rule is broken on purpose, and must be named. */
    @Test(dataProvider = "faults")
    public void aPartMadeWrongIsCaught(Fault fault) {
        String said = "nothing";
        for (long seed = 1; seed <= SEEDS_TO_CATCH && !said.contains(fault.rule); seed++) {
            try {
                play(seed, fault);
            } catch (AssertionError e) {
                said = e.getMessage();
            }
        }
        assertTrue(said.contains(fault.rule), fault + ": " + said);
    }
}
