package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.Results;
import cedarrudder.lab.experiment.Summary;
import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** The tables of a report, as texts: the page and the terminal show the same. */
final class Tables {

    /**
     * A table.
     *
     * @param title what it shows
     * @param heads a text for each column
     * @param rows as many texts each
     * @param texts how many columns, from the first, are aligned to the left
     */
    record Table(String title, List<String> heads, List<List<String>> rows, int texts) {}

    private static final List<Metric> SHOWN =
            List.of(
                    Metric.GOODPUT,
                    Metric.WHOLE,
                    Metric.WORST_WINDOW,
                    Metric.WORST_CLASS,
                    Metric.P50,
                    Metric.P99,
                    Metric.P999,
                    Metric.ATTEMPTS,
                    Metric.PROBES,
                    Metric.BREACHES);

    private final Results results;
    private final Manifest manifest;

    Tables(Results results) {
        this.results = results;
        this.manifest = results.manifest();
    }

    /** What takes part. */
    Table variants() {
        return new Table(
                "Variants",
                List.of("variant", "policy", "sets"),
                manifest.variants().stream()
                        .map(
                                v ->
                                        List.of(
                                                v.name().equals(manifest.baseline())
                                                        ? v.name() + " (baseline)"
                                                        : v.name(),
                                                v.policy(),
                                                v.sets()))
                        .toList(),
                3);
    }

    /** The means of one scenario. */
    Table means(String scenario) {
        List<String> heads = new ArrayList<>(List.of("variant", "seeds"));
        SHOWN.forEach(metric -> heads.add(metric.toString()));
        heads.add("median goodput");
        heads.add("worst goodput (seed)");
        List<List<String>> rows = new ArrayList<>();
        for (Manifest.Contestant variant : manifest.variants()) {
            List<RunResult> runs = results.of(scenario, variant.name());
            List<String> row =
                    new ArrayList<>(List.of(variant.name(), String.valueOf(runs.size())));
            for (Metric metric : SHOWN) {
                row.add(
                        Numbers.of(
                                runs.stream()
                                        .mapToDouble(metric::of)
                                        .average()
                                        .orElse(Double.NaN)));
            }
            Summary goodput = Summary.of(Metric.GOODPUT, runs);
            row.add(Numbers.of(goodput.median()));
            row.add(Numbers.worst(goodput));
            rows.add(row);
        }
        return new Table("Means over seeds; latencies in ms", heads, rows, 1);
    }

    /** The differences in one metric against the baseline, on all scenarios. */
    Table differences(Metric metric) {
        List<List<String>> rows = new ArrayList<>();
        for (Manifest.Stage stage : manifest.scenarios()) {
            for (Manifest.Contestant variant : manifest.variants()) {
                if (!variant.name().equals(manifest.baseline())) {
                    Summary difference =
                            Summary.difference(
                                    metric,
                                    results.of(stage.name(), variant.name()),
                                    results.of(stage.name(), manifest.baseline()));
                    int verdict = difference.verdict(metric);
                    rows.add(
                            List.of(
                                    stage.name(),
                                    variant.name(),
                                    verdict > 0 ? "better" : verdict < 0 ? "worse" : "open",
                                    String.valueOf(difference.seeds()),
                                    Numbers.signed(difference.mean()),
                                    Numbers.interval(difference.interval()),
                                    Numbers.signed(difference.median()),
                                    difference.seeds() == 0
                                            ? Numbers.NONE
                                            : Numbers.signed(difference.worst())
                                                    + " ("
                                                    + difference.worstSeed()
                                                    + ")"));
                }
            }
        }
        return new Table(
                metric.title() + ", " + metric.unit() + ": variant less " + manifest.baseline(),
                List.of(
                        "scenario",
                        "variant",
                        "verdict",
                        "seeds",
                        "mean",
                        "95 % interval",
                        "median",
                        "worst (seed)"),
                rows,
                3);
    }

    /** How each class of requests fared on one scenario. */
    Table classes(String scenario) {
        List<List<String>> rows = new ArrayList<>();
        for (Manifest.Contestant variant : manifest.variants()) {
            List<RunResult> runs = results.of(scenario, variant.name());
            List<String> names =
                    runs.isEmpty()
                            ? List.of()
                            : runs.get(0).classes().stream()
                                    .map(RunResult.ClassResult::name)
                                    .toList();
            for (String name : names) {
                List<RunResult.ClassResult> each =
                        runs.stream()
                                .flatMap(run -> run.classes().stream())
                                .filter(c -> c.name().equals(name))
                                .toList();
                double asked =
                        Math.max(1, each.stream().mapToLong(RunResult.ClassResult::requests).sum());
                List<String> row =
                        new ArrayList<>(
                                List.of(
                                        name,
                                        variant.name(),
                                        Numbers.of(
                                                each.stream()
                                                        .mapToDouble(RunResult.ClassResult::goodput)
                                                        .average()
                                                        .orElse(Double.NaN))));
                Stream.<ToLongFunction<RunResult.ClassResult>>of(
                                RunResult.ClassResult::inAim,
                                RunResult.ClassResult::late,
                                RunResult.ClassResult::refused,
                                RunResult.ClassResult::failed,
                                RunResult.ClassResult::unanswered)
                        .forEach(
                                part ->
                                        row.add(
                                                Numbers.of(
                                                        each.stream().mapToLong(part).sum()
                                                                / asked)));
                row.add(
                        Numbers.of(
                                each.stream()
                                        .mapToDouble(c -> c.latency().p99())
                                        .average()
                                        .orElse(Double.NaN)));
                rows.add(row);
            }
        }
        rows.sort(Comparator.comparing(row -> row.get(0)));
        return new Table(
                "By class: shares of first tries",
                List.of(
                        "class",
                        "variant",
                        "goodput",
                        "in aim",
                        "late",
                        "refused",
                        "failed",
                        "unanswered",
                        "p99, ms"),
                rows,
                2);
    }

    /** Runs that broke a rule or were ended early. */
    Table troubles() {
        List<List<String>> rows = new ArrayList<>();
        for (RunResult run : results.runs().values()) {
            for (RunResult.Breach breach : run.breaches()) {
                rows.add(
                        List.of(
                                run.scenario(),
                                run.variant(),
                                String.valueOf(run.seed()),
                                "rule "
                                        + breach.rule()
                                        + " at "
                                        + Numbers.of(breach.at())
                                        + " s, proxy "
                                        + breach.proxy()
                                        + ", RPC "
                                        + breach.rpc()
                                        + ", node "
                                        + breach.endpoint()
                                        + ": "
                                        + breach.what()
                                        + (breach.count() > 1
                                                ? "; " + breach.count() + " in all"
                                                : "")));
            }
            if (!run.finding().isEmpty()) {
                rows.add(
                        List.of(
                                run.scenario(),
                                run.variant(),
                                String.valueOf(run.seed()),
                                "ended early: " + run.finding()));
            }
        }
        return new Table(
                "Breaches of rules, and runs that were ended early",
                List.of("scenario", "variant", "seed", "what"),
                rows,
                4);
    }
}
