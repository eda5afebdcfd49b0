package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;
import cedarrudder.transport.ClientLimits;

/** The table {@code [callers]}: the limits for clients. */
public final class CallersTable extends OperatorSection<ClientLimits> {

    public static final CallersTable CALLERS = new CallersTable();

    private CallersTable() {
        super("callers", ClientLimits.class, ClientLimits.DEFAULT);
    }

    @Override
    ClientLimits read(ConfigTable table) {
        ClientLimits defaults = ClientLimits.DEFAULT;
        long request =
                CommonKeys.millis(
                        table, "request_patience_ms", 100, 60_000, defaults.requestTimeout());
        long silent =
                CommonKeys.millis(table, "silent_patience_ms", 50, 60_000, defaults.silentAfter());
        if (silent > request && table.sound("silent_patience_ms", "request_patience_ms")) {
            table.problem(
                    "silent_patience_ms",
                    silent / 1_000_000 + " with request_patience_ms = " + request / 1_000_000,
                    "no more than request_patience_ms, after which it is closed anyway");
        }
        return new ClientLimits(
                request,
                silent,
                CommonKeys.millis(
                        table, "idle_patience_ms", 500, 3_600_000, defaults.idleTimeout()),
                CommonKeys.millis(
                        table, "answer_patience_ms", 500, 600_000, defaults.responseTimeout()),
                CommonKeys.headBytes(table, defaults.maxHeadBytes()),
                CommonKeys.bodyBytes(table, defaults.maxBodyBytes()),
                CommonKeys.descriptorsShare(table, defaults.descriptorShare()));
    }
}
