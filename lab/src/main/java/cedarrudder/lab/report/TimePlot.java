package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Results;
import cedarrudder.lab.result.RunResult;
import java.awt.BasicStroke;
import java.awt.Color;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Goodput over time, a strip for each variant with the baseline behind it, and the faults as grey
 * bands: the darker, the more seeds had a fault then.
 */
final class TimePlot {

    private static final int WIDTH = 900;
    private static final int STRIP = 84;
    private static final int AROUND = 60;
    private static final int MAX_POINTS = 180;
    private static final double HEADROOM = 0.06;
    private static final double HALF = 0.5;
    private static final int DARKEST = 50;

    private final Results results;
    private final String scenario;
    private final List<RunResult> base;
    private final int seconds;
    private final int step;

    TimePlot(Results results, String scenario) {
        this.results = results;
        this.scenario = scenario;
        this.base = results.of(scenario, results.manifest().baseline());
        this.seconds =
                results.manifest().variants().stream()
                        .flatMap(v -> results.of(scenario, v.name()).stream())
                        .mapToInt(TimePlot::asked)
                        .max()
                        .orElse(0);
        this.step = Math.max(1, (seconds + MAX_POINTS - 1) / MAX_POINTS);
    }

    /** The seconds of a run until the last in which anything was asked for. */
    private static int asked(RunResult run) {
        int last = run.series().size();
        while (last > 0 && run.series().get(last - 1).asked() == 0) {
            last--;
        }
        return last;
    }

    /** Worth served over worth asked for, in all runs together, by steps of some seconds. */
    private XYSeries goodput(String variant, List<RunResult> runs) {
        XYSeries line = new XYSeries(variant);
        for (int from = 0; from < seconds; from += step) {
            double asked = 0;
            double served = 0;
            for (RunResult run : runs) {
                for (RunResult.Second second :
                        run.series()
                                .subList(
                                        Math.min(from, run.series().size()),
                                        Math.min(from + step, run.series().size()))) {
                    asked += second.asked();
                    served += second.served();
                }
            }
            if (asked > 0) {
                line.add(from + step / 2.0, served / asked);
            }
        }
        return line;
    }

    Plot plot() {
        NumberAxis time = new NumberAxis("time since the start, s (upward: share of worth served)");
        time.setRange(0, Math.max(1, seconds));
        time.setTickLabelInsets(new RectangleInsets(2, 12, 2, 12));
        Style.axis(time);
        CombinedDomainXYPlot all = new CombinedDomainXYPlot(time);
        all.setGap(6);
        String baseline = results.manifest().baseline();
        List<XYSeriesCollection> strips = new ArrayList<>();
        for (Manifest.Contestant variant : results.manifest().variants()) {
            XYSeriesCollection lines = new XYSeriesCollection();
            lines.addSeries(goodput(variant.name(), results.of(scenario, variant.name())));
            if (!variant.name().equals(baseline)) {
                lines.addSeries(goodput(baseline, base));
            }
            strips.add(lines);
        }
        double min = min(strips);
        strips.forEach(lines -> all.add(strip(lines, min)));
        return new Plot(Style.chart(all, false), WIDTH, AROUND + STRIP * strips.size());
    }

    /** Where the scale of all strips begins: a tenth that is below all lines. */
    private static double min(List<XYSeriesCollection> strips) {
        double min =
                strips.stream()
                        .filter(lines -> lines.getItemCount(0) > 0)
                        .mapToDouble(lines -> lines.getSeries(0).getMinY())
                        .min()
                        .orElse(0);
        return Math.max(0, Math.min(0.9, Math.floor(min * 10 - 0.5) / 10));
    }

    private XYPlot strip(XYSeriesCollection lines, double min) {
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        renderer.setDrawSeriesLineAsPath(true);
        renderer.setSeriesPaint(0, Style.BLUE);
        renderer.setSeriesStroke(0, new BasicStroke(2));
        renderer.setSeriesPaint(1, Style.INK);
        renderer.setSeriesStroke(
                1,
                new BasicStroke(
                        1, BasicStroke.CAP_BUTT, BasicStroke.JOIN_ROUND, 1, new float[] {2, 2}, 0));
        NumberAxis share = new NumberAxis(lines.getSeries(0).getKey().toString());
        // Names lie along the rows, as they do in the other plots.
        share.setLabelAngle(Math.PI / 2);
        share.setRange(min, 1 + (1 - min) * HEADROOM);
        share.setTickUnit(new NumberTickUnit(min < HALF ? HALF : (1 - min) / 2));
        Style.axis(share);
        XYPlot plot = new XYPlot(lines, null, share, renderer);
        Style.plot(plot);
        bands().forEach(band -> plot.addDomainMarker(band, Layer.BACKGROUND));
        return plot;
    }

    /** Stretches of time over which the same number of seeds had a fault. */
    private List<IntervalMarker> bands() {
        List<IntervalMarker> bands = new ArrayList<>();
        int from = 0;
        for (int second = 1; second <= seconds; second++) {
            if (second == seconds || faulty(second) != faulty(from)) {
                if (faulty(from) > 0) {
                    int alpha = Math.max(1, DARKEST * faulty(from) / base.size());
                    bands.add(new IntervalMarker(from, second, new Color(0, 0, 0, alpha)));
                }
                from = second;
            }
        }
        return bands;
    }

    private int faulty(int second) {
        return (int)
                base.stream()
                        .filter(
                                run ->
                                        run.faults().stream()
                                                .anyMatch(
                                                        band ->
                                                                band.from() < second + 1
                                                                        && band.to() > second))
                        .count();
    }

    /** The faults in words: what, where, and between which times it came and went. */
    List<String> faults() {
        Map<String, double[]> spans = new LinkedHashMap<>();
        for (RunResult run : base) {
            for (RunResult.Band band : run.faults()) {
                String fault =
                        band.trouble().toLowerCase(Locale.ROOT).replace('_', ' ')
                                + (band.tier().isEmpty() ? "" : " in " + band.tier());
                double[] span =
                        spans.computeIfAbsent(
                                fault,
                                name ->
                                        new double[] {
                                            band.from(), band.to(), band.machines(), band.machines()
                                        });
                span[0] = Math.min(span[0], band.from());
                span[1] = Math.max(span[1], band.to());
                span[2] = Math.min(span[2], band.machines());
                span[3] = Math.max(span[3], band.machines());
            }
        }
        return spans.entrySet().stream()
                .map(
                        e -> {
                            double[] span = e.getValue();
                            String machines =
                                    span[3] == 0
                                            ? ""
                                            : span[2] == span[3]
                                                    ? String.format(Locale.ROOT, ", %.0f", span[2])
                                                    : String.format(
                                                            Locale.ROOT,
                                                            ", %.0f to %.0f",
                                                            span[2],
                                                            span[3]);
                            return String.format(
                                    Locale.ROOT,
                                    "%s%s: from %.1f to %.1f s",
                                    e.getKey(),
                                    machines.isEmpty()
                                            ? ""
                                            : machines + (span[3] == 1 ? " machine" : " machines"),
                                    span[0],
                                    span[1]);
                        })
                .toList();
    }
}
