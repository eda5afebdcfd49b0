package cedarrudder.lab.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.emulator.HostEnvironment;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Real replicas with faults between them. Bounds are so wide that a busy machine changes no
 * verdict.
 */
public class ClusterIT {

    private static final long SEED = 3;

    private static Verdict play(Script script) throws Exception {
        long before = ProcessHandle.current().descendants().count();
        Verdict verdict =
                Cluster.play(
                        script,
                        SEED,
                        HostEnvironment.of(
                                Path.of(""),
                                Files.createTempDirectory("cluster"),
                                List.of(),
                                0,
                                0));
        assertEquals(ProcessHandle.current().descendants().count(), before, "processes are left");
        return verdict;
    }

    @Test
    public void fiveCopiesKeepTheRulesThroughAShortScript() throws Exception {
        Verdict verdict = play(ScriptReader.read(Path.of("lab", "clusters", "short.toml")));
        assertTrue(verdict.good(), "seed " + SEED + ": " + verdict);
        assertTrue(verdict.deaths() > 0 && verdict.requests() > 100, verdict.toString());
    }

    /**
     * What replicas agree on, with leaders killed, stopped and replaced and a ring of one-way cuts.
     */
    @Test
    public void copiesThatAgreeKeepTheRules() throws Exception {
        Verdict verdict = play(ScriptReader.read(Path.of("lab", "clusters", "agreed.toml")));
        assertTrue(verdict.good(), "seed " + SEED + ": " + verdict);
        assertTrue(verdict.leaders() > 1 && verdict.tables() > 0, verdict.toString());
    }

    /**
     * Two processes of one number that can't see one another both speak: the judge must see that.
     */
    @Test
    public void twoVoicesOfOneNumberAreCaught() throws Exception {
        Verdict verdict =
                play(
                        new Script(
                                3,
                                1,
                                1,
                                200_000_000L,
                                2_000_000_000L,
                                1_000_000_000L,
                                List.of(),
                                List.of(),
                                "",
                                List.of(
                                        ScriptStep.of(
                                                0.1, ScriptAction.UPGRADE_APART, List.of(1)))));
        assertTrue(
                verdict.breaches().stream().anyMatch(breach -> breach.rule().equals("one voice")),
                verdict.toString());
    }
}
