package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.Results;
import cedarrudder.lab.experiment.Summary;
import cedarrudder.lab.result.RunResult;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.math3.stat.StatUtils;

/** The plots that have a row for each variant. */
final class Plots {

    private static final List<Metric> PERCENTILES =
            List.of(Metric.P50, Metric.P90, Metric.P99, Metric.P999);
    private static final int CROSS = 5;
    private static final List<Metric> EFFORT =
            List.of(Metric.ATTEMPTS, Metric.PROBES, Metric.COPIES);

    private final Results results;
    private final List<Manifest.Contestant> variants;

    Plots(Results results) {
        this.results = results;
        this.variants = results.manifest().variants();
    }

    /** Differences against the baseline, on all scenarios. */
    Plot differences(Metric metric) {
        String baseline = results.manifest().baseline();
        RowPlot plot =
                new RowPlot(metric.title() + ": variant less " + baseline + ", " + metric.unit())
                        .reference(0);
        int better = plot.kind("better", 0, true, Style.BLUE);
        int worse = plot.kind("worse", 1, true, Style.RED);
        int open = plot.kind("open: the interval holds 0", 3, false, Style.GREY);
        for (Manifest.Stage stage : results.manifest().scenarios()) {
            plot.heading(stage.name());
            for (Manifest.Contestant variant : variants) {
                if (!variant.name().equals(baseline)) {
                    Summary difference =
                            Summary.difference(
                                    metric,
                                    results.of(stage.name(), variant.name()),
                                    results.of(stage.name(), baseline));
                    int verdict = difference.verdict(metric);
                    plot.row(variant.name());
                    plot.mark(
                            verdict > 0 ? better : verdict < 0 ? worse : open,
                            difference.mean(),
                            difference.interval().low(),
                            difference.interval().high());
                }
            }
        }
        return plot.plot();
    }

    /** Percentiles of latency, as means over seeds. */
    Plot latency(String scenario) {
        RowPlot plot = new RowPlot("latency from the first try to the answer, ms").logarithmic();
        means(plot, scenario, PERCENTILES, List.of("50th percentile", "90th", "99th", "99.9th"));
        return plot.plot();
    }

    /** What a request costs others: attempts, probes and hedged requests. */
    Plot effort(String scenario) {
        RowPlot plot = new RowPlot("messages a request, all tiers").fromZero();
        means(
                plot,
                scenario,
                EFFORT,
                List.of("attempts", "probes", "of the attempts, second copies"));
        return plot.plot();
    }

    private void means(RowPlot plot, String scenario, List<Metric> metrics, List<String> names) {
        for (int i = 0; i < metrics.size(); i++) {
            plot.kind(names.get(i), i, i % 2 == 0, Style.colour(i));
        }
        for (Manifest.Contestant variant : variants) {
            plot.row(variant.name());
            List<RunResult> runs = results.of(scenario, variant.name());
            for (int i = 0; i < metrics.size(); i++) {
                plot.mark(
                        i,
                        runs.stream().mapToDouble(metrics.get(i)::of).average().orElse(Double.NaN));
            }
        }
    }

    /**
     * How evenly the nodes of each tier are used, and whether fast ones are used for what they can
     * do.
     */
    Plot load(String scenario) {
        Map<String, List<String>> kinds = kinds(scenario);
        RowPlot plot = new RowPlot("share of the time of a node's cores in use").fromZero();
        int all =
                plot.kind(
                        "5th to 95th percentile of a tier's nodes",
                        RowPlot.NO_MARK,
                        true,
                        Style.GREY);
        int max = kinds.values().stream().mapToInt(List::size).max().orElse(0);
        for (int rank = 0; rank < max; rank++) {
            plot.kind(
                    rank == 0 ? "middle node of the fastest kind" : "of kind " + (rank + 1),
                    rank,
                    rank % 2 == 0,
                    Style.colour(rank));
        }
        int busiest = plot.kind("busiest node", CROSS, true, Style.INK);
        kinds.forEach(
                (tier, names) -> {
                    plot.heading(tier);
                    for (Manifest.Contestant variant : variants) {
                        plot.row(variant.name());
                        double[] busy = busy(scenario, variant, node -> node.tier().equals(tier));
                        if (busy.length > 0) {
                            plot.mark(
                                    all,
                                    StatUtils.percentile(busy, 50),
                                    StatUtils.percentile(busy, 5),
                                    StatUtils.percentile(busy, 95));
                            plot.mark(busiest, Arrays.stream(busy).max().orElseThrow());
                            for (int rank = 0; rank < names.size(); rank++) {
                                String kind = names.get(rank);
                                double[] own =
                                        busy(
                                                scenario,
                                                variant,
                                                node ->
                                                        node.tier().equals(tier)
                                                                && node.kind().equals(kind));
                                plot.mark(all + 1 + rank, StatUtils.percentile(own, 50));
                            }
                        }
                    }
                });
        return plot.plot();
    }

    /** The kinds of each tier, the fastest first. */
    Map<String, List<String>> kinds(String scenario) {
        Map<String, Map<String, Double>> speeds =
                variants.stream()
                        .flatMap(v -> nodes(scenario, v))
                        .collect(
                                Collectors.groupingBy(
                                        RunResult.NodeResult::tier,
                                        LinkedHashMap::new,
                                        Collectors.groupingBy(
                                                RunResult.NodeResult::kind,
                                                LinkedHashMap::new,
                                                Collectors.averagingDouble(
                                                        RunResult.NodeResult::speed))));
        Map<String, List<String>> kinds = new LinkedHashMap<>();
        speeds.forEach(
                (tier, each) ->
                        kinds.put(
                                tier,
                                each.entrySet().stream()
                                        .sorted(
                                                Map.Entry.<String, Double>comparingByValue()
                                                        .reversed())
                                        .map(Map.Entry::getKey)
                                        .toList()));
        return kinds;
    }

    private Stream<RunResult.NodeResult> nodes(String scenario, Manifest.Contestant variant) {
        return results.of(scenario, variant.name()).stream().flatMap(run -> run.nodes().stream());
    }

    private double[] busy(
            String scenario, Manifest.Contestant variant, Predicate<RunResult.NodeResult> which) {
        return nodes(scenario, variant)
                .filter(which)
                .mapToDouble(RunResult.NodeResult::busy)
                .toArray();
    }
}
