package cedarrudder.lab.model;

import cedarrudder.lab.policy.GroundTruth;
import java.util.List;

/**
 * The true state of a tier's nodes. A machine that has been replaced, or was never there, takes
 * nothing.
 */
final class TierTruth implements GroundTruth {

    private final List<Node> nodes;
    private final LongMap<Node> byId = new LongMap<>();

    TierTruth(List<Node> nodes) {
        this.nodes = nodes;
    }

    private Node find(long endpoint) {
        Node known = byId.get(endpoint);
        if (known == null) {
            for (Node node : nodes) {
                if (node.endpoint == endpoint) {
                    byId.put(endpoint, node);
                    known = node;
                }
            }
        }
        return known != null && known.endpoint == endpoint ? known : null;
    }

    @Override
    public boolean takes(long endpoint) {
        Node node = find(endpoint);
        return node != null && node.takes();
    }

    @Override
    public double capacity(long endpoint) {
        Node node = find(endpoint);
        return node == null ? 0 : node.capacityNow();
    }

    @Override
    public double backlog(long endpoint) {
        Node node = find(endpoint);
        return node == null ? 0 : node.backlog();
    }

    @Override
    public int held(long endpoint) {
        Node node = find(endpoint);
        return node == null ? 0 : node.holds();
    }

    @Override
    public boolean sound(long endpoint) {
        Node node = find(endpoint);
        return node != null && node.sound();
    }
}
