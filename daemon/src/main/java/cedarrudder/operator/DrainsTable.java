package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/**
 * The table {@code [drains]}: the constraints while endpoints are drained. Without it the feature
 * is off.
 */
public final class DrainsTable extends OperatorSection<DrainsConfiguration> {

    public static final DrainsTable DRAINS = new DrainsTable();

    private DrainsTable() {
        super("drains", DrainsConfiguration.class, null);
    }

    @Override
    DrainsConfiguration read(ConfigTable table) {
        return DrainsReader.read(table);
    }
}
