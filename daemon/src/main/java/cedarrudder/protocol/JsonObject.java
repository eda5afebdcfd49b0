package cedarrudder.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A JSON object, read with the streaming parser, and its path for messages. The readers throw an
 * IllegalArgumentException that says what is missing or wrong. A default of null makes a key
 * required; a reader without a default documents whether its key is required.
 */
public final class JsonObject {

    static final JsonFactory JSON = new JsonFactory();

    /**
     * Placeholder for an element that was left out, so that the later elements keep their indexes.
     */
    static final JsonObject LEFT_OUT = new JsonObject(Map.of(), "");

    private final Map<?, ?> members;
    private final String path;

    private JsonObject(Map<?, ?> members, String path) {
        this.members = members;
        this.path = path;
    }

    /** Parses a text that contains one object. */
    public static JsonObject parse(String text) {
        return parse(text, null, null);
    }

    /**
     * Parses a text that contains one object, and replaces the elements of the list {@code list}
     * that {@code filter} rejects with {@link #LEFT_OUT} as soon as they are read. The predicate
     * receives null for an element that is not an object.
     */
    static JsonObject parse(String text, String list, Predicate<JsonObject> filter) {
        Object value;
        try (JsonParser parser = JSON.createParser(text)) {
            parser.nextToken();
            value = value(parser, list, filter);
            if (parser.nextToken() != null) {
                throw new IllegalArgumentException("not JSON");
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON");
        }
        if (!(value instanceof Map<?, ?> members)) {
            throw new IllegalArgumentException("not a JSON object");
        }
        return new JsonObject(members, "");
    }

    /**
     * Reads the value that begins at the parser's current token. The parser itself limits the
     * nesting depth.
     */
    private static Object value(JsonParser parser, String list, Predicate<JsonObject> filter)
            throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> members = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                members.put(
                        name,
                        name.equals(list) && parser.currentToken() == JsonToken.START_ARRAY
                                ? elements(parser, filter)
                                : value(parser, null, null));
            }
            return members;
        }
        if (token == JsonToken.START_ARRAY) {
            return elements(parser, null);
        }
        if (token == null) {
            throw new IllegalArgumentException("not JSON");
        }
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getBigIntegerValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    private static List<Object> elements(JsonParser parser, Predicate<JsonObject> filter)
            throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Object element = value(parser, null, null);
            boolean stays =
                    filter == null
                            || filter.test(
                                    element instanceof Map<?, ?> object
                                            ? new JsonObject(object, "")
                                            : null);
            elements.add(stays ? element : LEFT_OUT);
        }
        return elements;
    }

    private Object get(String key, boolean required) {
        Object value = members.get(key);
        if (value == null && required) {
            throw new IllegalArgumentException("'" + path + key + "' is missing");
        }
        return value;
    }

    private IllegalArgumentException wrongType(String key, String wanted) {
        return new IllegalArgumentException("'" + path + key + "' is not " + wanted);
    }

    private Number number(String key, boolean required) {
        Object value = get(key, required);
        if (value != null && !(value instanceof Number)) {
            throw wrongType(key, "a number");
        }
        return (Number) value;
    }

    /** Reads an optional number. */
    public double number(String key, double defaultValue) {
        Number value = number(key, false);
        return value == null ? defaultValue : value.doubleValue();
    }

    /** Reads a required integer. */
    public long integer(String key) {
        Number value = number(key, true);
        return value instanceof Double ? (long) value.doubleValue() : value.longValue();
    }

    /**
     * Reads a required integer within bounds; the message of an error names the value found and the
     * values allowed.
     */
    public long integer(String key, long min, long max) {
        long value = integer(key);
        return (long) within(key, value, min, max);
    }

    /** Reads an optional number within bounds. */
    public double number(String key, double defaultValue, double min, double max) {
        return within(key, number(key, defaultValue), min, max);
    }

    private double within(String key, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw notAllowed(
                    key,
                    plain(value),
                    max == Double.MAX_VALUE || max == Long.MAX_VALUE
                            ? plain(min) + " or more"
                            : plain(min) + " to " + plain(max));
        }
        return value;
    }

    private static String plain(double value) {
        return value == (long) value ? Long.toString((long) value) : Double.toString(value);
    }

    /** Reads one of the allowed words; required where the default is null. */
    public String word(String key, String defaultValue, List<String> allowed) {
        String word = text(key, defaultValue);
        if (!allowed.contains(word)) {
            throw notAllowed(key, "'" + word + "'", String.join(", ", allowed));
        }
        return word;
    }

    /** Returns an error that names the value found under a key and the values allowed. */
    public IllegalArgumentException notAllowed(String key, String found, String allowed) {
        return new IllegalArgumentException(
                "'" + path + key + "': found " + found + "; allowed: " + allowed);
    }

    /** Reads an optional boolean. */
    public boolean flag(String key, boolean defaultValue) {
        Object value = get(key, false);
        if (value != null && !(value instanceof Boolean)) {
            throw wrongType(key, "true or false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Reads a string; required where the default is null. */
    public String text(String key, String defaultValue) {
        Object value = get(key, defaultValue == null);
        if (value instanceof Map || value instanceof List) {
            throw wrongType(key, "a text");
        }
        return value == null ? defaultValue : value.toString();
    }

    /** Returns whether the value of a key can be read as a string. */
    public boolean isText(String key) {
        Object value = members.get(key);
        return value != null && !(value instanceof Map) && !(value instanceof List);
    }

    private List<?> array(String key, boolean required) {
        Object value = get(key, required);
        if (value != null && !(value instanceof List)) {
            throw wrongType(key, "a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /** Reads a list of strings; empty where the key is absent. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (Object element : array(key, false)) {
            if (!(element instanceof String text)) {
                throw wrongType(key, "a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Reads a list of objects, none of them null. */
    public List<JsonObject> list(String key, boolean required) {
        List<JsonObject> objects = objects(key, required);
        if (objects.contains(null)) {
            throw wrongType(key, "a list of objects");
        }
        return objects;
    }

    /**
     * Reads a list of objects, with {@link #LEFT_OUT} for elements that were left out and null for
     * elements that are not objects.
     */
    public List<JsonObject> objects(String key, boolean required) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object element : array(key, required)) {
            objects.add(
                    element == LEFT_OUT
                            ? LEFT_OUT
                            : element instanceof Map<?, ?> object
                                    ? new JsonObject(
                                            object, path + key + "[" + objects.size() + "].")
                                    : null);
        }
        return objects;
    }

    /**
     * Returns a copy of this object in which {@link #LEFT_OUT} replaces the elements of a list that
     * {@code filter} rejects.
     */
    JsonObject without(String list, Predicate<JsonObject> filter) {
        Map<String, Object> members = new LinkedHashMap<>();
        this.members.forEach((name, value) -> members.put((String) name, value));
        members.put(
                list,
                array(list, true).stream()
                        .map(
                                element ->
                                        filter.test(
                                                        element instanceof Map<?, ?> object
                                                                ? new JsonObject(object, "")
                                                                : null)
                                                ? element
                                                : LEFT_OUT)
                        .toList());
        return new JsonObject(members, path);
    }

    /**
     * Reads an optional object; where the key is absent, returns an empty object, whose required
     * keys are then missing.
     */
    public JsonObject child(String key) {
        Object value = get(key, false);
        if (value != null && !(value instanceof Map)) {
            throw wrongType(key, "an object");
        }
        return new JsonObject(value == null ? Map.of() : (Map<?, ?>) value, path + key + ".");
    }
}
