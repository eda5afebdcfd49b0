package cedarrudder.operator;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.toml.ConfigTable;
import java.nio.file.Path;
import java.util.List;

/** The table {@code [agreement]}: what replicas decide together. Absent, each decides alone. */
public final class AgreementTable extends OperatorSection<AgreementTableSettings> {

    public static final AgreementTable AGREEMENT = new AgreementTable();

    private static final long MILLI = 1_000_000L;
    private static final long MIN_BEAT = 10;
    private static final long MAX_BEAT = 10_000;
    private static final long MAX_TIME = 600_000;
    private static final long MIN_PLAN = 100;
    private static final int BEATS = 3;
    private static final int REPORTS = 4;

    private AgreementTable() {
        super("agreement", AgreementTableSettings.class, null);
    }

    @Override
    AgreementTableSettings read(ConfigTable table) {
        ConsensusSettings usual = ConsensusSettings.DEFAULT;
        long beat = CommonKeys.millis(table, "heartbeat_ms", MIN_BEAT, MAX_BEAT, usual.heartbeat());
        long min =
                CommonKeys.millis(
                        table, "election_least_ms", MIN_BEAT, MAX_TIME, usual.minElection());
        if (min < BEATS * beat && table.sound("heartbeat_ms", "election_least_ms")) {
            wrong(
                    table,
                    "election_least_ms",
                    min,
                    "heartbeat_ms",
                    beat,
                    "three times that or more");
        }
        long max =
                CommonKeys.millis(
                        table, "election_most_ms", MIN_BEAT, MAX_TIME, usual.maxElection());
        if (max <= min && table.sound("election_least_ms", "election_most_ms")) {
            wrong(table, "election_most_ms", max, "election_least_ms", min, "more than that");
        }
        int voters = (int) table.integer("voters", BEATS, 7, usual.voters());
        if (voters % 2 == 0) {
            table.problem("voters", Integer.toString(voters), "3, 5, 7");
        }
        long patience =
                CommonKeys.millis(
                        table, "voter_patience_ms", MIN_BEAT, MAX_TIME, usual.voterPatience());
        if (patience <= max && table.sound("election_most_ms", "voter_patience_ms")) {
            wrong(table, "voter_patience_ms", patience, "election_most_ms", max, "more than that");
        }
        long silence = CommonKeys.millis(table, "silence_ms", 0, MAX_TIME, usual.silence());
        if (silence > 0 && silence <= patience && table.sound("voter_patience_ms", "silence_ms")) {
            wrong(
                    table,
                    "silence_ms",
                    silence,
                    "voter_patience_ms",
                    patience,
                    "0, or more than that");
        }
        long period =
                CommonKeys.millis(
                        table,
                        "plan_ms",
                        MIN_PLAN,
                        MAX_TIME,
                        CoordinationSettings.DEFAULT.period());
        long lease =
                CommonKeys.millis(
                        table,
                        "lease_ms",
                        MIN_PLAN,
                        MAX_TIME,
                        CoordinationSettings.DEFAULT.lease());
        if (lease < REPORTS * period && table.sound("plan_ms", "lease_ms")) {
            wrong(table, "lease_ms", lease, "plan_ms", period, "four times that or more");
        }
        List<String> zones = table.texts("zones");
        String folder = table.text("folder", "");
        boolean sound =
                table.sound(
                        "heartbeat_ms",
                        "election_least_ms",
                        "election_most_ms",
                        "voters",
                        "voter_patience_ms",
                        "silence_ms",
                        "plan_ms",
                        "lease_ms");
        return new AgreementTableSettings(
                sound
                        ? new ConsensusSettings(
                                beat,
                                min,
                                max,
                                voters,
                                patience,
                                usual.spreadPeriod(),
                                usual.fanout(),
                                usual.bytesPerSecond(),
                                usual.retainedEntries(),
                                silence)
                        : usual,
                sound ? new CoordinationSettings(period, lease) : CoordinationSettings.DEFAULT,
                zones,
                folder.isEmpty() ? null : Path.of(folder));
    }

    private static void wrong(
            ConfigTable table, String key, long found, String other, long with, String allowed) {
        table.problem(key, found / MILLI + " with " + other + " = " + with / MILLI, allowed);
    }
}
