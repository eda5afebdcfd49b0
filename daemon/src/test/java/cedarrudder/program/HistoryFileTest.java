package cedarrudder.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of the history file that a replica writes. */
public class HistoryFileTest {

    private static final int MANY = 20_000;
    private static final int PATIENCE_SECONDS = 20;

    /** The loop must not wait for a slow disk, and a history with gaps must not look complete. */
    @Test
    public void eventsThatCannotBeWrittenAreCountedWithoutBlocking() throws Exception {
        Path pipe = Files.createTempDirectory("history").resolve("pipe");
        Process made = new ProcessBuilder("mkfifo", pipe.toString()).start();
        assertTrue(made.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS) && made.exitValue() == 0);
        // Keeps the pipe open and reads nothing from it until a line arrives on standard input.
        Process reader =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "exec 4<\"$0\"; read -r _; cat <&4",
                                pipe.toString())
                        .start();
        try (BufferedReader in = reader.inputReader()) {
            HistoryFile history = new HistoryFile(pipe, 3);
            long begin = System.nanoTime();
            for (int i = 0; i < MANY; i++) {
                history.record("dead", Map.of("about", i));
            }
            long elapsed = System.nanoTime() - begin;
            reader.getOutputStream().write('\n');
            reader.getOutputStream().flush();
            String first = in.readLine();
            assertTrue(
                    first.matches(
                            "\\{\"at\":\\d+,\"copy\":3,\"life\":"
                                    + ProcessHandle.current().pid()
                                    + ",\"what\":\"dead\",\"about\":\"0\"}"),
                    first);
            long until = begin + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
            String line = first;
            for (int i = 0; !line.contains("\"lost\""); i++) {
                assertTrue(
                        System.nanoTime() < until, "the loss is not reported; last line " + line);
                if (in.ready()) {
                    line = in.readLine();
                } else {
                    history.record("dead", Map.of("about", MANY + i)); // there is capacity again
                    Thread.sleep(1);
                }
            }
            assertTrue(line.matches(".*\"events\":\"\\d{4,5}\"}"), line);
            assertTrue(elapsed < TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS), elapsed + " ns");
        } finally {
            reader.destroy();
            Files.delete(pipe);
        }
    }

    @Test
    public void aFileThatCannotBeWrittenIsRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new HistoryFile(Path.of("no", "such", "folder"), 0));
    }

    /** Accepted events are written when the process ends in good order. */
    @Test
    public void theLastEventIsWrittenBeforeTheEnd() throws Exception {
        Path file = Files.createTempFile("history", ".jsonl");
        HistoryFile history = new HistoryFile(file, 1);
        history.record("silent", Map.of());
        history.stop();
        assertEquals(Files.readAllLines(file).size(), 1);
        Files.delete(file);
    }
}
