package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;
import cedarrudder.transport.ClientLimits;

/** The table {@code [callers]}. */
public final class CallersTable extends OperatorSection<ClientLimits> {

    public static final CallersTable CALLERS = new CallersTable();

    private CallersTable() {
        super("callers", ClientLimits.class, ClientLimits.DEFAULT);
    }

    @Override
    ClientLimits read(ConfigTable table) {
        ClientLimits usual = ClientLimits.DEFAULT;
        long request =
                CommonKeys.millis(
                        table, "request_patience_ms", 100, 60_000, usual.requestTimeout());
        long silent =
                CommonKeys.millis(table, "silent_patience_ms", 50, 60_000, usual.silentAfter());
        if (silent > request && table.sound("silent_patience_ms", "request_patience_ms")) {
            table.problem(
                    "silent_patience_ms",
                    silent / 1_000_000 + " with request_patience_ms = " + request / 1_000_000,
                    "no more than request_patience_ms, after which it is closed anyway");
        }
        return new ClientLimits(
                request,
                silent,
                CommonKeys.millis(table, "idle_patience_ms", 500, 3_600_000, usual.idleTimeout()),
                CommonKeys.millis(
                        table, "answer_patience_ms", 500, 600_000, usual.responseTimeout()),
                CommonKeys.headBytes(table, usual.maxHeadBytes()),
                CommonKeys.bodyBytes(table, usual.maxBodyBytes()),
                CommonKeys.descriptorsShare(table, usual.descriptorShare()));
    }
}
