package cedarrudder.lab.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Plans, and what is said of bad ones. */
public class PlanReaderTest {

    private static final List<String> POLICIES = List.of("cedarrudder", "random");

    /**
     * Stands for the reader of scenarios: a file whose name says that it is bad has two problems.
     */
    private static Scenario scenario(Path file) throws InvalidFileException {
        if (file.toString().contains("bad")) {
            throw new InvalidFileException(
                    List.of(
                            new ConfigProblem(file.getFileName().toString(), 3, "run", "x", "y"),
                            new ConfigProblem(file.getFileName().toString(), 4, "tier", "x", "y")));
        }
        return Fakes.scenario(file.getFileName().toString().replace(".toml", ""), 10);
    }

    private static Plan read(String text) throws IOException, InvalidFileException {
        Path folder = Files.createTempDirectory("plan");
        Path file = Files.writeString(folder.resolve("plan.toml"), text);
        try {
            return PlanReader.read(file, POLICIES, PlanReaderTest::scenario);
        } finally {
            Files.delete(file);
            Files.delete(folder);
        }
    }

    @Test
    public void aPlanIsScenariosTimesVariantsTimesSeeds() throws Exception {
        Plan plan =
                read(
                        """
                        about = "Does it help?"
                        seeds = "3..4"
                        metrics = ["p99", "goodput"]
                        baseline = "random"
                        [[scenario]]
                        file = "calm.toml"
                        [[scenario]]
                        file = "calm.toml"
                        name = "calm-100"
                        family = "calm"
                        change = { tier.front.nodes = 100, run.length_s = [10, 20] }
                        [[variant]]
                        name = "fewer"
                        set = { probes-per-call = 0.2 }
                        change = { allowed.second_copies = false }
                        [[variant]]
                        policy = "random"
                        """);
        List<Job> jobs = plan.jobs();
        assertEquals(jobs.size(), 2 * 2 * 2);
        assertEquals(jobs.get(2).key(), new RunKey("calm-100", "fewer", 3));
        assertEquals(jobs.get(7).key(), new RunKey("calm-100", "random", 4));
        Scenario changed = jobs.get(2).scenario();
        assertEquals(changed.tiers().get(0).nodes(), Draw.fixed(100));
        assertEquals(changed.run().length(), new Draw(10e9, 20e9));
        assertFalse(changed.allowed().secondCopies());
        assertEquals(jobs.get(3).scenario().allowed().secondCopies(), true);
        assertEquals(
                jobs.get(2).variant().tuning().get(BalancerParameters.Parameter.PROBES_PER_REQUEST),
                0.2);
        assertEquals(
                jobs.get(2).variant().differences(),
                "probes-per-call=0.2 allowed.second_copies=false");
        assertEquals(plan.metrics(), List.of(Metric.P99, Metric.GOODPUT));
        assertEquals(plan.name(), "plan");
    }

    @Test
    public void aVariantMayHaveBudgetsAndAMixOfOldAndNew() throws Exception {
        Plan plan =
                read(
                        """
                        about = "Do they help?"
                        seeds = "1..1"
                        [[scenario]]
                        file = "calm.toml"
                        [[variant]]
                        name = "off"
                        [[variant]]
                        name = "on"
                        budget = {}
                        [[variant]]
                        name = "mix"
                        budget = { tries = 2, strips = ["front"] }
                        """);
        assertEquals(plan.variants().get(0).budgets(), null);
        assertEquals(
                plan.variants().get(1).budgets(), TierBudgets.everywhere(BudgetSettings.of("")));
        assertEquals(plan.variants().get(2).differences(), "budget tries=2 strips=front");
        InvalidFileException bad =
                expectThrows(
                        InvalidFileException.class,
                        () ->
                                read(
                                        """
                                        about = "Do they help?"
                                        seeds = "1..1"
                                        [[scenario]]
                                        file = "calm.toml"
                                        [[variant]]
                                        budget = { hop = "front", trys = 1, old = ["back"] }
                                        """));
        assertEquals(
                bad.problems().stream().map(ConfigProblem::key).toList(),
                List.of("scenario[0].file", "variant[0].budget.hop", "variant[0].budget.trys"));
    }

    @Test
    public void everyErrorOfThePlanAndItsScenariosComesInOneRun() {
        String plan =
                """
                seeds = "20..1"
                metrics = ["goodputt"]
                baseline = "best"
                colour = 1
                [[scenario]]
                file = "bad.toml"
                [[scenario]]
                file = "calm.toml"
                change = { tier.back.nodes = 4, allowed.second_copies = 1, clients.retry = 2 }
                [[variant]]
                policy = "ramdom"
                [[variant]]
                set = { probes-per-call = 99, probe-per-call = 1 }
                [[variant]]
                policy = "random"
                set = { pool-size = 4 }
                [[variant]]
                policy = "random"
                """;
        InvalidFileException bad = expectThrows(InvalidFileException.class, () -> read(plan));
        List<String> said =
                bad.problems().stream()
                        .map(p -> Path.of(p.file()).getFileName() + ":" + p.line() + ": " + p.key())
                        .toList();
        assertEquals(
                said,
                List.of(
                        "plan.toml:0: about",
                        "plan.toml:1: seeds",
                        "plan.toml:2: metrics",
                        "plan.toml:3: baseline",
                        "plan.toml:4: colour",
                        "plan.toml:8: scenario[1].file",
                        "plan.toml:9: scenario[1].change.clients.retry",
                        "plan.toml:9: scenario[1].change.allowed.second_copies",
                        "plan.toml:11: variant[0].policy",
                        "plan.toml:13: variant[1].set.probes-per-call",
                        "plan.toml:13: variant[1].set.probe-per-call",
                        "plan.toml:16: variant[2].set",
                        "plan.toml:17: variant[3].name",
                        "bad.toml:3: run",
                        "bad.toml:4: tier"));
    }

    @Test
    public void everyChangeThatCanBeReadFitsAScenario() {
        String changes =
                """
                run.length_s = 5
                allowed = { probes = false, peers = false, cancel = false, second_copies = false }
                """;
        List<Change> all = Change.read(ConfigDocument.parse("all", changes).root());
        assertEquals(all.size(), 5);
        Scenario scenario = Fakes.scenario("calm", 10);
        for (Change change : all) {
            scenario = change.apply(scenario);
        }
        assertEquals(scenario.allowed(), new Scenario.Allowed(false, false, false, false, true, 3));
    }

    /** The world looks at one of the two: a rate that a plan set beside a share changed nothing. */
    @Test
    public void aRateTakesThePlaceOfAShareAndTheOtherWayRound() throws InvalidFileException {
        Scenario scenario = ScenarioReader.read(Path.of("lab", "scenarios", "diliman.toml"));
        for (String load : List.of("rate_per_s", "share", "rate_per_s")) {
            for (Change change :
                    Change.read(
                            ConfigDocument.parse("load", "arrivals." + load + " = 0.7").root())) {
                scenario = change.apply(scenario);
            }
            boolean rate = load.equals("rate_per_s");
            assertEquals(scenario.arrivals().perSecond(), rate ? Draw.fixed(0.7) : null);
            assertEquals(scenario.arrivals().share(), rate ? null : Draw.fixed(0.7));
        }
    }
}
