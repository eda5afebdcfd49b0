package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/**
 * One table of the operator's file and its reader. A feature that is set there adds a class of this
 * kind and names it in {@link OperatorFile}.
 *
 * @param <T> what the table says, as the feature takes it; immutable
 */
public abstract class OperatorSection<T> {

    private final String name;
    private final Class<T> type;
    private final T absent;

    /**
     * @param name the table's name
     * @param absent what counts where the file has no such table: the feature is off, or as it was
     *     before there was a table
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

    /** Reads the table, and reports to it what is wrong and what contradicts itself. */
    abstract T read(ConfigTable table);
}
