package cedarrudder.draining;

/**
 * A node as one replica sees it.
 *
 * @param id its number, as the balancer and the route table know it
 * @param tier the name of the tier that it belongs to
 * @param zone the name of its zone; empty where it has none
 * @param pod its pod; the balancer calls it cell
 * @param kind the name of its kind; empty where it has none
 * @param start its last start, as discovery tells it, in milliseconds since 1970; 0: long ago
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

    /** Whether a node serves, and why not. */
    public enum NodeStatus {
        SERVING,
        /** Left out by hand, at one replica or more. */
        DISABLED,
        /** Discovery says that it leaves. */
        TERMINATING,
        /** It answers nothing, or errors only. */
        FAILED
    }

    /** The same with another status. */
    public DrainableNode with(NodeStatus other) {
        return new DrainableNode(id, tier, zone, pod, kind, weight, other, start);
    }
}
