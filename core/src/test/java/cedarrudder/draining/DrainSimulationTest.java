package cedarrudder.draining;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.conventions.Golden;
import org.testng.annotations.Test;

/**
 * Random worlds: replicas that die, stall and join, leaders that are replaced with steps under way,
 * lost and doubled reports, nodes that fail and restart. Detects more out than the strictest policy
 * allows, a drain said done while a live replica has calls there, one open past its time, and
 * replicas that disagree.
 */
public class DrainSimulationTest {

    @Test
    public void everyWorldKeepsToThePolicies() {
        int seeds = Integer.getInteger("drains.seeds", 150);
        int begun = 0;
        int emptied = 0;
        int returned = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            DrainSimulation world = new DrainSimulation(seed);
            assertNull(
                    world.run(60 * DrainSimulation.SECOND, 60 * DrainSimulation.SECOND),
                    "seed " + seed);
            begun += world.begun;
            emptied += world.emptied;
            returned += world.returned;
        }
        System.out.println(
                seeds
                        + " worlds: "
                        + begun
                        + " begun, "
                        + emptied
                        + " emptied, "
                        + returned
                        + " returned");
        assertTrue(
                begun > seeds && emptied > seeds && returned > seeds / 2,
                begun + ", " + emptied + ", " + returned);
    }

    /** The commands and the states of some worlds, held against an earlier build. */
    @Test
    public void drainsAreThoseOfTheEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 20; seed++) {
            DrainSimulation world = new DrainSimulation(seed);
            assertNull(
                    world.run(60 * DrainSimulation.SECOND, 60 * DrainSimulation.SECOND),
                    "seed " + seed);
            lines.append(seed + " " + world.history() + "\n");
        }
        Golden.check("drain-worlds.txt", lines.toString());
    }
}
