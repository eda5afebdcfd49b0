package cedarrudder.lab.command;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.lab.baselines.Policies;
import cedarrudder.lab.emulator.EmulationResult;
import cedarrudder.lab.emulator.Emulator;
import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.ResultDirectory;
import cedarrudder.lab.experiment.Runner;
import cedarrudder.lab.model.Guard;
import cedarrudder.lab.model.Model;
import cedarrudder.lab.report.Report;
import cedarrudder.lab.result.RunResult;
import cedarrudder.lab.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Runs of the emulator beside the model's of the same scenario and seeds, as an experiment's
 * results.
 */
final class ModelComparison {

    private static final String MODEL = "model";

    /** A run on sockets that the machine spoiled: it stands apart, so that no mean counts it. */
    private static final String LATE = Emulator.VARIANT + ", late";

    private final Scenario scenario;
    private final List<RunResult> model = new ArrayList<>();
    private final List<RunResult> emulator = new ArrayList<>();

    ModelComparison(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Adds a run of the emulator, and plays the model's. */
    void add(EmulationResult emulated) throws InterruptedException {
        RunResult run = emulated.result();
        emulator.add(run.as(emulated.own().ranLate() ? LATE : Emulator.VARIANT));
        Model.Played played =
                CheckedRuns.play(
                        scenario,
                        run.seed(),
                        CheckedRuns.policy(Policies.OWN, BalancerParameters.DEFAULTS, null),
                        MODEL,
                        Guard.usual(),
                        judged -> judged);
        model.add(played.result());
    }

    /** A line for each seed, and the mean difference of the runs that count. */
    List<String> lines() {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "seed",
                        "goodput model",
                        "emulator",
                        "difference",
                        "p50 ms",
                        "",
                        "p99 ms",
                        "",
                        "attempts",
                        "",
                        ""));
        double sum = 0;
        int counted = 0;
        for (int i = 0; i < model.size(); i++) {
            RunResult m = model.get(i);
            RunResult e = emulator.get(i);
            boolean late = e.variant().equals(LATE);
            rows.add(
                    List.of(
                            Long.toString(m.seed()),
                            figure(m.goodput(), 4),
                            figure(e.goodput(), 4),
                            figure(e.goodput() - m.goodput(), 4),
                            figure(m.latency().p50(), 1),
                            figure(e.latency().p50(), 1),
                            figure(m.latency().p99(), 1),
                            figure(e.latency().p99(), 1),
                            figure(m.attempts(), 3),
                            figure(e.attempts(), 3),
                            late ? "late" : ""));
            sum += late ? 0 : e.goodput() - m.goodput();
            counted += late ? 0 : 1;
        }
        List<String> lines = new ArrayList<>(ResultText.table(rows));
        lines.add(
                counted == 0
                        ? "no run counts: the machine ran late in all"
                        : "mean difference of " + counted + " runs: " + figure(sum / counted, 4));
        return lines;
    }

    private static String figure(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    /** Writes the results and their report; gives the path of the page. */
    Path write(Path folder) throws IOException {
        List<Manifest.Contestant> contestants = new ArrayList<>();
        contestants.add(new Manifest.Contestant(MODEL, Policies.OWN, ""));
        for (String variant : List.of(Emulator.VARIANT, LATE)) {
            if (emulator.stream().anyMatch(run -> run.variant().equals(variant))) {
                contestants.add(new Manifest.Contestant(variant, Policies.OWN, ""));
            }
        }
        long first = model.get(0).seed();
        long last = model.get(model.size() - 1).seed();
        Manifest manifest =
                new Manifest(
                        scenario.name(),
                        scenario.about(),
                        "model and emulator",
                        Long.toString(System.currentTimeMillis()),
                        MODEL,
                        List.of(new Manifest.Stage(scenario.name(), scenario.about(), "")),
                        contestants,
                        first,
                        last,
                        List.of(Metric.GOODPUT, Metric.WHOLE, Metric.P50, Metric.P99),
                        true);
        try (ResultDirectory results = ResultDirectory.open(folder, manifest)) {
            for (int i = 0; i < model.size(); i++) {
                results.add(new Runner.Measured(model.get(i), new RunResult.Cost(0, 0, 0)));
                results.add(new Runner.Measured(emulator.get(i), new RunResult.Cost(0, 0, 0)));
            }
        } catch (ResultDirectory.OtherPlanException e) {
            throw new IOException(e.getMessage(), e);
        }
        // Plots are drawn without a screen.
        System.setProperty("java.awt.headless", "true");
        Path page = folder.resolve("report.html");
        Files.writeString(page, new Report(ResultDirectory.read(folder)).html());
        return page;
    }
}
