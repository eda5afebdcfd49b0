package cedarrudder.operator;

import cedarrudder.routing.ResolverPatience;
import cedarrudder.toml.Table;

/** The table {@code [discovery]}. */
public final class DiscoveryTable extends Section<ResolverPatience> {

    public static final DiscoveryTable DISCOVERY = new DiscoveryTable();

    /**
     * Discovery says something every 2 s; a shorter patience would lose every watch that stands.
     */
    private static final int LEAST_WATCH = 2_500;

    private DiscoveryTable() {
        super("discovery", ResolverPatience.class, ResolverPatience.DEFAULT);
    }

    @Override
    ResolverPatience read(Table table) {
        ResolverPatience usual = ResolverPatience.DEFAULT;
        return new ResolverPatience(
                Units.millis(table, "call_patience_ms", 100, 60_000, usual.call()),
                Units.millis(table, "ask_again_ms", 100, 60_000, usual.again()),
                Units.millis(table, "watch_patience_ms", LEAST_WATCH, 600_000, usual.watch()),
                Units.millis(table, "watch_spread_ms", 0, 60_000, usual.spread()));
    }
}
