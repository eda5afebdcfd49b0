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
 * Writes log lines for programs: one JSON object each, with {@code time} (ISO 8601, UTC), {@code
 * seconds} since the start, {@code level}, {@code event}, and the fields of the event, whole
 * numbers as numbers.
 */
final class JsonLineWriter implements LineWriter {

    private static final JsonFactory JSON = new JsonFactory();

    private StringWriter text;
    private JsonGenerator line;

    /**
     * A step of the generator, which declares an exception that writing into memory does not throw.
     */
    private interface Step {
        void run() throws IOException;
    }

    private static void unchecked(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void begin(long millis, Level level, String event) {
        unchecked(
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
        unchecked(() -> line.writeStringField(name, value));
    }

    @Override
    public void field(String name, long value) {
        unchecked(() -> line.writeNumberField(name, value));
    }

    @Override
    public String end() {
        unchecked(
                () -> {
                    line.writeEndObject();
                    line.close();
                });
        return text.toString();
    }
}
