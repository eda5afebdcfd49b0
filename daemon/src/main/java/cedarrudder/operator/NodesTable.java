package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;
import cedarrudder.transport.EndpointLimits;

/** The table {@code [nodes]}: the limits for endpoints. */
public final class NodesTable extends OperatorSection<EndpointLimits> {

    public static final NodesTable NODES = new NodesTable();

    private NodesTable() {
        super("nodes", EndpointLimits.class, EndpointLimits.DEFAULT);
    }

    @Override
    EndpointLimits read(ConfigTable table) {
        EndpointLimits defaults = EndpointLimits.DEFAULT;
        return new EndpointLimits(
                CommonKeys.millis(table, "probe_patience_ms", 10, 10_000, defaults.probeTimeout()),
                CommonKeys.millis(
                        table, "answer_patience_ms", 10, 60_000, defaults.responseTimeout()),
                CommonKeys.headBytes(table, defaults.maxHeadBytes()),
                CommonKeys.bodyBytes(table, defaults.maxBodyBytes()),
                CommonKeys.descriptorsShare(table, defaults.descriptorShare()));
    }
}
