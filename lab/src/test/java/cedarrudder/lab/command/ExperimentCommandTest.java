package cedarrudder.lab.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import picocli.CommandLine;

/** The commands of an experiment on the real model, from a plan to its page. */
public class ExperimentCommandTest {

    private static final String PLAN =
            """
            about = "Does it run?"
            seeds = "1..2"
            [[scenario]]
            file = "%s"
            change = { run.length_s = 4 }
            [[variant]]
            policy = "%s"
            [[variant]]
            name = "no-probes"
            change = { allowed.probes = false }
            """;
    private static final Path SCENARIO =
            Path.of("lab", "scenarios", "diliman.toml").toAbsolutePath();

    private Path folder;
    private String said;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("command");
    }

    @AfterMethod
    public void end() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
    }

    private int run(String... arguments) {
        StringWriter text = new StringWriter();
        CommandLine line =
                Lab.commandLine().setOut(new PrintWriter(text)).setErr(new PrintWriter(text));
        int code = line.execute(arguments);
        line.getOut().flush();
        said = text.toString();
        return code;
    }

    private Path plan(String policy) throws IOException {
        return Files.writeString(folder.resolve("plan.toml"), PLAN.formatted(SCENARIO, policy));
    }

    private static List<String> sorted(Path results) throws IOException {
        return Files.readAllLines(results.resolve("results.jsonl")).stream().sorted().toList();
    }

    @Test
    public void aPlanIsRunReportedAndTheSameForAnyNumberOfThreads() throws IOException {
        Path one = folder.resolve("one");
        Path eight = folder.resolve("eight");
        String plan = plan("least-requests").toString();
        assertEquals(run("experiment", plan, "--out", one.toString(), "--strict"), 0, said);
        assertTrue(said.contains("4 of 4 runs are in " + one), said);
        assertEquals(run("experiment", plan, "--out", eight.toString(), "--threads", "8"), 0, said);
        assertEquals(sorted(one), sorted(eight));
        assertEquals(run("report", one.toString()), 0, said);
        assertTrue(Files.readString(one.resolve("report.html")).contains("When was worth lost?"));
        assertEquals(run("report", one.toString(), "--text"), 0, said);
        assertTrue(said.contains("Goodput less prices"), said);
        assertEquals(run("report", one.toString(), "--csv", "probes"), 0, said);
        assertTrue(said.contains("\nno-probes,diliman,0.0\n"), said);
    }

    @Test
    public void aBrokenRuleIsAResultAndStrictlyAFailure() throws IOException {
        String out = folder.resolve("out").toString();
        String plan = plan("broken-answered-late").toString();
        assertEquals(run("experiment", plan, "--out", out), 0, said);
        assertEquals(run("experiment", plan, "--out", out, "--strict"), 1, said);
        assertTrue(said.contains("2 broke a rule or were ended early"), said);
        assertEquals(run("report", out, "--text"), 0, said);
        assertTrue(said.contains("rule 1 at "), said);
    }

    @Test
    public void badInputIsToldWithItsPlaceAndCodeTwo() throws IOException {
        String out = folder.resolve("out").toString();
        Path plan = plan("best");
        assertEquals(run("experiment", plan.toString(), "--out", out), 2, said);
        assertTrue(
                said.startsWith(plan + ":7: variant[0].policy: found \"best\"; allowed: "), said);
        assertTrue(Files.notExists(Path.of(out)));
        Path file = Files.writeString(folder.resolve("file"), "x");
        assertEquals(
                run("experiment", plan("random").toString(), "--out", file.toString()), 1, said);
        assertTrue(said.startsWith("experiment: " + file + ": a file is in its place"), said);
        assertEquals(run("report", folder.toString()), 1, said);
        assertTrue(said.contains("holds no experiment"), said);
        Path means = Files.writeString(folder.resolve("means.csv"), "variant,kind\n");
        assertEquals(run("correlate", means.toString(), means.toString()), 2, said);
    }

    @Test
    public void thePlansThatComeWithTheLabCanBeRead() throws IOException {
        // A file is no directory for results, so a plan that is good ends there and runs nothing.
        Path file = Files.writeString(folder.resolve("file"), "x");
        try (Stream<Path> plans = Files.list(Path.of("lab", "plans"))) {
            for (Path plan : plans.sorted().toList()) {
                assertEquals(run("experiment", plan.toString(), "--out", file.toString()), 1, said);
            }
        }
    }
}
