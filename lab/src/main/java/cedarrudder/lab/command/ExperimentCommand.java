package cedarrudder.lab.command;

import cedarrudder.balancer.LoadBalancer;
import cedarrudder.lab.baselines.Policies;
import cedarrudder.lab.experiment.CodeHash;
import cedarrudder.lab.experiment.Experiment;
import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Plan;
import cedarrudder.lab.experiment.PlanReader;
import cedarrudder.lab.experiment.ResultDirectory;
import cedarrudder.lab.experiment.Runner;
import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.model.NullTrace;
import cedarrudder.lab.policy.Policy;
import cedarrudder.lab.scenario.ScenarioReader;
import cedarrudder.toml.InvalidFileException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Makes the runs of a plan that its directory of results lacks. */
@Command(
        name = "experiment",
        description = {
            "Makes the runs of a plan: scenarios x variants x seeds.",
            "Where DIR has some of them, the others are made."
        })
public final class ExperimentCommand implements Callable<Integer> {

    private static final int DONE = 0;
    private static final int FAILED = 1;
    private static final int BAD_USAGE = 2;

    /** This avoids a disk that hangs and keeps a program that should end. */
    private static final long CLOSE_SECONDS = 10;

    private static final boolean TERMINAL = System.console() != null;
    private static final long SCREEN_EVERY = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long LINE_EVERY = TimeUnit.SECONDS.toNanos(10);

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "PLAN", description = "The plan, a TOML file.")
    private Path file;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            required = true,
            description = "The directory of the results.")
    private Path folder;

    @Option(
            names = "--threads",
            paramLabel = "N",
            defaultValue = "1",
            description = "Runs made at the same time; results don't depend on it. Default: 1.")
    private int threads;

    @Option(
            names = "--strict",
            description = "Exit with 1 where a run broke a rule or was ended early.")
    private boolean strict;

    /**
     * 0 when all runs are there; 1 when one is missing, can't be written, or in strict mode broke a
     * rule; 2 for a bad plan or a directory of something else.
     */
    @Override
    public Integer call() {
        PrintWriter errors = spec.commandLine().getErr();
        if (threads < 1) {
            errors.println("experiment: --threads: found " + threads + "; allowed: 1 or more");
            return BAD_USAGE;
        }
        try {
            List<String> policies = new ArrayList<>(Policies.names());
            policies.addAll(Policies.brokenNames());
            Plan plan = PlanReader.read(file, policies, ScenarioReader::read);
            Manifest manifest =
                    Manifest.of(
                            plan,
                            CodeHash.of(CodeHash.class, PlanReader.class, LoadBalancer.class));
            CountDownLatch closed = new CountDownLatch(1);
            try (ResultDirectory directory = ResultDirectory.open(folder, manifest)) {
                return run(plan, directory, errors, closed);
            } finally {
                closed.countDown();
            }
        } catch (InvalidFileException e) {
            e.problems().forEach(errors::println);
            return BAD_USAGE;
        } catch (ResultDirectory.OtherPlanException e) {
            errors.println("experiment: " + e.getMessage());
            return BAD_USAGE;
        } catch (IOException e) {
            errors.println(
                    "experiment: "
                            + FileErrors.told(e)
                            + ". Finished runs are kept; mend the cause and"
                            + " run the same command to go on.");
            return FAILED;
        }
    }

    private int run(Plan plan, ResultDirectory directory, PrintWriter errors, CountDownLatch closed)
            throws IOException {
        Experiment experiment = new Experiment(plan, runner(plan), threads, progress(errors));
        // SIGINT and SIGTERM run this: results that are finished get to the disk before the program
        // ends.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    experiment.stop();
                                    try {
                                        closed.await(CLOSE_SECONDS, TimeUnit.SECONDS);
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                },
                                "interrupt"));
        int there = directory.size();
        errors.println(
                (there > 0 ? there + " runs are there; " : "")
                        + "making "
                        + (plan.jobs().size() - there)
                        + " runs, "
                        + threads
                        + " at a time.");
        errors.flush();
        Experiment.End end = experiment.run(directory);
        if (TERMINAL) {
            errors.println();
        }
        if (end.stopped()) {
            errors.println(
                    "Stopped: "
                            + end.finished()
                            + " of "
                            + end.all()
                            + " runs are in "
                            + folder
                            + ". Run the same command to go on.");
            errors.flush();
            return FAILED;
        }
        end.failed()
                .forEach(failure -> errors.println("experiment: the model failed on " + failure));
        long unsound = strict ? unsound() : 0;
        errors.println(
                end.finished()
                        + " of "
                        + end.all()
                        + " runs are in "
                        + folder
                        + (unsound > 0 ? "; " + unsound + " broke a rule or were ended early" : "")
                        + ". To see them: lab report "
                        + folder);
        errors.flush();
        return end.failed().isEmpty() && unsound == 0 ? DONE : FAILED;
    }

    /** The model, with the referee on unless decisions are measured. */
    private static Runner runner(Plan plan) {
        return job -> {
            String name = job.variant().name();
            Policy policy =
                    CheckedRuns.policy(
                            job.variant().policy(),
                            job.variant().tuning(),
                            job.variant().budgets());
            try {
                Model.Played played =
                        plan.measured()
                                ? Model.run(
                                        job.scenario(),
                                        job.seed(),
                                        policy,
                                        name,
                                        new NullTrace(),
                                        Guard.usual().measuring())
                                : CheckedRuns.play(
                                        job.scenario(),
                                        job.seed(),
                                        policy,
                                        name,
                                        Guard.usual(),
                                        trace -> trace);
                return new Runner.Measured(played.result(), played.cost());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("the run was given up", e);
            }
        };
    }

    private long unsound() throws IOException {
        return ResultDirectory.read(folder).runs().values().stream()
                .filter(run -> !run.breaches().isEmpty() || !run.finding().isEmpty())
                .count();
    }

    /** Overwrites one line on a terminal; elsewhere a new line now and then. */
    private static Consumer<String> progress(PrintWriter errors) {
        long[] last = {System.nanoTime() - LINE_EVERY};
        return line -> {
            long now = System.nanoTime();
            if (now - last[0] >= (TERMINAL ? SCREEN_EVERY : LINE_EVERY)) {
                last[0] = now;
                errors.print(TERMINAL ? "\r" + line + "   " : line + System.lineSeparator());
                errors.flush();
            }
        };
    }
}
