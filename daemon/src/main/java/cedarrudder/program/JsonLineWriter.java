package cedarrudder.program;

import cedarrudder.logging.Level;
import cedarrudder.logging.LineWriter;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Locale;

/**
 * Lines for programs: one JSON object each, with {@code time} (ISO 8601, UTC), {@code seconds}
 * since the start, {@code level}, {@code event}, and the event's fields, whole numbers as numbers.
 */
final class JsonLineWriter implements LineWriter {

    private static final JsonFactory JSON = new JsonFactory();

    private StringWriter text;
    private JsonGenerator line;

    /** What a step of the generator throws, though a writer into memory doesn't. */
    private interface Step {
        void run() throws IOException;
    }

    private static void must(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void begin(long millis, Level level, String event) {
        must(
                () -> {
                    text = new StringWriter();
                    line = JSON.createGenerator(text);
                    line.writeStartObject();
                    line.writeStringField("time", Instant.now().toString());
                    line.writeNumberField("seconds", millis / 1000.0);
                    line.writeStringField("level", level.name().toLowerCase(Locale.ROOT));
                    line.writeStringField("event", event);
                });
    }

    @Override
    public void field(String name, String value) {
        must(() -> line.writeStringField(name, value));
    }

    @Override
    public void field(String name, long value) {
        must(() -> line.writeNumberField(name, value));
    }

    @Override
    public String end() {
        must(
                () -> {
                    line.writeEndObject();
                    line.close();
                });
        return text.toString();
    }
}
