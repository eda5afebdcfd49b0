package cedarrudder.lab.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the reader makes of good scenarios and of broken ones. */
public class ScenarioReaderTest {

    private static final Path SHIPPED = Path.of("lab", "scenarios");

    /** The least that is a scenario; each line counts in the tests that break it. */
    private static final String SMALL =
            """
            about = "one tier"
            [run]
            length_s = [20, 30]
            [arrivals]
            share = 0.5
            [[tier]]
            name = "shop"
            nodes = 4
            proxies = 2
            [[tier.kind]]
            name = "any"
            [[class]]
            name = "look"
            effect = "safe"
            work_ms = 10
            aim_ms = 100
            deadline_ms = 400
            """;

    private Path folder;

    @BeforeClass
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("scenarios");
    }

    @AfterClass
    public void removeFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private Path file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    /** What is wrong with a scenario, its files without their folder. */
    private List<String> problems(Path file) {
        return expectThrows(InvalidFileException.class, () -> ScenarioReader.read(file))
                .problems()
                .stream()
                .map(problem -> problem.toString().replace(folder + "/", ""))
                .toList();
    }

    @DataProvider
    public Object[][] shipped() throws IOException {
        try (Stream<Path> files = Files.list(SHIPPED)) {
            return files.filter(f -> f.toString().endsWith(".toml"))
                    .sorted()
                    .map(f -> new Object[] {f})
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "shipped")
    public void everyShippedScenarioIsGoodAndSaysWhatItIsFor(Path file) throws Exception {
        Scenario scenario = ScenarioReader.read(file);
        assertEquals(scenario.name() + ".toml", file.getFileName().toString());
        assertTrue(scenario.about().length() > 40, scenario.about());
    }

    @Test
    public void theBriefsPlatformIsReadAsItIsWritten() throws Exception {
        Scenario scenario = ScenarioReader.read(SHIPPED.resolve("diliman.toml"));
        assertEquals(
                scenario.tiers().stream().map(Scenario.Tier::name).toList(),
                List.of("front", "credit", "carrier"));
        assertEquals(scenario.run().length(), new Draw(42e9, 55e9));
        Scenario.RequestKind batch = scenario.classes().get(2);
        assertEquals(batch.keyScope(), KeyScope.CELL);
        assertEquals(batch.repeatWindow(), 7_500_000_000L);
        assertEquals(batch.aim(), 2_000_000_000L);
        assertEquals(scenario.tiers().get(0).probing().work(), new Draw(100_000, 210_000));
        assertFalse(scenario.tiers().get(0).relative());
        assertTrue(scenario.tiers().get(1).relative());
        assertEquals(scenario.tiers().get(2).calls(), Draw.fixed(0));
    }

    @Test
    public void whatIsLeftOutHasItsDefault() throws Exception {
        Scenario scenario = ScenarioReader.read(file("small.toml", SMALL));
        assertEquals(scenario.name(), "small");
        assertEquals(scenario.run().lead(), 1_000_000_000L);
        assertEquals(scenario.arrivals().share(), Draw.fixed(0.5));
        assertEquals(scenario.arrivals().perSecond(), null);
        assertEquals(scenario.network().zones(), List.of("zone"));
        assertEquals(scenario.tiers().get(0).choke(), null);
        assertEquals(scenario.tiers().get(0).kinds().get(0).share(), Draw.fixed(1));
        assertEquals(scenario.goal(), new Scenario.Goal(1, 0, 0, 0, 1));
    }

    @Test
    public void allErrorsComeInOneRunWithTheirLines() throws Exception {
        Path broken =
                file(
                        "broken.toml",
                        """
                        about = "all that can be wrong"
                        lenght_s = 3
                        [run]
                        length_s = [20, 30]
                        lead_s = 25
                        [arrivals]
                        shape = "steady"
                        share = 0.5
                        rate_per_s = 100
                        swing = 0.2
                        [clients]
                        honour = 0.5
                        [allowed]
                        retry_after = false
                        [goal]
                        whole = 0.6
                        worst_class = 0.2
                        [[tier]]
                        name = "front"
                        nodes = 4
                        proxies = 2
                        work_share = 0.5
                        [[tier.kind]]
                        name = "fast"
                        share = [0.2, 0.3]
                        cold_from = 0
                        [[tier.kind]]
                        name = "slow"
                        share = 0.4
                        speed = [1.5, 1.1]
                        [[tier]]
                        name = "back"
                        nodes_of_first = 2
                        work_share = 0.6
                        calls = 2
                        [[tier.kind]]
                        name = "any"
                        cores = 1.5
                        [[class]]
                        name = "look"
                        effect = "safe"
                        scope = "cell"
                        work_ms = 10
                        spread = "fixed"
                        cv = 2
                        aim_s = 1
                        deadline_ms = 400
                        share = 0.7
                        [[class]]
                        name = "look"
                        effect = "kept"
                        work_ms = 10
                        aim_ms = 500
                        deadline_ms = 400
                        share = 0.2
                        [[tenant]]
                        name = "a"
                        share = 0.5
                        [[fault]]
                        trouble = "slow"
                        tier = "frnot"
                        at_s = [10, 40]
                        length_s = 5
                        part = 0
                        [[fault]]
                        trouble = "discovery-down"
                        at_s = 5
                        length_s = 5
                        part = 0.5
                        [[fault]]
                        trouble = "crush"
                        at_s = 5
                        length_s = 5
                        """);
        assertEquals(
                String.join("\n", problems(broken))
                        .replace("broken.toml:", "")
                        .replace("; allowed:", ";")
                        .replace(", or two such as [low, high]", " or two"),
                """
                2: lenght_s: found an unknown key; extends, name, about, run, tier, class, tenant, \
                arrivals, network, front, allowed, clients, discovery, rules, goal, prices, fault, wire
                5: run.lead_s: found 25; less than the shortest run, 20
                9: arrivals.rate_per_s: found a rate beside a share; either share or rate_per_s
                10: arrivals.swing: found a key that is not used; with shape bursty only
                12: clients.honour: found 0.5; 0 where allowed.retry_after is false: nobody is told \
                when to return
                15: goal: found weights that sum to 0.8; whole, worst_window, worst_class and \
                worst_tenant that sum to 1
                18: tier: found work_share that sums to 1.1; a sum of 1
                23: tier[0].kind: found shares that sum to 0.6 to 0.7; shares that can sum to 1
                26: tier[0].kind[0].cold_from: found 0; a number from 0.01 to 1 or two
                30: tier[0].kind[1].speed: found [1.5, 1.1]; the lower end first: [1.1, 1.5]
                35: tier[1].calls: found calls to the next tier; no such key at the last tier
                38: tier[1].kind[0].cores: found 1.5; a whole number from 1 to 256
                39: class[0].aim_ms: found nothing; a number from 1 to 600000
                39: class: found shares that sum to 0.9; shares that can sum to 1
                42: class[0].scope: found a key that is not used; where effect is keyed only
                45: class[0].cv: found a key that is not used; with the spreads lognormal and pareto only
                46: class[0].aim_s: found an unknown key; did you mean 'aim_ms'?
                50: class[1].name: found "look" again; a name of its own
                51: class[1].effect: found "kept"; safe, keyed, unsafe
                54: class[1].deadline_ms: found 400; no less than aim_ms, 500
                56: tenant: found shares that sum to 0.5; shares that can sum to 1
                59: fault[0].size: found nothing; a factor from 1 to 1000 or two
                61: fault[0].tier: found "frnot", which names no tier; did you mean 'front'?
                62: fault[0].at_s: found 40; less than the shortest run, 20
                64: fault[0].part: found 0; a number from 0.001 to 1 or two
                69: fault[1].part: found a key that is not used; none with discovery-down
                71: fault[2].trouble: found "crush"; crash, slow, silent, sinkhole, decline, drain, \
                replace, restart-storm, discovery-down, proxy-crash, frozen-reports, cut-to-nodes, \
                cut-from-nodes\
                """);
    }

    private static final String TRACED =
            SMALL.replace("share = 0.5", "shape = \"trace\"\ntrace = \"t.csv\"");

    @Test
    public void aTraceIsReadWithQuotedFieldsAndWorkLeftOut() throws Exception {
        file("t.csv", "time_ms,class,tenant,work_ms\r\n0.5,\"look\",,\r\n2,look,,7.25\r\n");
        assertEquals(
                ScenarioReader.read(file("traced.toml", TRACED)).arrivals().trace(),
                List.of(
                        new Scenario.Recorded(500_000, 0, 0, 0),
                        new Scenario.Recorded(2_000_000, 0, 0, 7_250_000)));
    }

    @Test
    public void errorsOfATraceHaveItsNameAndLines() throws Exception {
        Path traced = file("traced.toml", TRACED + "lenght = 3\n");
        file(
                "t.csv",
                """
                time_ms,klass,tenant,work_ms
                5,look,,1
                4,look,,1
                6,lok,,1
                7,"look
                ",anna,x

                9,look,
                -1,look,,60001
                8,"look"s,,1
                """);
        assertEquals(
                String.join("\n", problems(traced)),
                """
                traced.toml:19: class[0].lenght: found an unknown key; allowed: name, effect, scope, \
                repeat_window_ms, share, work_ms, spread, cv, attempt_noise, aim_ms, deadline_ms, worth, \
                late_worth
                t.csv:1: found "time_ms,klass,tenant,work_ms"; allowed: time_ms,class,tenant,work_ms
                t.csv:3: time_ms: found 4; allowed: no less than the line before, 5
                t.csv:4: class: found "lok"; allowed: did you mean 'look'?
                t.csv:5: tenant: found "anna"; allowed: nothing: the scenario has none
                t.csv:5: work_ms: found "x"; allowed: a number from 0 to 60000, or nothing
                t.csv:7: found an empty line; allowed: 4 fields
                t.csv:8: found 3 fields; allowed: 4 fields
                t.csv:9: time_ms: found "-1"; allowed: a number from 0 to 3600000
                t.csv:9: work_ms: found "60001"; allowed: a number from 0 to 60000, or nothing
                t.csv:10: found a line that is no CSV; allowed: fields as in RFC 4180\
                """);
        file("t.csv", "time_ms,class,tenant,work_ms\n" + "x\n".repeat(1000));
        assertEquals(problems(traced).size(), 1 + 20 + 1);
        file("t.csv", "time_ms,class,tenant,work_ms\n");
        assertTrue(problems(traced).get(1).startsWith("t.csv: found no arrivals"));
        Files.delete(folder.resolve("t.csv"));
        assertEquals(problems(traced).get(1), "t.csv: found no such file; allowed: a CSV file");
    }

    @Test
    public void aTraceIsAFileBesideItsScenario() throws Exception {
        assertEquals(
                problems(file("traced.toml", TRACED.replace("t.csv", "../t.csv"))),
                List.of(
                        "traced.toml:6: arrivals.trace: found \"../t.csv\"; allowed: the name of a"
                                + " CSV file beside the scenario"));
        assertEquals(
                problems(file("traced.toml", TRACED.replace("trace =", "share = 0.5\ntrace =")))
                        .get(0),
                "traced.toml:6: arrivals.share: found a key that is not used; allowed: with the"
                        + " other shapes only: a trace has its own rate");
    }

    @Test
    public void whatExtendsAnotherTakesItsTablesWholeAndErrorsNameTheirFile() throws Exception {
        file("base.toml", SMALL + "[clients]\nretries = 3\nbackoff_ms = 5\n");
        Scenario over =
                ScenarioReader.read(
                        file(
                                "over.toml",
                                "about = \"more\"\n"
                                        + "extends = \"base.toml\"\n"
                                        + "[clients]\n"
                                        + "retries = 1\n"));
        assertEquals(over.name(), "over");
        assertEquals(over.tiers().get(0).name(), "shop");
        assertEquals(over.clients().retries(), Draw.fixed(1));
        assertEquals(over.clients().backoff(), new Draw(20e6, 100e6));

        file("base.toml", SMALL.replace("nodes = 4", "nodes = 0"));
        Path faulty =
                file(
                        "over.toml",
                        "about = \"more\"\n"
                                + "extends = \"base.toml\"\n"
                                + "[clients]\n"
                                + "retrys = 1\n"
                                + "[[fault]]\n"
                                + "trouble = \"drain\"\n"
                                + "tier = \"stop\"\n"
                                + "at_s = 1\n"
                                + "length_s = 1\n"
                                + "part = 1\n");
        assertEquals(
                problems(faulty),
                List.of(
                        "over.toml:4: clients.retrys: found an unknown key; allowed: did you mean"
                                + " 'retries'?",
                        "over.toml:7: fault[0].tier: found \"stop\", which names no tier; allowed:"
                                + " did you mean 'shop'?",
                        "base.toml:8: tier[0].nodes: found 0; allowed: a number from 1 to 10000, or"
                                + " two such as [low, high]"));
        file("middle.toml", SMALL + "[front]\nnotice_s = 1\n");
        file("base.toml", "extends = \"middle.toml\"\n" + SMALL);
        assertTrue(
                problems(file("over.toml", "about = \"more\"\nextends = \"base.toml\"\n"))
                        .get(0)
                        .contains("which extends another one"));
        assertTrue(
                problems(file("over.toml", "about = \"more\"\nextends = \"gone.toml\"\n"))
                        .get(0)
                        .startsWith("over.toml:2: extends: found no such file, gone.toml"));
    }

    @Test
    public void thePageNamesEachKeyWithWhatItAllowsAndItsDefault() throws Exception {
        List<String> page =
                Files.readAllLines(Path.of("docs", "SCENARIOS.md")).stream()
                        .filter(line -> line.startsWith("| `"))
                        .toList();
        List<String> rows =
                page.stream().map(line -> line.substring(0, line.lastIndexOf(" | "))).toList();
        List<String> known =
                ScenarioReader.keys().stream()
                        .filter(
                                key ->
                                        !key.allowed().startsWith("tables ")
                                                && !key.allowed().equals("a table"))
                        .map(
                                key ->
                                        "| `"
                                                + key.path()
                                                + "` | "
                                                + key.allowed().replace(" such as [low, high]", "")
                                                + " | "
                                                + key.otherwise())
                        .toList();
        assertEquals(rows.stream().sorted().toList(), known.stream().sorted().toList());
        assertTrue(
                page.stream()
                        .allMatch(line -> line.substring(line.lastIndexOf(" | ")).length() > 15));
    }
}
