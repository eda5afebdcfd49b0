package cedarrudder.operator;

import cedarrudder.toml.Table;
import cedarrudder.transport.NodeLimits;

/** The table {@code [nodes]}. */
public final class NodesTable extends Section<NodeLimits> {

    public static final NodesTable NODES = new NodesTable();

    private NodesTable() {
        super("nodes", NodeLimits.class, NodeLimits.DEFAULT);
    }

    @Override
    NodeLimits read(Table table) {
        NodeLimits usual = NodeLimits.DEFAULT;
        return new NodeLimits(
                Units.millis(table, "probe_patience_ms", 10, 10_000, usual.probePatience()),
                Units.millis(table, "answer_patience_ms", 10, 60_000, usual.answerPatience()),
                Units.headBytes(table, usual.mostHead()),
                Units.bodyBytes(table, usual.mostBody()),
                Units.descriptorsShare(table, usual.descriptorsShare()));
    }
}
