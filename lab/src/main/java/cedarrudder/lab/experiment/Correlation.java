package cedarrudder.lab.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Spearman's rank correlation between the means of two sources. Kinds differ in level, which alone
 * would make the sources agree; so besides all pairs there is one figure for each kind, and one for
 * the variants' means over the kinds that both have.
 */
public record Correlation(String over, int pairs, double rho, Bootstrap.Interval interval) {

    private static final List<String> HEADS = List.of("variant", "kind", "mean");
    private static final CSVFormat FORMAT =
            CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setTrim(true).get();
    private static final int MIN = 3;

    /** A variant and the kind of day it was on. */
    private record Cell(String variant, String kind) {}

    /**
     * Correlates two CSV files with the columns variant, kind and mean, in any order, others
     * unused.
     *
     * @throws IOException if one can't be read, with its file and line, or fewer than three rows
     *     match
     */
    public static List<Correlation> of(Path first, Path second) throws IOException {
        Map<Cell, Double> a = read(first);
        Map<Cell, Double> b = read(second);
        List<Cell> both = a.keySet().stream().filter(b::containsKey).toList();
        if (both.size() < MIN) {
            throw new IOException(
                    "only "
                            + both.size()
                            + " rows of "
                            + first
                            + " and "
                            + second
                            + " match by variant and kind; at least "
                            + MIN
                            + " are needed");
        }
        List<Correlation> found = new ArrayList<>();
        found.add(of("all", a, b, both, cell -> true));
        List<String> kinds = both.stream().map(Cell::kind).distinct().toList();
        for (String kind : kinds) {
            found.add(of(kind, a, b, both, cell -> cell.kind().equals(kind)));
        }
        List<Cell> means =
                both.stream().map(Cell::variant).distinct().map(v -> new Cell(v, "")).toList();
        found.add(of("variants' means", means(a, both), means(b, both), means, cell -> true));
        return found;
    }

    private static Correlation of(
            String over,
            Map<Cell, Double> a,
            Map<Cell, Double> b,
            List<Cell> both,
            Predicate<Cell> which) {
        double[] left = both.stream().filter(which).mapToDouble(a::get).toArray();
        double[] right = both.stream().filter(which).mapToDouble(b::get).toArray();
        return new Correlation(
                over,
                left.length,
                Bootstrap.spearman(left, right),
                Bootstrap.spearmanInterval(left, right));
    }

    private static Map<Cell, Double> means(Map<Cell, Double> of, List<Cell> both) {
        Map<Cell, Double> means = new LinkedHashMap<>();
        for (Cell cell : both) {
            means.computeIfAbsent(
                    new Cell(cell.variant(), ""),
                    key ->
                            both.stream()
                                    .filter(c -> c.variant().equals(cell.variant()))
                                    .mapToDouble(of::get)
                                    .average()
                                    .orElseThrow());
        }
        return means;
    }

    private static Map<Cell, Double> read(Path file) throws IOException {
        Map<Cell, Double> means = new LinkedHashMap<>();
        try (CSVParser rows = CSVParser.parse(file, StandardCharsets.UTF_8, FORMAT)) {
            if (!rows.getHeaderNames().containsAll(HEADS)) {
                throw new IOException(
                        file
                                + ":1: found "
                                + rows.getHeaderNames()
                                + "; allowed: the columns "
                                + HEADS);
            }
            for (CSVRecord row : rows) {
                String place = file + ":" + rows.getCurrentLineNumber() + ": ";
                if (!row.isConsistent()) {
                    throw new IOException(
                            place
                                    + "found "
                                    + row.size()
                                    + " columns; allowed: "
                                    + rows.getHeaderNames().size());
                }
                Cell cell = new Cell(row.get("variant"), row.get("kind"));
                if (means.put(cell, number(place, row.get("mean"))) != null) {
                    throw new IOException(
                            place + "a second row for " + cell.variant() + ", " + cell.kind());
                }
            }
        } catch (UncheckedIOException e) {
            throw new IOException(file + ": " + e.getCause().getMessage(), e);
        }
        return means;
    }

    private static double number(String place, String text) throws IOException {
        try {
            double number = Double.parseDouble(text);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new IOException(place + "mean: found \"" + text + "\"; allowed: a number", e);
        }
        throw new IOException(place + "mean: found " + text + "; allowed: a finite number");
    }

    /** A line: over what, rho, its interval, and the number of pairs. */
    @Override
    public String toString() {
        String ends =
                Double.isNaN(interval.low())
                        ? "too few pairs for an interval"
                        : String.format(
                                Locale.ROOT,
                                "95 %% interval %.3f to %.3f",
                                interval.low(),
                                interval.high());
        return String.format(Locale.ROOT, "%s: rho %.3f, %s, %d pairs", over, rho, ends, pairs);
    }
}
