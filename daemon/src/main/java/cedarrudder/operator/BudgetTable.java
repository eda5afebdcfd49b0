package cedarrudder.operator;

import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.HopPath;
import cedarrudder.toml.ConfigTable;

/**
 * The table {@code [budget]}: budgets of time and attempts across tiers. Without it there are none.
 */
public final class BudgetTable extends OperatorSection<BudgetSettings> {

    public static final BudgetTable BUDGET = new BudgetTable();

    private static final int MAX_TRIES = 16;
    private static final int MAX_PER_SECOND = 1_000;
    private static final int MIN_PATH = 2;
    private static final int MAX_PATH = 16;
    private static final double MIN_LET_IN = 0.01;
    private static final long MIN_WINDOW = 1_000;
    private static final long MAX_WINDOW = 60_000;

    private BudgetTable() {
        super("budget", BudgetSettings.class, null);
    }

    /** Reads the table; also used where an experiment has such a table. */
    @Override
    public BudgetSettings read(ConfigTable table) {
        BudgetSettings defaults = BudgetSettings.of("");
        BudgetSettings read =
                new BudgetSettings(
                        table.text("hop", ""),
                        (int) table.integer("tries", 0, MAX_TRIES, defaults.tries()),
                        (int)
                                table.integer(
                                        "tries_without_fields",
                                        0,
                                        MAX_TRIES,
                                        defaults.triesWithoutFields()),
                        (int) table.integer("keep_tries", 0, MAX_TRIES, defaults.keep()),
                        table.number("retry_share", 0, 1, defaults.share()),
                        table.number(
                                "retry_least_per_s", 0, MAX_PER_SECOND, defaults.minPerSecond()),
                        CommonKeys.millis(
                                table, "window_ms", MIN_WINDOW, MAX_WINDOW, defaults.window()),
                        (int) table.integer("path_most", MIN_PATH, MAX_PATH, defaults.maxHops()),
                        table.number("let_in_least", MIN_LET_IN, 1, defaults.minAdmitted()));
        check(table, read);
        return read;
    }

    private static void check(ConfigTable table, BudgetSettings read) {
        if (!read.hop().isEmpty() && !HopPath.isHop(read.hop())) {
            table.problem(
                    "hop",
                    '"' + read.hop() + '"',
                    "1 to 32 letters, digits, dots, dashes, underscores");
        }
        if (read.triesWithoutFields() > read.tries()) {
            table.problem(
                    "tries_without_fields",
                    read.triesWithoutFields() + " with tries = " + read.tries(),
                    "no more than tries, which a request with fields gets");
        }
        if (read.keep() > read.tries()) {
            table.problem(
                    "keep_tries",
                    read.keep() + " with tries = " + read.tries(),
                    "no more than tries, of which they are reserved");
        }
        if (read.tries() > 0 && read.share() == 0 && read.minPerSecond() == 0) {
            table.problem(
                    "tries",
                    read.tries() + " with retry_share = 0 and retry_least_per_s = 0",
                    "0, since these allow no further attempt");
        }
    }
}
