package cedarrudder.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the log's lines, and the log while a peer sends invalid data without end. */
public class LoggerTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Logger log = new Logger(new PrintStream(out, true, StandardCharsets.UTF_8));

    /** Returns the lines without their time. */
    private List<String> lines() {
        List<String> lines =
                out.toString(StandardCharsets.UTF_8)
                        .lines()
                        .map(line -> line.substring(line.indexOf(' ') + 1))
                        .toList();
        out.reset();
        return lines;
    }

    @Test
    public void lineHasTheEventAndItsFields() {
        log.info("a.b")
                .with("size", 3)
                .with("why", "no \"end\" = \\")
                .with("none", "")
                .with("at", "x:1")
                .write();
        assertEquals(
                lines(), List.of("INFO a.b size=3 why=\"no \\\"end\\\" = \\\\\" none=\"\" at=x:1"));
    }

    @Test
    public void faultLineHasTheThrowLocation() {
        RuntimeException fault = new IllegalStateException("what");
        log.fault("a.failed", fault).with("rpc", 7).write();
        assertEquals(
                lines(),
                List.of(
                        "ERROR a.failed at="
                                + fault.getStackTrace()[0]
                                + " error=\"java.lang.IllegalStateException: what\" rpc=7"));
    }

    @Test
    public void longLinesAreTruncatedAndLinesBeyondTheLimitAreSuppressed() {
        Logger flooded = new Logger(new PrintStream(out, true, StandardCharsets.UTF_8));
        for (int i = 0; i < 1000; i++) {
            flooded.warn("a.b").with("why", "x\n".repeat(10_000)).with("more", "\ud83d").write();
        }
        List<String> lines = lines();
        // Per second 20 lines, and one that counts the suppressed ones; a slow machine may need
        // more than one second.
        assertTrue(lines.size() >= 20 && lines.size() < 500, lines.size() + " lines");
        assertEquals(lines.get(0), "WARN a.b why=" + "x?".repeat(150) + " more=\"\"");
    }

    @Test
    public void suppressedEventsAreNotConvertedToText() {
        Object unconvertible =
                new Object() {
                    @Override
                    public String toString() {
                        throw new AssertionError("a suppressed value was converted to text");
                    }
                };
        log.settings(new LogSettings(Level.WARN, 0, 300));
        log.debug("a").with("b", unconvertible).write();
        log.info("a").with("b", unconvertible).write();
        log.warn("a").with("b", unconvertible).write();
        assertEquals(lines(), List.of());
        log.settings(LogSettings.DEFAULT);
        log.info("c").write();
        assertEquals(lines(), List.of("INFO c"));
    }
}
