package cedarrudder.operator;

import cedarrudder.membership.MembershipSettings;
import cedarrudder.toml.ConfigTable;

/**
 * The table {@code [membership]}: which proxies of the tier are alive. Without it, none is probed.
 */
public final class MembershipTable extends OperatorSection<MembershipSettings> {

    public static final MembershipTable MEMBERSHIP = new MembershipTable();

    private static final long MIN_PERIOD = 100;
    private static final long MAX_PERIOD = 60_000;
    private static final long MIN_PATIENCE = 10;
    private static final int MAX_HELPERS = 8;
    private static final double MIN_SUSPICION = 0.5;
    private static final double MAX_SUSPICION = 100;
    private static final double MAX_STRETCH = 20;
    private static final int MAX_CONFIRMATIONS = 16;
    private static final int MAX_SPREAD = 16;
    private static final int MAX_HEALTH = 32;
    private static final int MAX_REVIVE = 1_000;

    private MembershipTable() {
        super("membership", MembershipSettings.class, null);
    }

    @Override
    MembershipSettings read(ConfigTable table) {
        MembershipSettings defaults = MembershipSettings.DEFAULT;
        long period =
                CommonKeys.millis(table, "period_ms", MIN_PERIOD, MAX_PERIOD, defaults.period());
        long patience =
                CommonKeys.millis(
                        table, "ack_patience_ms", MIN_PATIENCE, MAX_PERIOD, defaults.ackTimeout());
        if (patience >= period) {
            table.problem(
                    "ack_patience_ms",
                    patience / 1_000_000 + " with period_ms = " + period / 1_000_000,
                    "less than the period, in which other replicas probe too");
            patience = period / 2;
        }
        return new MembershipSettings(
                period,
                patience,
                (int) table.integer("helpers", 0, MAX_HELPERS, defaults.helpers()),
                table.number(
                        "suspicion_periods",
                        MIN_SUSPICION,
                        MAX_SUSPICION,
                        defaults.suspicionMultiplier()),
                table.number(
                        "suspicion_stretch", 1, MAX_STRETCH, defaults.maxSuspicionMultiplier()),
                (int)
                        table.integer(
                                "confirmations", 1, MAX_CONFIRMATIONS, defaults.confirmations()),
                (int) table.integer("spread", 1, MAX_SPREAD, defaults.retransmitMultiplier()),
                (int) table.integer("worst_health", 0, MAX_HEALTH, defaults.maxHealthScore()),
                (int) table.integer("revive_periods", 1, MAX_REVIVE, defaults.deadProbePeriods()));
    }
}
