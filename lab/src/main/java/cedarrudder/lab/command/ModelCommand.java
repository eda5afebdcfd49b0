package cedarrudder.lab.command;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.BalancerParametersParser;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.lab.baselines.Policies;
import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.lab.trace.TraceWriter;
import cedarrudder.operator.BudgetTable;
import cedarrudder.operator.OperatorFile;
import cedarrudder.toml.InvalidFileException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code model}: plays a scenario in virtual time, one run a seed, with the referee on. Results
 * come in the order of seeds and are the same to the byte, whatever the number of threads.
 */
@Command(
        name = "model",
        description =
                "Plays a scenario in virtual time. Exit code 1 where a run broke a "
                        + "rule or was ended early.")
final class ModelCommand implements Callable<Integer> {

    private static final int MAX_THREADS = 256;

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario, TOML.")
    private Path file;

    @ArgGroup private Seeds seeds = new Seeds();

    @Option(
            names = "--policy",
            paramLabel = "NAME",
            defaultValue = Policies.OWN,
            description =
                    "Who decides; ${DEFAULT-VALUE} where not given. The command policies lists"
                            + " all.")
    private String policy;

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            description = "Sets a figure of our own decisions; may be given several times.")
    private List<String> figures = List.of();

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            description = "An operator's file; its table [budget] counts at every tier.")
    private Path operator;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "1",
            description = "Runs played at once; ${DEFAULT-VALUE} where not given.")
    private int threads;

    @Option(names = "--json", description = "Writes results as JSON, one run a line.")
    private boolean json;

    @Option(
            names = "--trace",
            paramLabel = "FILE",
            description =
                    "Writes all events of the run to a file, JSON, one a line; with one seed only.")
    private Path trace;

    @Override
    public Integer call() throws InvalidFileException, IOException, InterruptedException {
        long[] range = seeds.range(spec);
        if (threads < 1 || threads > MAX_THREADS) {
            throw usage(
                    "--threads: found " + threads + "; allowed: a number from 1 to " + MAX_THREADS);
        }
        if (trace != null && range[0] != range[1]) {
            throw usage("--trace: found several seeds; allowed: one");
        }
        Scenario scenario = ScenarioReader.read(file);
        TierBudgets budgets = budgets(scenario);
        BalancerParameters tuning;
        Policy decides;
        try {
            tuning = BalancerParametersParser.parse(figures);
            decides = CheckedRuns.policy(policy, tuning, budgets);
        } catch (IllegalArgumentException e) {
            throw usage(e.getMessage());
        }
        String variant = CheckedRuns.variant(policy, tuning, budgets);
        List<RunResult> results = new ArrayList<>();
        boolean clean = true;
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunResult>> runs = new ArrayList<>();
            for (long seed = range[0]; seed <= range[1]; seed++) {
                long each = seed;
                runs.add(pool.submit(() -> run(scenario, each, decides, variant)));
            }
            ObjectMapper mapper = new ObjectMapper();
            for (int i = 0; i < runs.size(); i++) {
                RunResult result = result(runs.set(i, null));
                clean &= result.breaches().isEmpty() && result.finding().isEmpty();
                if (json) {
                    out().println(mapper.writeValueAsString(result));
                    out().flush();
                } else {
                    results.add(result);
                }
            }
        } finally {
            pool.shutdownNow();
        }
        if (!json) {
            print(scenario, variant, results);
        }
        return clean ? ExitCode.OK : ExitCode.SOFTWARE;
    }

    /** What the operator's file says of budgets, for all tiers; null where it says nothing. */
    private TierBudgets budgets(Scenario scenario) throws InvalidFileException {
        BudgetSettings set =
                operator == null ? null : OperatorFile.read(operator).of(BudgetTable.BUDGET);
        if (set == null) {
            return null;
        }
        TierBudgets budgets = TierBudgets.everywhere(set);
        List<String> wrong =
                budgets.wrongFor(scenario.tiers().stream().map(Scenario.Tier::name).toList());
        if (!wrong.isEmpty()) {
            throw usage("--operator: found " + String.join("; ", wrong));
        }
        return budgets;
    }

    private RunResult run(Scenario scenario, long seed, Policy decides, String variant)
            throws IOException, InterruptedException {
        if (trace == null) {
            return CheckedRuns.play(
                            scenario, seed, decides, variant, Guard.usual(), judged -> judged)
                    .result();
        }
        return TraceWriter.around(
                        trace,
                        Model.START,
                        seen ->
                                CheckedRuns.play(
                                        scenario, seed, decides, variant, Guard.usual(), seen))
                .result();
    }

    private void print(Scenario scenario, String variant, List<RunResult> results) {
        out().println(scenario.name() + ", " + variant);
        ResultText.runs(results).forEach(out()::println);
        if (results.size() == 1) {
            ResultText.details(results.get(0)).forEach(out()::println);
        }
    }

    private static RunResult result(Future<RunResult> run)
            throws IOException, InterruptedException {
        try {
            return run.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException unwritten) {
                throw unwritten;
            }
            throw new IllegalStateException("a run failed", e.getCause());
        }
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private ParameterException usage(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}
