package cedarrudder.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The header fields of a message, in their order. Names are compared in lower case; those asked for
 * are given in lower case. Fields are gone through by index: an iterator for each look-up is
 * garbage, some twenty times a message.
 */
public final class HeaderFields {

    /** A field. */
    public record Field(FieldName name, String value) {

        /** Its name in lower case. */
        public String key() {
            return name.key();
        }
    }

    private final List<Field> fields = new ArrayList<>();

    void add(Field field) {
        fields.add(field);
    }

    /** Sets a field that is there once at most. */
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

    /** The value of a field, or null where there is none. */
    public String get(String key) {
        for (int i = 0; i < fields.size(); i++) {
            Field field = fields.get(i);
            if (field.key().equals(key)) {
                return field.value();
            }
        }
        return null;
    }

    /** The value of a field that must not come twice, or null where there is none. */
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

    /** The value of a field that is there once; else null. */
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

    /** Whether a field that holds a list of words holds this one. */
    boolean lists(String key, String word) {
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
     * The names, in lower case, that {@code Connection} gives of fields which concern one
     * connection alone (RFC 9110 7.6.1); empty where it holds nothing but the usual options, which
     * come without a list.
     */
    List<String> ofConnection() {
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
