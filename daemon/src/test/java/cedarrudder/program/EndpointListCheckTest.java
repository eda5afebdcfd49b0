package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.footprint.ProcessLimits;
import cedarrudder.operator.FootprintSettings;
import cedarrudder.operator.FootprintTable;
import cedarrudder.operator.OperatorFile;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** The output of {@code check --list}. */
public class EndpointListCheckTest {

    private static final long MEGABYTE = 1 << 20;
    private static final ProcessLimits RUN =
            new ProcessLimits(56 * MEGABYTE, 192 * MEGABYTE, 20 * MEGABYTE, 1_024);

    /** The output of a check, and whether everything fits. */
    private record Report(boolean fits, String text) {
        String line(String start) {
            return text.lines().filter(line -> line.startsWith(start)).findFirst().orElse("");
        }
    }

    private static Path file(String text) throws IOException {
        Path file = Files.createTempFile("list", ".json");
        Files.writeString(file, text);
        return file;
    }

    private static Report check(ProcessLimits limits, Path list, Path before) {
        StringWriter report = new StringWriter();
        OperatorFile operator =
                OperatorFile.NONE.with(
                        FootprintTable.FOOTPRINT,
                        new FootprintSettings(0.5, 1_000, 1_000_000_000L));
        boolean fits =
                new EndpointListCheck(operator, limits, new PrintWriter(report, true))
                        .check(list, before);
        return new Report(fits, report.toString());
    }

    /** An operator must be able to learn that a list does not fit before a proxy receives it. */
    @Test
    public void checkReportsWhetherAListFitsOrFitsInStepsOrWhichBoundItExceeds() throws Exception {
        Path list = file(RetainedEndpointList.list(0, 10_000, 3));
        Report fits = check(RUN, list, null);
        assertTrue(fits.fits, fits.text);
        assertTrue(fits.line("nodes: ").startsWith("nodes: fit; heap_at_peak needs "), fits.text);
        assertTrue(
                fits.line("one more node: ")
                        .matches("one more node: 1\\d{3} at rest, 2\\d{3} at the peak"));
        Report steps = check(RUN, list, file(RetainedEndpointList.list(100_000, 10_000, 3)));
        assertTrue(
                steps.fits && steps.line("nodes: ").startsWith("nodes: fit in steps of ["),
                steps.text);
        Report never = check(RUN, file(RetainedEndpointList.list(0, 28_000, 3)), null);
        assertTrue(
                !never.fits
                        && never.line("nodes: ")
                                .matches(
                                        "nodes: don't fit, \\d+ of them in no step; "
                                                + "heap_at_rest needs \\d+ of \\d+, \\d+ too many"),
                never.text);
        Report few =
                check(
                        new ProcessLimits(8 * MEGABYTE, 0, 0, 0),
                        file(RetainedEndpointList.list(0, 999, 3)),
                        null);
        assertTrue(
                few.line("nodes: ").endsWith("; all are loaded, since from_nodes is 1000"),
                few.text);
    }

    /** Each limit that is given must be part of the verdict. */
    @Test
    public void eachLimitAppliesToTheProcess() throws Exception {
        Path list = file(RetainedEndpointList.list(0, 100, 3));
        assertTrue(check(RUN, list, null).line("process: fits; ").endsWith(" to spare"));
        for (ProcessLimits tight :
                new ProcessLimits[] {
                    new ProcessLimits(20 * MEGABYTE, 0, 0, 0),
                    new ProcessLimits(1 << 30, 60 * MEGABYTE, 0, 0),
                    new ProcessLimits(1 << 30, 0, MEGABYTE, 0),
                    new ProcessLimits(1 << 30, 0, 0, 700)
                }) {
            Report report = check(tight, list, null);
            String bound =
                    tight.resident() > 0
                            ? "resident"
                            : tight.direct() > 0
                                    ? "direct"
                                    : tight.descriptors() > 0 ? "descriptors" : "heap_at_rest";
            assertTrue(
                    report.line("process: ").startsWith("process: does not fit; " + bound),
                    report.text);
        }
    }

    /** The list, settings and limits of a configuration must be used. */
    @Test
    public void aConfigurationProvidesItsListAndSettings() throws Exception {
        String example =
                Files.readString(Path.of("example", "config.json"))
                        .replace(
                                "\"servers\": []",
                                RetainedEndpointList.list(0, 50, 1)
                                        .replaceFirst("^.*\"servers\":", "\"servers\":")
                                        .replaceFirst("}$", ""));
        Report report =
                check(RUN, file(example.replace("\"sockets\": 1024", "\"sockets\": 200")), null);
        assertTrue(report.fits, report.text);
        assertEquals(report.line("classes").split(" +")[1], "3");
        assertEquals(report.line("callers").split(" +")[1], "100");
    }

    /** An unreadable file must be reported as such rather than with an internal error. */
    @Test
    public void aFileThatIsNoListIsReportedWithFoundAndAllowed() throws Exception {
        for (String text :
                new String[] {
                    "",
                    "[]",
                    "{}",
                    "{\"servers\":[]}",
                    "{\"servers\":5}",
                    "{\"known\":{\"servers\":[{}]}}"
                }) {
            Path file = file(text);
            Report report = check(RUN, file, null);
            assertTrue(
                    !report.fits && report.text.matches(file + ": found .+; allowed: .+\\R"),
                    report.text);
        }
        Report gone = check(RUN, Path.of("nowhere.json"), null);
        assertTrue(gone.text.startsWith("nowhere.json: can't be read: "), gone.text);
    }
}
