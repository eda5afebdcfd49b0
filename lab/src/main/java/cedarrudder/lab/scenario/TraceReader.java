package cedarrudder.lab.scenario;

import cedarrudder.lab.scenario.Scenario.Customer;
import cedarrudder.lab.scenario.Scenario.Recorded;
import cedarrudder.lab.scenario.Scenario.RequestKind;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.ConfigTable;
import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads a recorded trace: CSV (RFC 4180) with the columns {@code time_ms, class, tenant, work_ms},
 * ordered by time. An empty work is drawn from the class; the tenant is empty where the scenario
 * has none.
 */
final class TraceReader {

    private static final List<String> COLUMNS = List.of("time_ms", "class", "tenant", "work_ms");
    private static final long MAX_BYTES = 256L << 20;
    private static final int MAX_LINES = 5_000_000;

    /** Further broken lines are not told: this avoids a wrong file that fills a screen. */
    private static final int MAX_PROBLEMS = 20;

    private static final double MAX_TIME_MS = 3_600_000;
    private static final double MAX_WORK_MS = 60_000;
    private static final double MILLI = 1e6;

    private final Path file;
    private final List<String> classes;
    private final List<String> tenants;
    private final List<ConfigProblem> problems;
    private int told;
    private double lastTime;

    /**
     * @param problems takes what is wrong
     */
    TraceReader(
            Path file,
            List<RequestKind> classes,
            List<Customer> tenants,
            List<ConfigProblem> problems) {
        this.file = file;
        this.classes = classes.stream().map(RequestKind::name).toList();
        this.tenants = tenants.stream().map(Customer::name).toList();
        this.problems = problems;
    }

    /** The lines that are sound. */
    List<Recorded> read() {
        List<Recorded> trace = new ArrayList<>();
        try {
            if (Files.size(file) > MAX_BYTES) {
                problem(0, "", Files.size(file) + " bytes", MAX_BYTES + " bytes at the most");
                return trace;
            }
            try (Reader reader = Files.newBufferedReader(file);
                    CSVParser parser =
                            CSVFormat.RFC4180
                                    .builder()
                                    .setIgnoreEmptyLines(false)
                                    .setTrim(true)
                                    .get()
                                    .parse(reader)) {
                lines(parser, trace);
            }
        } catch (NoSuchFileException e) {
            problem(0, "", "no such file", "a CSV file");
        } catch (CharacterCodingException e) {
            problem(0, "", "bytes that are no UTF-8", "a CSV file in UTF-8");
        } catch (IOException e) {
            problem(0, "", "a file that can't be read (" + e.getMessage() + ")", "a CSV file");
        }
        return trace;
    }

    private void lines(CSVParser parser, List<Recorded> trace) throws IOException {
        Iterator<CSVRecord> records = parser.iterator();
        int count = 0;
        while (told < MAX_PROBLEMS) {
            // The parser counts the line ends it has read; a field in quotes may hold some of its
            // own.
            int line = (int) parser.getCurrentLineNumber() + 1;
            CSVRecord record;
            try {
                if (!records.hasNext()) {
                    break;
                }
                record = records.next();
            } catch (UncheckedIOException e) {
                if (e.getCause() instanceof CharacterCodingException coding) {
                    throw coding;
                }
                problem(line, "", "a line that is no CSV", "fields as in RFC 4180");
                return;
            }
            if (count++ == 0) {
                header(line, record);
            } else if (count > MAX_LINES) {
                problem(line, "", "more lines", MAX_LINES + " lines at the most");
                return;
            } else {
                Recorded recorded = recorded(line, record);
                if (recorded != null) {
                    trace.add(recorded);
                }
            }
        }
        if (told >= MAX_PROBLEMS) {
            problems.add(
                    new ConfigProblem(
                            file.toString(),
                            0,
                            "",
                            "more than " + (MAX_PROBLEMS - 1) + " broken lines",
                            "the rest was not read"));
        } else if (count < 2) {
            problem(
                    0,
                    "",
                    "no arrivals",
                    "a line " + String.join(",", COLUMNS) + ", then at least one more");
        }
    }

    private void header(int line, CSVRecord record) {
        if (!record.toList().equals(COLUMNS)) {
            problem(
                    line,
                    "",
                    ConfigTable.shown(String.join(",", record.toList())),
                    String.join(",", COLUMNS));
        }
    }

    /** Null where the line is broken. */
    private Recorded recorded(int line, CSVRecord record) {
        if (record.size() != COLUMNS.size()) {
            problem(
                    line,
                    "",
                    record.size() == 1 && record.get(0).isEmpty()
                            ? "an empty line"
                            : record.size() + " fields",
                    COLUMNS.size() + " fields");
            return null;
        }
        int before = told;
        double time = number(line, record, 0, MAX_TIME_MS, false);
        int kind = name(line, record, 1, classes);
        int tenant =
                tenants.isEmpty() && record.get(2).isEmpty() ? 0 : name(line, record, 2, tenants);
        double work = number(line, record, 3, MAX_WORK_MS, true);
        if (told > before) {
            return null;
        }
        if (time < lastTime) {
            problem(
                    line,
                    COLUMNS.get(0),
                    record.get(0),
                    "no less than the line before, " + Figures.shown(lastTime));
            return null;
        }
        lastTime = time;
        return new Recorded(Math.round(time * MILLI), kind, tenant, Math.round(work * MILLI));
    }

    private double number(int line, CSVRecord record, int column, double max, boolean mayBeEmpty) {
        String field = record.get(column);
        if (field.isEmpty() && mayBeEmpty) {
            return 0;
        }
        double value;
        try {
            value = Double.parseDouble(field);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (value >= 0 && value <= max) {
            return value;
        }
        problem(
                line,
                COLUMNS.get(column),
                ConfigTable.shown(field),
                "a number from 0 to " + Figures.shown(max) + (mayBeEmpty ? ", or nothing" : ""));
        return 0;
    }

    private int name(int line, CSVRecord record, int column, List<String> names) {
        String field = record.get(column);
        int index = names.indexOf(field);
        if (index < 0) {
            String nearest = field.isEmpty() ? null : ConfigTable.nearest(field, names);
            problem(
                    line,
                    COLUMNS.get(column),
                    ConfigTable.shown(field),
                    nearest != null
                            ? "did you mean '" + nearest + "'?"
                            : names.isEmpty()
                                    ? "nothing: the scenario has none"
                                    : String.join(", ", names));
        }
        return index;
    }

    private void problem(int line, String key, String found, String allowed) {
        told++;
        problems.add(new ConfigProblem(file.toString(), line, key, found, allowed));
    }
}
