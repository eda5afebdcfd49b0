package cedarrudder.operator;

import cedarrudder.consensus.ConsensusSettings;
import cedarrudder.coordination.CoordinationSettings;
import cedarrudder.toml.ConfigTable;
import java.nio.file.Path;
import java.util.List;

/**
 * The table {@code [agreement]}: coordination among replicas. Without it, each replica decides
 * alone.
 */
public final class AgreementTable extends OperatorSection<AgreementTableSettings> {

    public static final AgreementTable AGREEMENT = new AgreementTable();

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_HEARTBEAT = 10;
    private static final long MAX_HEARTBEAT = 10_000;
    private static final long MAX_TIME = 600_000;
    private static final long MIN_PLAN = 100;
    private static final int HEARTBEATS_PER_ELECTION = 3;
    private static final int PERIODS_PER_LEASE = 4;
    private static final int MIN_VOTERS = 3;
    private static final int MAX_VOTERS = 7;
    private static final String[] CONSENSUS_KEYS = {
        "heartbeat_ms",
        "election_least_ms",
        "election_most_ms",
        "voters",
        "voter_patience_ms",
        "silence_ms"
    };

    private AgreementTable() {
        super("agreement", AgreementTableSettings.class, null);
    }

    @Override
    AgreementTableSettings read(ConfigTable table) {
        ConsensusSettings consensus = readConsensus(table);
        CoordinationSettings coordination = readCoordination(table);
        List<String> zones = table.texts("zones");
        String folder = table.text("folder", "");
        boolean sound = table.sound(CONSENSUS_KEYS) && table.sound("plan_ms", "lease_ms");
        return new AgreementTableSettings(
                sound ? consensus : ConsensusSettings.DEFAULT,
                sound ? coordination : CoordinationSettings.DEFAULT,
                zones,
                folder.isEmpty() ? null : Path.of(folder));
    }

    /**
     * Reads the settings of the consensus log; returns null where some of them are wrong, which the
     * table reports.
     */
    private static ConsensusSettings readConsensus(ConfigTable table) {
        ConsensusSettings defaults = ConsensusSettings.DEFAULT;
        long heartbeat =
                CommonKeys.millis(
                        table, "heartbeat_ms", MIN_HEARTBEAT, MAX_HEARTBEAT, defaults.heartbeat());
        long minElection = readMinElection(table, heartbeat);
        long maxElection = readMaxElection(table, minElection);
        int voters = (int) table.integer("voters", MIN_VOTERS, MAX_VOTERS, defaults.voters());
        if (voters % 2 == 0) {
            table.problem("voters", Integer.toString(voters), "3, 5, 7");
        }
        long patience = readVoterPatience(table, maxElection);
        long silence = readSilence(table, patience);
        return !table.sound(CONSENSUS_KEYS)
                ? null
                : new ConsensusSettings(
                        heartbeat,
                        minElection,
                        maxElection,
                        voters,
                        patience,
                        defaults.spreadPeriod(),
                        defaults.fanout(),
                        defaults.bytesPerSecond(),
                        defaults.retainedEntries(),
                        silence);
    }

    private static long readMinElection(ConfigTable table, long heartbeat) {
        String key = "election_least_ms";
        long min = time(table, key, ConsensusSettings.DEFAULT.minElection());
        if (min < HEARTBEATS_PER_ELECTION * heartbeat && table.sound("heartbeat_ms", key)) {
            wrong(table, key, min, "heartbeat_ms", heartbeat, "three times that or more");
        }
        return min;
    }

    private static long readMaxElection(ConfigTable table, long minElection) {
        String key = "election_most_ms";
        long max = time(table, key, ConsensusSettings.DEFAULT.maxElection());
        if (max <= minElection && table.sound("election_least_ms", key)) {
            wrong(table, key, max, "election_least_ms", minElection, "more than that");
        }
        return max;
    }

    private static long readVoterPatience(ConfigTable table, long maxElection) {
        String key = "voter_patience_ms";
        long patience = time(table, key, ConsensusSettings.DEFAULT.voterPatience());
        if (patience <= maxElection && table.sound("election_most_ms", key)) {
            wrong(table, key, patience, "election_most_ms", maxElection, "more than that");
        }
        return patience;
    }

    private static long readSilence(ConfigTable table, long patience) {
        String key = "silence_ms";
        long silence =
                CommonKeys.millis(
                        table, key, 0, MAX_TIME, ConsensusSettings.DEFAULT.formationTimeout());
        if (silence > 0 && silence <= patience && table.sound("voter_patience_ms", key)) {
            wrong(table, key, silence, "voter_patience_ms", patience, "0, or more than that");
        }
        return silence;
    }

    private static long time(ConfigTable table, String key, long defaults) {
        return CommonKeys.millis(table, key, MIN_HEARTBEAT, MAX_TIME, defaults);
    }

    /** Reads the settings of the coordination; returns null where some of them are wrong. */
    private static CoordinationSettings readCoordination(ConfigTable table) {
        CoordinationSettings defaults = CoordinationSettings.DEFAULT;
        long period = CommonKeys.millis(table, "plan_ms", MIN_PLAN, MAX_TIME, defaults.period());
        long lease = CommonKeys.millis(table, "lease_ms", MIN_PLAN, MAX_TIME, defaults.lease());
        if (lease < PERIODS_PER_LEASE * period && table.sound("plan_ms", "lease_ms")) {
            wrong(table, "lease_ms", lease, "plan_ms", period, "four times that or more");
        }
        return table.sound("plan_ms", "lease_ms") ? new CoordinationSettings(period, lease) : null;
    }

    private static void wrong(
            ConfigTable table, String key, long found, String other, long with, String allowed) {
        table.problem(
                key,
                found / NANOS_PER_MILLI + " with " + other + " = " + with / NANOS_PER_MILLI,
                allowed);
    }
}
