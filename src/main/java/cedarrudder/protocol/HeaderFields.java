package cedarrudder.protocol;

import java.util.ArrayList;
import java.util.List;

/** The header fields of a message, in their order; names are compared without regard to case. */
public final class HeaderFields {

    /** A field as it came. */
    public record Field(String name, String value) { }

    private final List<Field> fields = new ArrayList<>();

    void add(String name, String value) {
        fields.add(new Field(name, value));
    }

    public List<Field> all() {
        return fields;
    }

    /** The value of a field, or null where there is none. */
    public String get(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** The value of a field that must not come twice, or null where there is none. */
    String single(String name) throws BadMessageException {
        String found = null;
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                if (found != null) {
                    throw BadMessageException.badRequest("two fields " + name);
                }
                found = field.value();
            }
        }
        return found;
    }

    /** Whether a field that holds a list of words holds this one. */
    boolean lists(String name, String word) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                for (String listed : field.value().split(",")) {
                    if (listed.trim().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }
}
