package cedarrudder.lab.checker;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Histories of replicas, as lines of JSON: {@code
 * {"at":12,"copy":3,"life":1,"what":"voted","term":7}}. Fields are texts or whole numbers. A last
 * line without its end was being written when its process died, and is left out.
 */
public final class History {

    private static final JsonFactory JSON = new JsonFactory();

    private History() {}

    /** An event as one line, without its end. */
    public static String line(HistoryEvent event) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at", event.at());
            json.writeNumberField("copy", event.replica());
            json.writeNumberField("life", event.incarnation());
            json.writeStringField("what", event.what());
            for (Map.Entry<String, String> field : new TreeMap<>(event.fields()).entrySet()) {
                json.writeStringField(field.getKey(), field.getValue());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /**
     * Reads a line.
     *
     * @param place what a complaint calls it
     * @throws IOException if it is no event; the message names place, found and allowed
     */
    public static HistoryEvent event(String line, String place) throws IOException {
        Map<String, String> fields = new TreeMap<>();
        try (JsonParser json = JSON.createParser(line)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException(
                        place + ": found " + json.currentToken() + ", allowed is an object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                if (value != JsonToken.VALUE_STRING && value != JsonToken.VALUE_NUMBER_INT) {
                    throw new IOException(
                            place
                                    + ": \""
                                    + name
                                    + "\" is "
                                    + value
                                    + ", allowed are texts and whole numbers");
                }
                fields.put(name, json.getText());
            }
        }
        try {
            return new HistoryEvent(
                    Long.parseLong(taken(fields, "at", place)),
                    Integer.parseInt(taken(fields, "copy", place)),
                    Long.parseLong(taken(fields, "life", place)),
                    taken(fields, "what", place),
                    fields);
        } catch (NumberFormatException e) {
            throw new IOException(
                    place + ": at, copy and life are whole numbers; " + e.getMessage(), e);
        }
    }

    /**
     * Reads files, one a replica, and puts events in the order of time; of one instant in that of
     * the files.
     */
    public static List<HistoryEvent> read(List<Path> files) throws IOException {
        List<HistoryEvent> all = new ArrayList<>();
        for (Path file : files) {
            String text = Files.readString(file);
            int line = 0;
            int from = 0;
            for (int to = text.indexOf('\n'); to >= 0; to = text.indexOf('\n', from)) {
                all.add(event(text.substring(from, to), file + ", line " + ++line));
                from = to + 1;
            }
        }
        all.sort(Comparator.comparingLong(HistoryEvent::at));
        return all;
    }

    /**
     * Judges a history.
     *
     * @param events in the order of time
     * @param until when the history ended
     * @return what was broken, rule by rule in the order given
     */
    public static List<Violation> judged(
            List<HistoryEvent> events, long until, List<? extends Invariant> rules) {
        for (HistoryEvent event : events) {
            rules.forEach(rule -> rule.took(event));
        }
        rules.forEach(rule -> rule.ended(until));
        return rules.stream().map(Invariant::breaches).<Violation>mapMulti(List::forEach).toList();
    }

    private static String taken(Map<String, String> fields, String name, String place)
            throws IOException {
        String value = fields.remove(name);
        if (value == null) {
            throw new IOException(place + ": no \"" + name + "\", found " + fields.keySet());
        }
        return value;
    }
}
