package cedarrudder.program;

import cedarrudder.transport.EventRecorder;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/**
 * Writes the events of this replica as lines of JSON, for a checker that reads the files of all
 * replicas afterwards. The time is {@link System#nanoTime}, which is one clock for all processes of
 * a machine on Linux (CLOCK_MONOTONIC); the incarnation is the process's id. Each line is written
 * to the file separately, so that SIGKILL loses only the lines that are still queued. Belongs to
 * the loop's thread, except {@link #stop}.
 */
final class HistoryFile implements EventRecorder {

    /** The maximum number of queued lines: some 500 KB. */
    private static final int MAX_WAITING_LINES = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final int replica;
    private final long incarnation = ProcessHandle.current().pid();
    private final AsyncLogWriter lines;
    private long lostEvents;

    /**
     * Opens the file for appending.
     *
     * @throws IllegalArgumentException if the file can't be written
     */
    HistoryFile(Path file, int replica) {
        this.replica = replica;
        try {
            lines =
                    new AsyncLogWriter(
                            new PrintStream(
                                    new FileOutputStream(file.toFile(), true),
                                    true,
                                    StandardCharsets.UTF_8),
                            "history",
                            MAX_WAITING_LINES);
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "[history]: found "
                            + file
                            + ", which can't be written ("
                            + e.getMessage()
                            + "); allowed: a file in a folder that is there",
                    e);
        }
    }

    @Override
    public void record(String what, Map<String, ?> fields) {
        // Records the loss first, so that a checker does not mistake an incomplete history
        // for a complete one.
        if (lostEvents > 0 && lines.offer(line("lost", Map.of("events", lostEvents)))) {
            lostEvents = 0;
        }
        if (lostEvents > 0 || !lines.offer(line(what, fields))) {
            lostEvents++;
        }
    }

    private String line(String what, Map<String, ?> fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at", System.nanoTime());
            json.writeNumberField("copy", replica);
            json.writeNumberField("life", incarnation);
            json.writeStringField("what", what);
            for (Map.Entry<String, ?> field : fields.entrySet()) {
                json.writeStringField(field.getKey(), String.valueOf(field.getValue()));
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // writing into memory does not fail
        }
        return text.toString();
    }

    /** Returns once all queued lines are written; may be called from any thread. */
    void stop() {
        lines.stop();
    }
}
