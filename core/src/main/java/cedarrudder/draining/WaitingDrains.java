package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.DrainOrder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Orders waiting drains by the first policy of each node. */
final class WaitingDrains {

    private final Map<Long, DrainableNode> nodes;
    private final CompiledPolicies policies;

    /**
     * Creates the order of the drains of these nodes.
     *
     * @param nodes the listed nodes by id; may be filled later
     */
    WaitingDrains(Map<Long, DrainableNode> nodes, CompiledPolicies policies) {
        this.nodes = nodes;
        this.policies = policies;
    }

    /** Returns the waiting drains whose node is listed, the next one first. */
    List<Drain> inOrder(Collection<Drain> drains) {
        List<Drain> waiting = new ArrayList<>();
        for (Drain drain : drains) {
            if (drain.state == DrainState.WAITING && nodes.containsKey(drain.node)) {
                waiting.add(drain);
            }
        }
        waiting.sort(
                Comparator.<Drain>comparingInt(
                                drain -> Integer.numberOfTrailingZeros(policiesFor(drain)))
                        .thenComparing(this::compareByPolicyOrder)
                        .thenComparingInt(drain -> drain.slot));
        return waiting;
    }

    /** Returns the policies that apply to the node of a drain, as a bit set. */
    int policiesFor(Drain drain) {
        return policies.policiesFor(nodes.get(drain.node));
    }

    private int compareByPolicyOrder(Drain one, Drain other) {
        int applicable = policiesFor(one);
        if (applicable == 0) {
            return 0;
        }
        DrainableNode a = nodes.get(one.node);
        DrainableNode b = nodes.get(other.node);
        return switch (policies.policy(Integer.numberOfTrailingZeros(applicable)).order()) {
            case AS_ASKED -> 0;
            case POD_BY_POD -> Integer.compare(a.pod(), b.pod());
            case ZONE_BY_ZONE -> a.zone().compareTo(b.zone());
            case LIGHT_FIRST -> Double.compare(a.weight(), b.weight());
            case HEAVY_FIRST -> Double.compare(b.weight(), a.weight());
        };
    }

    /**
     * Returns the pod or zone that a wave is restricted to by an order; equal for all if by none.
     */
    static Object group(DrainOrder order, DrainableNode node) {
        return switch (order) {
            case POD_BY_POD -> node.pod();
            case ZONE_BY_ZONE -> node.zone();
            default -> "";
        };
    }
}
