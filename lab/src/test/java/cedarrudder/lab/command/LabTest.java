package cedarrudder.lab.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.baselines.Policies;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import picocli.CommandLine;

/** The lab's commands as they are called: exit codes, and what goes to which stream. */
public class LabTest {

    private static final String SCENARIO =
            """
            about = "a few seconds of two tiers, with a restart among them"
            [run]
            length_s = 6
            window_s = 2
            [arrivals]
            share = [0.5, 0.7]
            [clients]
            retries = 1
            [[tier]]
            name = "shop"
            nodes = 5
            proxies = 2
            work_share = 0.6
            [[tier.kind]]
            name = "any"
            cold_s = 3
            [[tier]]
            name = "store"
            nodes = 4
            work_share = 0.4
            [[tier.kind]]
            name = "any"
            [[class]]
            name = "look"
            effect = "safe"
            work_ms = 20
            aim_ms = 100
            deadline_ms = 400
            [[fault]]
            trouble = "crash"
            tier = "shop"
            at_s = 1
            length_s = 1
            part = 0.2
            """;

    private record Said(int code, String out, String err) {}

    private Path folder;
    private String good;
    private String bad;

    @BeforeClass
    public void writeScenarios() throws IOException {
        folder = Files.createTempDirectory("lab");
        good = Files.writeString(folder.resolve("good.toml"), SCENARIO).toString();
        bad =
                Files.writeString(
                                folder.resolve("bad.toml"),
                                SCENARIO.replace("nodes = 5", "nodes = -5")
                                        .replace("part = 0.2", "part = 2"))
                        .toString();
    }

    @AfterClass
    public void removeScenarios() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static Said lab(String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine lab =
                Lab.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err));
        int code = lab.execute(arguments);
        lab.getOut().flush();
        lab.getErr().flush();
        return new Said(code, out.toString(), err.toString());
    }

    @Test
    public void checkTellsOfAllFilesAndTheirErrors() {
        Said said = lab("check", good, bad, folder + "/gone.toml");
        assertEquals(said.code, 2);
        assertEquals(said.out, good + ": good; tiers 2, classes 1, tenants 0, faults 1\n");
        assertEquals(
                said.err
                        .lines()
                        .map(line -> line.replace(folder + "/", "").replaceAll("; allowed.*", ""))
                        .toList(),
                List.of(
                        "bad.toml:11: tier[0].nodes: found -5",
                        "bad.toml:34: fault[0].part: found 2",
                        "gone.toml: found no such file"));
        assertEquals(lab("check", good).code, 0);
    }

    @Test
    public void resultsAreEqualBytesWhateverTheThreads() throws IOException {
        Said one = lab("model", good, "--seeds", "3..8", "--json");
        assertEquals(one.code, 0, one.err);
        assertEquals(lab("model", good, "--seeds", "3..8", "--json", "--threads", "4"), one);
        List<Long> seeds = new ArrayList<>();
        for (String line : one.out.lines().toList()) {
            JsonNode result = new ObjectMapper().readTree(line);
            seeds.add(result.get("seed").asLong());
            assertEquals(result.get("scenario").asText(), "good");
            assertEquals(result.get("breaches").size(), 0);
            assertTrue(result.get("requests").asLong() > 100);
        }
        assertEquals(seeds, List.of(3L, 4L, 5L, 6L, 7L, 8L));
    }

    @Test
    public void figuresOfOurDecisionsCanBeSet() {
        Said set =
                lab("model", good, "--set", "probes-per-call=0", "--set", "probes-per-call-thin=0");
        assertEquals(set.code, 0, set.err);
        assertTrue(
                set.out.startsWith("good, cedarrudder probes-per-call=0 probes-per-call-thin=0\n"),
                set.out);
        assertNotEquals(set.out, lab("model", good).out);
    }

    @Test
    public void aBrokenRuleIsToldAndEndsWithOne() {
        String broken = Policies.brokenNames().get(0);
        Said said = lab("model", good, "--policy", broken, "--seed", "2");
        assertEquals(said.code, 1);
        assertTrue(said.out.contains("seed 2: rule 1 broken "), said.out);
        assertEquals(said.err, "");
    }

    @Test
    public void aTraceHoldsEachEventOnALine() throws IOException {
        Path file = folder.resolve("trace.json");
        Said said = lab("model", good, "--trace", file.toString());
        assertEquals(said, lab("model", good));
        long last = 0;
        List<String> events = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            JsonNode event = new ObjectMapper().readTree(line);
            assertTrue(event.get("at").asLong() >= last, line);
            last = event.get("at").asLong();
            events.add(event.get("event").asText());
        }
        assertTrue(
                events.containsAll(
                        List.of(
                                "proxy-started",
                                "told",
                                "taken",
                                "sent",
                                "reached",
                                "ended",
                                "answered",
                                "node-ended",
                                "node-started")),
                events.stream().distinct().toList().toString());

        Said unwritten =
                lab("model", good, "--trace", folder.resolve("none").resolve("t.json").toString());
        assertEquals(unwritten.code, 1);
        assertEquals(unwritten.out, "");
        assertTrue(unwritten.err.contains("NoSuchFile"), unwritten.err);
    }

    @DataProvider
    public Object[][] misused() {
        return new Object[][] {
            {"", "no command was given"},
            {"modle", "Unmatched argument"},
            {"model", "Missing required parameter"},
            {"model GOOD --policy rnadom", "no policy rnadom"},
            {"model GOOD --set probes-per-call=-1", "probes-per-call: found -1"},
            {"model GOOD --set nothing=1", "unknown parameter 'nothing'"},
            {"model GOOD --policy random --set idle-ms=5", "random has no figures to set"},
            {"model GOOD --seeds 5..3", "--seeds: found 5..3"},
            {"model GOOD --seed 1 --seeds 1..3", "mutually exclusive"},
            {"model GOOD --seeds 1..3 --trace t.json", "--trace: found several seeds"},
            {"model GOOD --threads 0", "--threads: found 0"},
            {"agreement --sizes 4", "--sizes: allowed is from 5 to 5000 each"},
            {"agreement --bytes 40000", "--bytes: allowed is from 8 to 32768"},
            {"model BAD", "bad.toml:11: tier[0].nodes: found -5"},
        };
    }

    @Test(dataProvider = "misused")
    public void badUsageEndsWithTwoAndNoResult(String line, String message) {
        String[] arguments = line.isEmpty() ? new String[0] : line.split(" ");
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = arguments[i].replace("GOOD", good).replace("BAD", bad);
        }
        Said said = lab(arguments);
        assertEquals(said.code, 2, said.err);
        assertEquals(said.out, "");
        assertTrue(said.err.contains(message), said.err);
    }

    @Test
    public void agreementTellsOfStormsAndOfFigures() {
        Said storms = lab("agreement", "--storms", "--seeds", "3..4");
        assertEquals(storms.code, 0, storms.err);
        assertTrue(
                storms.out.startsWith("2 seeds, ")
                        && storms.out.endsWith("broken 0, not settled 0\n"),
                storms.out);
        Said figures = lab("agreement", "--sizes", "5,7", "--deaths", "1");
        assertEquals(figures.code, 0, figures.err);
        assertEquals(
                figures.out.lines().map(line -> line.split(" ")[0]).toList(),
                List.of("copies", "5", "7"));
    }

    @Test
    public void policiesAndVersionAreListed() {
        Said policies = lab("policies");
        assertEquals(
                policies.out.lines().map(line -> line.split(" ")[0]).toList(), Policies.names());
        assertTrue(lab("policies", "--broken").out.lines().count() > Policies.names().size());
        assertTrue(lab("version").out.startsWith("cedarrudder-lab "));
        Said help = lab("model", "--help");
        assertEquals(help.code, 0);
        assertFalse(help.out.isEmpty());
    }
}
