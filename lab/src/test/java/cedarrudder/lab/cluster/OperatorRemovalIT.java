package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.emulator.HostEnvironment;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Nodes leave by drains, over real replicas, with the one that leads killed in the midst. Guards
 * against more out than the policy allows, calls to a node that leaves, a drain said done too
 * early, and calls that are lost.
 */
public class OperatorRemovalIT {

    private static final long SEED = 1;

    @Test
    public void twoOfSixNodesLeaveOneAfterTheOther() throws Exception {
        Script script = ScriptReader.read(Path.of("lab", "clusters", "drains-short.toml"));
        Verdict verdict =
                Cluster.play(
                        script,
                        SEED,
                        HostEnvironment.of(
                                Path.of(""),
                                Files.createTempDirectory("removal"),
                                List.of(),
                                0,
                                0));
        assertTrue(verdict.good(), "seed " + SEED + ": " + verdict);
        assertEquals(verdict.service().removals(), 1, verdict.toString());
        assertTrue(verdict.leaders() > 1, verdict.toString());
    }
}
