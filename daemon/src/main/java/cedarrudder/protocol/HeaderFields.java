package cedarrudder.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The header fields of a message, in their order. Names are compared in lower case, and callers
 * pass them in lower case. Fields are accessed by index: an iterator for each look-up is garbage,
 * some twenty times per message.
 */
public final class HeaderFields {

    /** A header field. */
    public record Field(FieldName name, String value) {

        /** Returns the name in lower case. */
        public String key() {
            return name.key();
        }
    }

    private final List<Field> fields = new ArrayList<>();

    void add(Field field) {
        fields.add(field);
    }

    /** Sets a field that occurs at most once. */
    void set(String name, String value) {
        Field set = new Field(FieldName.of(name), value);
        for (int i = 0; i < fields.size(); i++) {
            if (fields.get(i).key().equals(set.key())) {
                fields.set(i, set);
                return;
            }
        }
        fields.add(set);
    }

    public List<Field> all() {
        return fields;
    }

    /** Returns the value of a field, or null where the field is absent. */
    public String get(String key) {
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals(key)) {
                return field.value();
            }
        }
        return null;
    }

    /**
     * Returns the value of a field that must not occur twice, or null where the field is absent.
     */
    String single(String key) throws MalformedMessageException {
        String found = null;
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals(key)) {
                if (found != null) {
                    throw MalformedMessageException.badRequest("two fields " + key);
                }
                found = field.value();
            }
        }
        return found;
    }

    /** Returns the value of a field that occurs exactly once; null otherwise. */
    String only(String key) {
        String found = null;
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals(key)) {
                if (found != null) {
                    return null;
                }
                found = field.value();
            }
        }
        return found;
    }

    /**
     * Returns whether a field that contains a comma-separated list contains this word, ignoring
     * case.
     */
    boolean containsToken(String key, String word) {
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals(key)) {
                for (String listed : field.value().split(",")) {
                    if (listed.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /**
     * Returns the names, in lower case, of the hop-by-hop fields that {@code Connection} lists (RFC
     * 9110 7.6.1); empty, without creating a list, where the field contains only one of the usual
     * options.
     */
    List<String> connectionOptions() {
        List<String> listed = List.of();
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals("connection")
                    && !field.value().equalsIgnoreCase("keep-alive")
                    && !field.value().equalsIgnoreCase("close")) {
                listed = listed.isEmpty() ? new ArrayList<>() : listed;
                for (String name : field.value().split(",")) {
                    listed.add(name.trim().toLowerCase(Locale.ROOT));
                }
            }
        }
        return listed;
    }
}
