package cedarrudder.operator;

import cedarrudder.toml.Table;
import cedarrudder.transport.CallerLimits;

/** The table {@code [callers]}. */
public final class CallersTable extends Section<CallerLimits> {

    public static final CallersTable CALLERS = new CallersTable();

    private CallersTable() {
        super("callers", CallerLimits.class, CallerLimits.DEFAULT);
    }

    @Override
    CallerLimits read(Table table) {
        CallerLimits usual = CallerLimits.DEFAULT;
        long request =
                Units.millis(table, "request_patience_ms", 100, 60_000, usual.requestPatience());
        long silent = Units.millis(table, "silent_patience_ms", 50, 60_000, usual.silentLong());
        if (silent > request && table.sound("silent_patience_ms", "request_patience_ms")) {
            table.problem(
                    "silent_patience_ms",
                    silent / 1_000_000 + " with request_patience_ms = " + request / 1_000_000,
                    "no more than request_patience_ms, after which it is closed anyway");
        }
        return new CallerLimits(
                request,
                silent,
                Units.millis(table, "idle_patience_ms", 500, 3_600_000, usual.idlePatience()),
                Units.millis(table, "answer_patience_ms", 500, 600_000, usual.answerPatience()),
                Units.headBytes(table, usual.mostHead()),
                Units.bodyBytes(table, usual.mostBody()),
                Units.descriptorsShare(table, usual.descriptorsShare()));
    }
}
