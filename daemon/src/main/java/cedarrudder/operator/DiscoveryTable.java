package cedarrudder.operator;

import cedarrudder.forwarding.DiscoveryTimeouts;
import cedarrudder.toml.ConfigTable;

/** The table {@code [discovery]}. */
public final class DiscoveryTable extends OperatorSection<DiscoveryTimeouts> {

    public static final DiscoveryTable DISCOVERY = new DiscoveryTable();

    /**
     * Discovery says something every 2 s; a shorter patience would lose every watch that stands.
     */
    private static final int MIN_WATCH = 2_500;

    private DiscoveryTable() {
        super("discovery", DiscoveryTimeouts.class, DiscoveryTimeouts.DEFAULT);
    }

    @Override
    DiscoveryTimeouts read(ConfigTable table) {
        DiscoveryTimeouts usual = DiscoveryTimeouts.DEFAULT;
        return new DiscoveryTimeouts(
                CommonKeys.millis(table, "call_patience_ms", 100, 60_000, usual.callNanos()),
                CommonKeys.millis(table, "ask_again_ms", 100, 60_000, usual.hedgeNanos()),
                CommonKeys.millis(
                        table, "watch_patience_ms", MIN_WATCH, 600_000, usual.watchSilenceNanos()),
                CommonKeys.millis(table, "watch_spread_ms", 0, 60_000, usual.jitterNanos()));
    }
}
