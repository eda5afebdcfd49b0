package cedarrudder.draining;

import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.conventions.Golden;
import org.testng.annotations.Test;

/**
 * Simulates drains with random faults: replicas that fail, stall and join, leaders that are
 * replaced with proposals in flight, lost and duplicated reports, nodes that fail and restart.
 * Fails if more nodes are unavailable than the strictest policy allows, a drain ends while a live
 * replica has requests in flight at the node, a drain stays open past its deadline, or replicas
 * diverge.
 */
public class DrainSimulationTest {

    @Test
    public void everySimulationSatisfiesThePolicies() {
        int seeds = Integer.getInteger("drains.seeds", 150);
        int begun = 0;
        int emptied = 0;
        int returned = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            DrainSimulation simulation = new DrainSimulation(seed);
            assertNull(
                    simulation.run(60 * DrainSimulation.SECOND, 60 * DrainSimulation.SECOND),
                    "seed " + seed);
            begun += simulation.begun;
            emptied += simulation.emptied;
            returned += simulation.returned;
        }
        System.out.println(
                seeds
                        + " simulations: "
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

    /** Compares the commands and states of some simulations with those of an earlier build. */
    @Test
    public void committedCommandsAndStatesMatchEarlierBuild() {
        StringBuilder lines = new StringBuilder();
        for (long seed = 1; seed <= 20; seed++) {
            DrainSimulation simulation = new DrainSimulation(seed);
            assertNull(
                    simulation.run(60 * DrainSimulation.SECOND, 60 * DrainSimulation.SECOND),
                    "seed " + seed);
            lines.append(seed + " " + simulation.history() + "\n");
        }
        Golden.check("drain-worlds.txt", lines.toString());
    }
}
