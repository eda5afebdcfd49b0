package cedarrudder.lab.report;

import cedarrudder.lab.experiment.Manifest;
import cedarrudder.lab.experiment.Metric;
import cedarrudder.lab.experiment.Results;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** What an experiment came to: as one HTML page, as text for the terminal, or as means in CSV. */
public final class Report {

    private static final String INTERVALS =
            "Differences are paired by seed; bars are 95 % intervals of the mean by the bootstrap"
                    + " (BCa, 10,000 resamples). Where a bar holds 0 the difference is open.";

    private final Results results;
    private final Manifest manifest;
    private final Tables tables;

    /** A report of results, which need not be complete. */
    public Report(Results results) {
        this.results = results;
        this.manifest = results.manifest();
        this.tables = new Tables(results);
    }

    /** How much of the experiment there is. */
    private String extent() {
        return results.runs().size()
                + " of "
                + manifest.runs()
                + " runs: "
                + manifest.scenarios().size()
                + " scenarios, "
                + manifest.variants().size()
                + " variants, seeds "
                + manifest.firstSeed()
                + " to "
                + manifest.lastSeed()
                + ". Baseline: "
                + manifest.baseline()
                + ".";
    }

    // ---- text ----

    /** Tables for the terminal. */
    public String text() {
        StringBuilder text =
                new StringBuilder(
                        manifest.name() + ": " + manifest.about() + "\n" + extent() + "\n");
        for (Manifest.Stage stage : manifest.scenarios()) {
            text.append('\n').append(stage.name()).append(": ").append(stage.about()).append('\n');
            append(text, tables.means(stage.name()));
        }
        for (Metric metric : manifest.metrics()) {
            append(text.append('\n'), tables.differences(metric));
        }
        Tables.Table troubles = tables.troubles();
        if (!troubles.rows().isEmpty()) {
            append(text.append('\n'), troubles);
        }
        return text.toString();
    }

    private static void append(StringBuilder text, Tables.Table table) {
        List<List<String>> lines = new ArrayList<>(table.rows());
        lines.add(0, table.heads());
        int[] widths = new int[table.heads().size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        text.append(table.title()).append('\n');
        for (List<String> line : lines) {
            StringBuilder row = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                String pad = " ".repeat(widths[i] - line.get(i).length());
                row.append(i > 0 ? "  " : "")
                        .append(i < table.texts() ? line.get(i) + pad : pad + line.get(i));
            }
            text.append(row.toString().stripTrailing()).append('\n');
        }
    }

    /** The means over seeds of one metric as CSV: variant, kind (the scenario) and mean. */
    public String means(Metric metric) {
        StringBuilder text = new StringBuilder("variant,kind,mean\n");
        for (Manifest.Contestant variant : manifest.variants()) {
            for (Manifest.Stage stage : manifest.scenarios()) {
                results.of(stage.name(), variant.name()).stream()
                        .mapToDouble(metric::of)
                        .average()
                        .ifPresent(
                                mean ->
                                        text.append(variant.name())
                                                .append(',')
                                                .append(stage.name())
                                                .append(',')
                                                .append(mean)
                                                .append('\n'));
            }
        }
        return text.toString();
    }

    // ---- the page ----

    /**
     * The page.
     *
     * @throws IOException if the machine has no fonts
     */
    public String html() throws IOException {
        HtmlPage page = new HtmlPage(manifest.name());
        page.add("p", manifest.about());
        page.add("p", extent());
        List<String[]> index = new ArrayList<>();
        index.add(new String[] {"differences", "Differences"});
        manifest.scenarios().forEach(s -> index.add(new String[] {"s-" + s.name(), s.name()}));
        families().forEach(f -> index.add(new String[] {"g-" + f, "Growth: " + f}));
        index.add(new String[] {"troubles", "Breaches and findings"});
        page.index(index);
        add(page, tables.variants());
        differences(page);
        manifest.scenarios().forEach(stage -> scenario(page, stage));
        families().forEach(family -> growth(page, family));
        page.section("troubles", "Breaches and findings");
        Tables.Table troubles = tables.troubles();
        if (!manifest.judged()) {
            page.add(
                    "p",
                    "No referee watched these runs, since the time inside decisions was measured.");
        }
        if (troubles.rows().isEmpty()) {
            page.add(
                    "p",
                    manifest.judged()
                            ? "None: no run broke a rule, none was ended early."
                            : "No run was ended early.");
        } else {
            add(page, troubles);
        }
        page.note("Plan " + manifest.planHash() + ", code " + manifest.codeHash() + ".");
        return page.text();
    }

    private static void add(HtmlPage page, Tables.Table table) {
        page.add("h3", table.title());
        page.table(table.heads(), table.rows(), table.texts());
    }

    private void differences(HtmlPage page) {
        page.section("differences", "Differences");
        if (manifest.variants().size() < 2) {
            page.add("p", "There is one variant, so nothing to compare it to.");
            return;
        }
        Plots plots = new Plots(results);
        for (Metric metric : manifest.metrics()) {
            page.figure(
                    metric.title() + ": who differs from " + manifest.baseline() + "?",
                    plots.differences(metric),
                    INTERVALS + (metric.more() ? " More is better." : " Less is better."));
        }
        manifest.metrics().forEach(metric -> add(page, tables.differences(metric)));
    }

    private void scenario(HtmlPage page, Manifest.Stage stage) {
        String name = stage.name();
        page.section("s-" + name, name);
        page.add("p", stage.about());
        add(page, tables.means(name));
        Plots plots = new Plots(results);
        TimePlot time = new TimePlot(results, name);
        page.figure(
                "When was worth lost?",
                time.plot(),
                "Worth served within its aim over worth asked for, "
                        + "by the time of the first try; all seeds together. Dotted: "
                        + manifest.baseline()
                        + ". "
                        + (time.faults().isEmpty()
                                ? "No faults."
                                : "Grey: faults, darker where more seeds had one "
                                        + "then. "
                                        + String.join("; ", time.faults())
                                        + "."));
        page.figure(
                "How long did answers take?",
                plots.latency(name),
                "Means over seeds of each percentile.");
        page.figure(
                "How was load spread over nodes?",
                plots.load(name),
                "All nodes of all seeds. Kinds, the fastest first: "
                        + plots.kinds(name).entrySet().stream()
                                .map(e -> e.getKey() + ": " + String.join(", ", e.getValue()))
                                .collect(Collectors.joining("; "))
                        + ".");
        page.figure("What did a request cost?", plots.effort(name), "Means over seeds.");
        add(page, tables.classes(name));
    }

    private List<String> families() {
        return manifest.scenarios().stream()
                .map(Manifest.Stage::family)
                .filter(f -> !f.isEmpty())
                .distinct()
                .toList();
    }

    private void growth(HtmlPage page, String family) {
        page.section("g-" + family, "Growth: " + family);
        page.note("Medians over seeds. Times are those of the machine that ran the model.");
        GrowthPlot plot = new GrowthPlot(results, family);
        page.sideBySide(
                () -> {
                    page.figure(
                            "Does service hold?",
                            plot.plot(
                                    "goodput, share of worth",
                                    (run, cost) -> Metric.GOODPUT.of(run)),
                            "");
                    page.figure(
                            "Does latency grow?",
                            plot.plot("99th percentile, ms", (run, cost) -> Metric.P99.of(run)),
                            "");
                    page.figure(
                            "Do probes grow?",
                            plot.plot("probes a request", (run, cost) -> Metric.PROBES.of(run)),
                            "");
                    page.figure(
                            "Do attempts grow?",
                            plot.plot("attempts a request", (run, cost) -> Metric.ATTEMPTS.of(run)),
                            "");
                    page.figure(
                            "What does the model cost?",
                            plot.plot("processor time a request, µs", GrowthPlot::cpu),
                            "");
                    if (results.costs().values().stream()
                            .anyMatch(cost -> cost.decisionSeconds() > 0)) {
                        page.figure(
                                "What do decisions cost?",
                                plot.plot("time deciding a request, µs", GrowthPlot::decisions),
                                "");
                    }
                });
    }
}
