package cedarrudder.draining;

/**
 * A node as one replica sees it.
 *
 * @param id the number of the node, as in the balancer and the route table
 * @param tier the name of its tier
 * @param zone the name of its zone; empty if it has none
 * @param pod the number of its pod, which the balancer calls cell
 * @param kind the name of its kind; empty if it has none
 * @param start its last start according to discovery, in milliseconds since 1970; 0: long ago
 */
public record DrainableNode(
        long id,
        String tier,
        String zone,
        int pod,
        String kind,
        double weight,
        NodeStatus status,
        long start) {

    /** The status of a node: serving, or why it is not. */
    public enum NodeStatus {
        SERVING,
        /** Disabled by an operator at one replica or more. */
        DISABLED,
        /** Discovery reports that the node terminates. */
        TERMINATING,
        /** The node does not respond, or responds with errors only. */
        FAILED
    }

    /** Returns a copy with another status. */
    public DrainableNode with(NodeStatus other) {
        return new DrainableNode(id, tier, zone, pod, kind, weight, other, start);
    }
}
