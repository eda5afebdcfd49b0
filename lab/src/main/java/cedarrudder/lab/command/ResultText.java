package cedarrudder.lab.command;

import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Results as tables for the terminal. */
final class ResultText {

    private static final List<String> HEAD =
            List.of(
                    "seed",
                    "requests",
                    "goodput",
                    "whole",
                    "window",
                    "class",
                    "tenant",
                    "p50 ms",
                    "p99 ms",
                    "p99.9 ms",
                    "attempts",
                    "probes",
                    "rules");

    private ResultText() {}

    /** One line for each run, their mean where there are several, and what went wrong in them. */
    static List<String> runs(List<RunResult> results) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(HEAD);
        results.forEach(result -> rows.add(row(result)));
        if (results.size() > 1) {
            rows.add(mean(results));
        }
        List<String> lines = new ArrayList<>(table(rows));
        for (RunResult result : results) {
            if (!result.finding().isEmpty()) {
                lines.add("seed " + result.seed() + ": ended early: " + result.finding());
            }
            for (RunResult.Breach breach : result.breaches()) {
                lines.add("seed " + result.seed() + ": " + breach(breach));
            }
        }
        return lines;
    }

    /** A breach in words. */
    static String breach(RunResult.Breach breach) {
        return "rule "
                + breach.rule()
                + " broken "
                + breach.count()
                + " times, first at "
                + figure(breach.at(), 3)
                + " s by proxy "
                + breach.proxy()
                + (breach.rpc() < 0 ? "" : ", RPC " + breach.rpc())
                + (breach.endpoint() < 0 ? "" : ", endpoint " + breach.endpoint())
                + ": "
                + breach.what();
    }

    private static List<String> row(RunResult result) {
        RunResult.Latency latency = result.latency();
        return List.of(
                Long.toString(result.seed()),
                Long.toString(result.requests()),
                figure(result.goodput(), 4),
                figure(result.whole(), 4),
                figure(result.worstWindow(), 4),
                figure(result.worstClass(), 4),
                result.tenants().isEmpty() ? "-" : figure(result.worstTenant(), 4),
                figure(latency.p50(), 1),
                figure(latency.p99(), 1),
                figure(latency.p999(), 1),
                figure(result.attempts(), 3),
                figure(result.probes(), 3),
                !result.finding().isEmpty()
                        ? "ended"
                        : result.breaches().isEmpty() ? "kept" : "broken");
    }

    private static List<String> mean(List<RunResult> all) {
        boolean tenants = !all.get(0).tenants().isEmpty();
        return List.of(
                "mean",
                mean(all, RunResult::requests, 0),
                mean(all, RunResult::goodput, 4),
                mean(all, RunResult::whole, 4),
                mean(all, RunResult::worstWindow, 4),
                mean(all, RunResult::worstClass, 4),
                tenants ? mean(all, RunResult::worstTenant, 4) : "-",
                mean(all, r -> r.latency().p50(), 1),
                mean(all, r -> r.latency().p99(), 1),
                mean(all, r -> r.latency().p999(), 1),
                mean(all, RunResult::attempts, 3),
                mean(all, RunResult::probes, 3),
                "");
    }

    private static String mean(
            List<RunResult> all, ToDoubleFunction<RunResult> figure, int digits) {
        return figure(all.stream().mapToDouble(figure).average().orElse(0), digits);
    }

    /** What one run came to: charges, classes, tiers and faults. */
    static List<String> details(RunResult result) {
        List<String> lines = new ArrayList<>();
        RunResult.Charges charges = result.charges();
        lines.add(
                "charges: waste "
                        + figure(charges.waste(), 4)
                        + ", probes "
                        + figure(charges.probe(), 4)
                        + ", peers "
                        + figure(charges.peer(), 4)
                        + ", late failures "
                        + figure(charges.lateFail(), 4)
                        + ", overdriven "
                        + figure(charges.overdriven(), 4));
        List<List<String>> classes = new ArrayList<>();
        classes.add(
                List.of(
                        "class",
                        "requests",
                        "in aim",
                        "late",
                        "refused",
                        "failed",
                        "unanswered",
                        "goodput",
                        "p99 ms"));
        result.classes()
                .forEach(
                        c ->
                                classes.add(
                                        List.of(
                                                c.name(),
                                                Long.toString(c.requests()),
                                                Long.toString(c.inAim()),
                                                Long.toString(c.late()),
                                                Long.toString(c.refused()),
                                                Long.toString(c.failed()),
                                                Long.toString(c.unanswered()),
                                                figure(c.goodput(), 4),
                                                figure(c.latency().p99(), 1))));
        lines.addAll(table(classes));
        List<List<String>> tiers = new ArrayList<>();
        tiers.add(
                List.of(
                        "tier",
                        "nodes",
                        "proxies",
                        "RPCs",
                        "attempts",
                        "copies",
                        "refused",
                        "failed",
                        "probes",
                        "wasted",
                        "chokes",
                        "fallen"));
        result.tiers()
                .forEach(
                        t ->
                                tiers.add(
                                        List.of(
                                                t.name(),
                                                Integer.toString(t.nodes()),
                                                Integer.toString(t.proxies()),
                                                Long.toString(t.rpcs()),
                                                Long.toString(t.attempts()),
                                                Long.toString(t.copies()),
                                                Long.toString(t.refused()),
                                                Long.toString(t.failed()),
                                                Long.toString(t.probes()),
                                                figure(t.wasted(), 4),
                                                Integer.toString(t.chokes()),
                                                Integer.toString(t.fallen()))));
        lines.addAll(table(tiers));
        result.faults()
                .forEach(
                        band ->
                                lines.add(
                                        "fault: "
                                                + band.trouble()
                                                + (band.tier().isEmpty()
                                                        ? ""
                                                        : " in " + band.tier())
                                                + " from "
                                                + figure(band.from(), 1)
                                                + " to "
                                                + figure(band.to(), 1)
                                                + " s, machines "
                                                + band.machines()));
        return lines;
    }

    /** Columns as wide as they need, numbers to the right; the first row is the head. */
    static List<String> table(List<List<String>> rows) {
        int[] widths = new int[rows.get(0).size()];
        rows.forEach(row -> Arrays.setAll(widths, i -> Math.max(widths[i], row.get(i).length())));
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                String pad = " ".repeat(widths[i] - row.get(i).length());
                line.append(i == 0 ? row.get(i) + pad : "  " + pad + row.get(i));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    private static String figure(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
