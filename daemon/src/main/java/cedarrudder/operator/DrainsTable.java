package cedarrudder.operator;

import cedarrudder.toml.Table;

/** The table {@code [drains]}: what must hold while nodes leave. Absent, nothing of it is there. */
public final class DrainsTable extends Section<DrainsFile> {

    public static final DrainsTable DRAINS = new DrainsTable();

    private DrainsTable() {
        super("drains", DrainsFile.class, null);
    }

    @Override
    DrainsFile read(Table table) {
        return DrainsReader.read(table);
    }
}
