package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/**
 * One table of the operator's file and its reader. A new feature adds a subclass and lists it in
 * {@link OperatorFile}.
 *
 * @param <T> the settings of the table in the form that the feature uses; immutable
 */
public abstract class OperatorSection<T> {

    private final String name;
    private final Class<T> type;
    private final T absent;

    /**
     * Creates the section.
     *
     * @param name the table's name
     * @param absent the settings that apply where the file has no such table: the feature is off,
     *     or unchanged from before the table was introduced
     */
    OperatorSection(String name, Class<T> type, T absent) {
        this.name = name;
        this.type = type;
        this.absent = absent;
    }

    final String name() {
        return name;
    }

    final T absent() {
        return absent;
    }

    final T cast(Object value) {
        return type.cast(value);
    }

    /** Reads the table, and reports wrong and contradictory values to it. */
    abstract T read(ConfigTable table);
}
