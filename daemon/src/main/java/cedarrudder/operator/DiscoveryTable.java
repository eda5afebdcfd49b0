package cedarrudder.operator;

import cedarrudder.forwarding.DiscoveryTimeouts;
import cedarrudder.toml.ConfigTable;

/** The table {@code [discovery]}: the timeouts of discovery. */
public final class DiscoveryTable extends OperatorSection<DiscoveryTimeouts> {

    public static final DiscoveryTable DISCOVERY = new DiscoveryTable();

    /**
     * The minimum, in milliseconds: discovery sends a message every 2 s, and a shorter timeout
     * would end every working watch.
     */
    private static final int MIN_WATCH_MILLIS = 2_500;

    private DiscoveryTable() {
        super("discovery", DiscoveryTimeouts.class, DiscoveryTimeouts.DEFAULT);
    }

    @Override
    DiscoveryTimeouts read(ConfigTable table) {
        DiscoveryTimeouts defaults = DiscoveryTimeouts.DEFAULT;
        return new DiscoveryTimeouts(
                CommonKeys.millis(table, "call_patience_ms", 100, 60_000, defaults.callNanos()),
                CommonKeys.millis(table, "ask_again_ms", 100, 60_000, defaults.hedgeNanos()),
                CommonKeys.millis(
                        table,
                        "watch_patience_ms",
                        MIN_WATCH_MILLIS,
                        600_000,
                        defaults.watchSilenceNanos()),
                CommonKeys.millis(table, "watch_spread_ms", 0, 60_000, defaults.jitterNanos()));
    }
}
