package cedarrudder.operator;

import cedarrudder.toml.ConfigTable;
import cedarrudder.transport.EndpointLimits;

/** The table {@code [nodes]}. */
public final class NodesTable extends OperatorSection<EndpointLimits> {

    public static final NodesTable NODES = new NodesTable();

    private NodesTable() {
        super("nodes", EndpointLimits.class, EndpointLimits.DEFAULT);
    }

    @Override
    EndpointLimits read(ConfigTable table) {
        EndpointLimits usual = EndpointLimits.DEFAULT;
        return new EndpointLimits(
                CommonKeys.millis(table, "probe_patience_ms", 10, 10_000, usual.probeTimeout()),
                CommonKeys.millis(table, "answer_patience_ms", 10, 60_000, usual.responseTimeout()),
                CommonKeys.headBytes(table, usual.maxHeadBytes()),
                CommonKeys.bodyBytes(table, usual.maxBodyBytes()),
                CommonKeys.descriptorsShare(table, usual.descriptorShare()));
    }
}
