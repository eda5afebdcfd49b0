package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;
import java.nio.file.Path;

/**
 * The table {@code [history]}: a history of events, for a checker. Without it, nothing is written.
 */
public final class HistoryTable extends OperatorSection<HistorySettings> {

    public static final HistoryTable HISTORY = new HistoryTable();

    /** Sixty years and more in either direction: a clock whose battery failed reads 1970. */
    private static final long MAX_OFFSET = 2_000_000_000_000L;

    /** One part in a thousand: the drift that replicas tolerate between their clocks. */
    private static final int MAX_DRIFT = 1_000;

    private HistoryTable() {
        super("history", HistorySettings.class, null);
    }

    @Override
    HistorySettings read(ConfigTable table) {
        String file = table.text("file", null);
        if (file.isEmpty() && table.sound("file")) {
            table.problem("file", "\"\"", "the name of a file");
        }
        return new HistorySettings(
                Path.of(file),
                table.integer("clock_offset_ms", -MAX_OFFSET, MAX_OFFSET, 0),
                (int) table.integer("clock_drift_ppm", -MAX_DRIFT, MAX_DRIFT, 0));
    }
}
