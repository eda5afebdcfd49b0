package cedarrudder.lab.baselines;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.referee.RuleParameters;
import cedarrudder.lab.referee.RunChecker;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.result.RunResult.Breach;
import cedarrudder.lab.scenario.Draw;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.Scenario.Fault;
import cedarrudder.lab.scenario.ScenarioReader;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The rivals in the model: they keep the rules there, and what is broken on purpose shows there
 * too.
 */
public class BaselinesInModelTest {
    private static final int SEEDS = 10;

    /** A shipped scenario, its run and its faults this many times shorter. */
    private static Scenario scenario(String name, double shorter) throws Exception {
        Scenario full = ScenarioReader.read(Path.of("lab", "scenarios", name + ".toml"));
        Scenario.Run run =
                new Scenario.Run(
                        scaled(full.run().length(), shorter),
                        full.run().lead(),
                        full.run().mostRequests(),
                        full.run().window());
        List<Fault> faults =
                full.faults().stream()
                        .map(
                                f ->
                                        new Fault(
                                                f.trouble(),
                                                f.tier(),
                                                scaled(f.at(), shorter),
                                                scaled(f.length(), shorter),
                                                f.part(),
                                                f.size()))
                        .toList();
        return new Scenario(
                full.name(),
                full.about(),
                run,
                full.arrivals(),
                full.network(),
                full.front(),
                full.clients(),
                full.discovery(),
                full.allowed(),
                full.rules(),
                full.goal(),
                full.prices(),
                full.tiers(),
                full.classes(),
                full.tenants(),
                faults);
    }

    private static Draw scaled(Draw draw, double shorter) {
        return new Draw(draw.low() / shorter, draw.high() / shorter);
    }

    private static RunResult play(Scenario scenario, String policy, long seed)
            throws InterruptedException {
        RunChecker judge = new RunChecker(RuleParameters.of(scenario), Model.START);
        Model.Played played =
                Model.run(
                        scenario,
                        seed,
                        judge.watched(Policies.named(policy)),
                        policy,
                        judge.trace(),
                        Guard.usual());
        return judge.judged(played.result());
    }

    @DataProvider
    public Object[][] rough() {
        return new Object[][] {
            {"rules", 1},
            {"restart-storm", 3},
            {"replacement", 3},
            {"proxy-crash", 3},
            {"overload", 4}
        };
    }

    @Test(dataProvider = "rough")
    public void allKeepTheRules(String name, int shorter) throws Exception {
        Scenario scenario = scenario(name, shorter);
        for (String policy : Policies.names()) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                RunResult result = play(scenario, policy, seed);
                String run = policy + " on " + name + ", seed " + seed;
                assertEquals(result.breaches(), List.of(), run);
                assertEquals(result.finding(), "", run);
            }
        }
    }

    /**
     * The difference to each is paired by seed, and far from chance: over three standard errors.
     */
    @Test
    public void noneIsAheadOfTheBoundOnAQuietDay() throws Exception {
        Scenario scenario = scenario("diliman", 2);
        double[] bound = new double[SEEDS];
        for (int i = 0; i < SEEDS; i++) {
            bound[i] = play(scenario, Policies.BOUND, i + 1).goodput();
        }
        for (String policy : Policies.names()) {
            SummaryStatistics ahead = new SummaryStatistics();
            for (int i = 0; i < SEEDS && !policy.equals(Policies.BOUND); i++) {
                ahead.addValue(bound[i] - play(scenario, policy, i + 1).goodput());
            }
            double error = ahead.getStandardDeviation() / Math.sqrt(SEEDS);
            assertTrue(
                    policy.equals(Policies.BOUND) || ahead.getMean() > 3 * error,
                    policy + ": " + ahead.getMean() + ", standard error " + error);
        }
    }

    @DataProvider
    public Object[][] faults() {
        Object[][] rows = new Object[BrokenPolicies.Fault.values().length][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {BrokenPolicies.Fault.values()[i]};
        }
        return rows;
    }

    @Test(dataProvider = "faults")
    public void whatIsBrokenIsFoundInTheModel(Object fault) throws Exception {
        BrokenPolicies.Fault broken = (BrokenPolicies.Fault) fault;
        Scenario scenario = scenario("rules", 1);
        RunResult result = play(scenario, broken.policy(), 1);
        assertEquals(result.breaches().size(), 1, broken + ": " + result.breaches());
        Breach breach = result.breaches().get(0);
        assertEquals(breach.rule(), broken.rule, broken + ": " + breach);
        assertTrue(
                breach.at() > 0 && breach.rpc() > 0 && breach.count() > 0, broken + ": " + breach);
    }
}
