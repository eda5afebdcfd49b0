package cedarrudder.lab.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/**
 * A file that can't grow any more, as on a full disk: a process whose files the system keeps under
 * a limit. Writing then fails in the middle of a line.
 */
public class FullDiskTest {

    private static final int BLOCKS = 64;

    /**
     * The process under the limit: runs the plan of {@link Fakes} into the directory of its
     * argument.
     */
    public static final class Limited {

        private Limited() {}

        /** Prints the error that ends the experiment. */
        public static void main(String[] args) throws Exception {
            Plan plan = Fakes.plan(20);
            try (ResultDirectory directory =
                    ResultDirectory.open(Path.of(args[0]), Manifest.of(plan, "code"))) {
                new Experiment(plan, Fakes::run, 2, line -> {}).run(directory);
            } catch (IOException e) {
                System.out.println(e.getMessage());
            }
        }
    }

    @Test
    public void finishedRunsOutliveAFullDisk() throws Exception {
        Path folder = Files.createTempDirectory("full");
        Process limited =
                new ProcessBuilder(
                                "sh",
                                "-c",
                                "ulimit -f " + BLOCKS + " && exec \"$@\"",
                                "sh",
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:-UsePerfData",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Limited.class.getName(),
                                folder.toString())
                        .redirectErrorStream(true)
                        .start();
        String said = Await.all("its end", limited);
        assertEquals(Await.end("its end", limited), 0, said);
        assertTrue(said.contains("results.jsonl can't be written: "), said);

        Plan plan = Fakes.plan(20);
        String text = Files.readString(folder.resolve("results.jsonl"));
        assertTrue(text.endsWith("\n"), "the torn line is taken away");
        int kept = ResultDirectory.read(folder).runs().size();
        assertEquals(kept, text.lines().count());
        assertTrue(kept > 0 && kept < plan.jobs().size(), kept + " runs");
        try (ResultDirectory directory = ResultDirectory.open(folder, Manifest.of(plan, "code"))) {
            Experiment.End end = new Experiment(plan, Fakes::run, 2, line -> {}).run(directory);
            assertEquals(end.finished(), plan.jobs().size());
        }
        assertTrue(Files.readString(folder.resolve("results.jsonl")).startsWith(text));
        for (String name : List.of("costs.jsonl", "experiment.json", "lock", "results.jsonl", "")) {
            Files.delete(folder.resolve(name));
        }
    }
}
