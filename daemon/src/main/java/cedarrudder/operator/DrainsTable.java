package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/**
 * The table {@code [drains]}: what must hold while endpoints leave. Absent, nothing of it is there.
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
