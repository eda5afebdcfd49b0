package cedarrudder.operator;

import cedarrudder.failover.FailoverSettings;
import cedarrudder.failover.Regions;
import cedarrudder.failover.Regions.Region;
import cedarrudder.toml.ConfigTable;
import java.util.ArrayList;
import java.util.List;

/**
 * The table {@code [failover]}: when zones serve each other's clients. Without it, replicas decide
 * alone.
 */
public final class FailoverTable extends OperatorSection<FailoverSettings> {

    public static final FailoverTable FAILOVER = new FailoverTable();

    private static final long MIN_PERIOD = 100;
    private static final long MAX_PERIOD = 60_000;
    private static final long MAX_TIME = 3_600_000;
    private static final int MAX_REPLICAS = 16;
    private static final double MIN_SHARE = 0.05;
    private static final double MIN_PART = 0.1;
    private static final double MAX_BAD = 0.95;
    private static final double MAX_WATCH = 0.05;
    private static final int MIN_MOVES = 8;
    private static final int MAX_MOVES = 60;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private FailoverTable() {
        super("failover", FailoverSettings.class, null);
    }

    @Override
    FailoverSettings read(ConfigTable table) {
        FailoverSettings defaults = FailoverSettings.DEFAULT;
        Regions regions = regions(table);
        long period =
                CommonKeys.millis(table, "period_ms", MIN_PERIOD, MAX_PERIOD, defaults.period());
        long evidenceAge = readEvidenceAge(table, period);
        long returnHold = readReturnHold(table, period);
        long maxReturnHold = readMaxReturnHold(table, returnHold);
        return new FailoverSettings(
                regions,
                table.texts("leave"),
                period,
                evidenceAge,
                (int) table.integer("least_copies", 1, MAX_REPLICAS, defaults.minReplicas()),
                table.number("bad_share", MIN_SHARE, MAX_BAD, defaults.badShare()),
                table.number("target_share", MIN_PART, 1, defaults.targetShare()),
                table.number("near_share", MIN_PART, 1, defaults.nearShare()),
                CommonKeys.millis(table, "loss_hold_ms", 0, MAX_TIME, defaults.lossHold()),
                table.number("return_step", MIN_SHARE, 1, defaults.returnStep()),
                returnHold,
                maxReturnHold,
                (int)
                        table.integer(
                                "moves_per_minute",
                                MIN_MOVES,
                                MAX_MOVES,
                                defaults.movesPerMinute()),
                table.number("watch_share", 0, MAX_WATCH, defaults.probeShare()));
    }

    private static long readEvidenceAge(ConfigTable table, long period) {
        long age =
                CommonKeys.millis(
                        table,
                        "evidence_age_ms",
                        2 * MIN_PERIOD,
                        MAX_TIME,
                        FailoverSettings.DEFAULT.evidenceAge());
        if (age >= 2 * period) {
            return age;
        }
        table.problem(
                "evidence_age_ms",
                age / NANOS_PER_MILLI + " with period_ms = " + period / NANOS_PER_MILLI,
                "two periods or more");
        return 2 * period;
    }

    private static long readReturnHold(ConfigTable table, long period) {
        long hold =
                CommonKeys.millis(
                        table,
                        "return_hold_ms",
                        MIN_PERIOD,
                        MAX_TIME,
                        FailoverSettings.DEFAULT.returnHold());
        if (hold > period) {
            return hold;
        }
        table.problem(
                "return_hold_ms",
                hold / NANOS_PER_MILLI + " with period_ms = " + period / NANOS_PER_MILLI,
                "more than the period");
        return 2 * period;
    }

    private static long readMaxReturnHold(ConfigTable table, long returnHold) {
        long max =
                CommonKeys.millis(
                        table,
                        "return_hold_most_ms",
                        MIN_PERIOD,
                        MAX_TIME,
                        FailoverSettings.DEFAULT.maxReturnHold());
        if (max >= returnHold) {
            return max;
        }
        table.problem(
                "return_hold_most_ms",
                max / NANOS_PER_MILLI + " with return_hold_ms = " + returnHold / NANOS_PER_MILLI,
                "no less than return_hold_ms");
        return returnHold;
    }

    /**
     * Reads the regions. Contradictions are reported where they occur; whether the zones exist is
     * known only at the start.
     */
    private static Regions regions(ConfigTable table) {
        List<ConfigTable> entries = table.tables("region");
        List<Region> read = new ArrayList<>();
        for (ConfigTable entry : entries) {
            read.add(
                    new Region(
                            entry.text("name", null),
                            entry.texts("zones"),
                            entry.texts("nearest")));
        }
        Regions regions = new Regions(read);
        boolean sound = true;
        for (Regions.Problem problem : regions.problems(null)) {
            sound = false;
            ConfigTable entry = entries.get(problem.region());
            if (entry.sound(problem.key())) {
                entry.problem(problem.key(), problem.found(), problem.allowed());
            }
        }
        entries.forEach(ConfigTable::done);
        return sound ? regions : Regions.NONE;
    }
}
