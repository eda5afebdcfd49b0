package cedarrudder.operator;

import cedarrudder.logging.Level;
import cedarrudder.logging.LogSettings;
import cedarrudder.toml.ConfigTable;

/** The table {@code [log]}: the format and the level of the log. */
public final class LogTable extends OperatorSection<LogConfiguration> {

    public static final LogTable LOG = new LogTable();

    private static final int MAX_LINES = 10_000;
    private static final int MIN_CHARS = 40;
    private static final int MAX_CHARS = 10_000;

    private LogTable() {
        super("log", LogConfiguration.class, LogConfiguration.DEFAULT);
    }

    @Override
    LogConfiguration read(ConfigTable table) {
        LogSettings defaults = LogSettings.DEFAULT;
        return new LogConfiguration(
                table.choice(
                        "format", LogConfiguration.Form.class, LogConfiguration.DEFAULT.form()),
                new LogSettings(
                        table.choice("level", Level.class, defaults.level()),
                        (int) table.integer("lines_per_s", 0, MAX_LINES, defaults.linesPerSecond()),
                        (int)
                                table.integer(
                                        "line_chars", MIN_CHARS, MAX_CHARS, defaults.lineChars())));
    }
}
