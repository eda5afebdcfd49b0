package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Results;
import cedarrudder.lab.experiment.RunKey;
import cedarrudder.lab.result.RunResult;
import java.util.List;
import java.util.SortedMap;
import java.util.function.BiFunction;
import org.apache.commons.math3.stat.StatUtils;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** How a figure grows over the scenarios of a family, which differ in their number of nodes. */
final class GrowthPlot {

    private static final int WIDTH = 440;
    private static final int HEIGHT = 330;
    private static final double MICROSECONDS = 1e6;

    private final Results results;
    private final String family;

    GrowthPlot(Results results, String family) {
        this.results = results;
        this.family = family;
    }

    /** A figure as the median over runs, against the mean number of nodes over all tiers. */
    Plot plot(String unit, BiFunction<RunResult, RunResult.Cost, Double> figure) {
        XYSeriesCollection lines = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, true);
        renderer.setDrawSeriesLineAsPath(true);
        int number = 0;
        for (Manifest.Contestant variant : results.manifest().variants()) {
            XYSeries line = new XYSeries(variant.name());
            for (Manifest.Stage stage : results.manifest().scenarios()) {
                if (stage.family().equals(family)) {
                    add(line, stage.name(), variant.name(), figure);
                }
            }
            lines.addSeries(line);
            renderer.setSeriesPaint(number, Style.colour(number));
            renderer.setSeriesStroke(number, Style.line(number));
            renderer.setSeriesShape(number, Style.mark(number));
            number++;
        }
        DecadeAxis nodes = new DecadeAxis("nodes, all tiers");
        NumberAxis values = new NumberAxis(unit);
        values.setAutoRangeIncludesZero(true);
        Style.axis(nodes);
        values.setTickLabelInsets(new RectangleInsets(8, 2, 8, 2));
        Style.axis(values);
        XYPlot plot = new XYPlot(lines, nodes, values, renderer);
        Style.plot(plot);
        return new Plot(Style.chart(plot, true), WIDTH, HEIGHT);
    }

    private void add(
            XYSeries line,
            String scenario,
            String variant,
            BiFunction<RunResult, RunResult.Cost, Double> figure) {
        List<RunResult> runs = results.of(scenario, variant);
        SortedMap<RunKey, RunResult.Cost> costs = results.costsOf(scenario, variant);
        double nodes =
                runs.stream()
                        .mapToInt(
                                run ->
                                        run.tiers().stream()
                                                .mapToInt(RunResult.TierResult::nodes)
                                                .sum())
                        .average()
                        .orElse(0);
        // The median: a run that met a busy machine or cold code doesn't count for all.
        double value =
                StatUtils.percentile(
                        runs.stream()
                                .filter(run -> costs.containsKey(RunKey.of(run)))
                                .mapToDouble(run -> figure.apply(run, costs.get(RunKey.of(run))))
                                .toArray(),
                        50);
        if (nodes > 0 && !Double.isNaN(value)) {
            line.add(nodes, value);
        }
    }

    /** Processor time of the whole model for each request, in microseconds. */
    static double cpu(RunResult run, RunResult.Cost cost) {
        return MICROSECONDS * cost.cpuSeconds() / Math.max(1, run.requests());
    }

    /** Time inside the decisions for each request, in microseconds. */
    static double decisions(RunResult run, RunResult.Cost cost) {
        return MICROSECONDS * cost.decisionSeconds() / Math.max(1, run.requests());
    }
}
