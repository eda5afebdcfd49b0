package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;

/**
 * The table {@code [footprint]}: the memory that lists of endpoints may use. Without it, every list
 * is loaded.
 */
public final class FootprintTable extends OperatorSection<FootprintSettings> {

    public static final FootprintTable FOOTPRINT = new FootprintTable();

    private static final double MIN_SHARE = 0.05;
    private static final double MAX_SHARE = 0.9;
    private static final int MAX_NODES = 1_000_000;

    private FootprintTable() {
        super("footprint", FootprintSettings.class, null);
    }

    @Override
    FootprintSettings read(ConfigTable table) {
        FootprintSettings defaults = FootprintSettings.DEFAULT;
        return new FootprintSettings(
                table.number("heap_share", MIN_SHARE, MAX_SHARE, defaults.heapShare()),
                (int) table.integer("from_nodes", 0, MAX_NODES, defaults.fromNodes()),
                CommonKeys.millis(table, "ask_again_ms", 1_000, 600_000, defaults.again()));
    }
}
