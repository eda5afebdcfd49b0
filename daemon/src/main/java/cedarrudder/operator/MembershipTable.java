package cedarrudder.operator;

import cedarrudder.membership.MembershipSettings;
import cedarrudder.toml.ConfigTable;

/** The table {@code [membership]}: which proxies of the tier live. Absent, nobody asks. */
public final class MembershipTable extends OperatorSection<MembershipSettings> {

    public static final MembershipTable MEMBERSHIP = new MembershipTable();

    private static final long LEAST_PERIOD = 100;
    private static final long MOST_PERIOD = 60_000;
    private static final long LEAST_PATIENCE = 10;
    private static final int MOST_HELPERS = 8;
    private static final double LEAST_SUSPICION = 0.5;
    private static final double MOST_SUSPICION = 100;
    private static final double MOST_STRETCH = 20;
    private static final int MOST_CONFIRMATIONS = 16;
    private static final int MOST_SPREAD = 16;
    private static final int MOST_HEALTH = 32;
    private static final int MOST_REVIVE = 1_000;

    private MembershipTable() {
        super("membership", MembershipSettings.class, null);
    }

    @Override
    MembershipSettings read(ConfigTable table) {
        MembershipSettings usual = MembershipSettings.DEFAULT;
        long period =
                CommonKeys.millis(table, "period_ms", LEAST_PERIOD, MOST_PERIOD, usual.period());
        long patience =
                CommonKeys.millis(
                        table, "ack_patience_ms", LEAST_PATIENCE, MOST_PERIOD, usual.ackPatience());
        if (patience >= period) {
            table.problem(
                    "ack_patience_ms",
                    patience / 1_000_000 + " with period_ms = " + period / 1_000_000,
                    "less than the period, in which others ask too");
            patience = period / 2;
        }
        return new MembershipSettings(
                period,
                patience,
                (int) table.whole("helpers", 0, MOST_HELPERS, usual.helpers()),
                table.number(
                        "suspicion_periods",
                        LEAST_SUSPICION,
                        MOST_SUSPICION,
                        usual.suspicionLeast()),
                table.number("suspicion_stretch", 1, MOST_STRETCH, usual.suspicionMost()),
                (int) table.whole("confirmations", 1, MOST_CONFIRMATIONS, usual.confirmations()),
                (int) table.whole("spread", 1, MOST_SPREAD, usual.spread()),
                (int) table.whole("worst_health", 0, MOST_HEALTH, usual.worstHealth()),
                (int) table.whole("revive_periods", 1, MOST_REVIVE, usual.revivePeriods()));
    }
}
