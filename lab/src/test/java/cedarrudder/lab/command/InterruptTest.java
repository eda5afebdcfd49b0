package cedarrudder.lab.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** An experiment whose process is told to end keeps what it has, and says how to go on. */
public class InterruptTest {

    private static final int TERMINATED = 143;

    @Test
    public void whatIsFinishedOutlivesTheEndOfTheProcess() throws Exception {
        Path folder = Files.createTempDirectory("interrupt");
        Path plan =
                Files.writeString(
                        folder.resolve("plan.toml"),
                        """
                        about = "Far more runs than will be made."
                        seeds = "1..10000"
                        [[scenario]]
                        file = "%s"
                        change = { run.length_s = 1 }
                        [[variant]]
                        policy = "random"
                        """
                                .formatted(
                                        Path.of("lab", "scenarios", "diliman.toml")
                                                .toAbsolutePath()));
        Path out = folder.resolve("out");
        Process lab =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Lab.class.getName(),
                                "experiment",
                                plan.toString(),
                                "--out",
                                out.toString())
                        .redirectErrorStream(true)
                        .start();
        List<String> said = new ArrayList<>();
        try (BufferedReader lines = lab.inputReader()) {
            // The first line of progress that tells of a finished run.
            Await.line("a finished run", lab, lines, line -> line.contains("a second"))
                    .lines()
                    .forEach(said::add);
            // Unlike the process itself its handle leaves the streams open.
            lab.toHandle().destroy();
            Await.all("its end", lab, lines).lines().forEach(said::add);
        } finally {
            lab.destroyForcibly();
        }
        assertEquals(Await.end("its end", lab), TERMINATED, said.toString());
        String results = Files.readString(out.resolve("results.jsonl"));
        assertTrue(results.endsWith("\n"));
        assertTrue(
                said.contains(
                        "Stopped: "
                                + results.lines().count()
                                + " of 10000 runs are in "
                                + out
                                + ". Run the same command to go on."),
                said.toString());
        for (String name :
                List.of(
                        "out/costs.jsonl",
                        "out/experiment.json",
                        "out/lock",
                        "out/results.jsonl",
                        "out",
                        "plan.toml",
                        "")) {
            Files.delete(folder.resolve(name));
        }
    }
}
