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
 * Writes what happens to this replica as lines of JSON, for a judge that reads the files of all
 * replicas afterwards. The time is {@link System#nanoTime}, which is one clock for all processes of
 * a machine on Linux (CLOCK_MONOTONIC); the life is the process's id. Each line goes to the file by
 * itself, so that SIGKILL takes those alone that still wait. It belongs to the loop's thread but
 * for {@link #stop}.
 */
final class HistoryFile implements EventRecorder {

    /** Lines that wait to be written, at most: some 500 KB. */
    private static final int MAX_WAITING_LINES = 4_096;

    private static final JsonFactory JSON = new JsonFactory();

    private final int replica;
    private final long incarnation = ProcessHandle.current().pid();
    private final AsyncLogWriter lines;
    private long lostEvents;

    /**
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
        // This avoids a judge that takes a history with holes for a whole one.
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
            throw new UncheckedIOException(e); // a text in memory fails nobody
        }
        return text.toString();
    }

    /** Returns once what was taken is written; from any thread. */
    void stop() {
        lines.stop();
    }
}
