package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.DrainOrder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** In which order waiting drains begin, by the first policy of each node. */
final class WaitingDrains {

    private final Map<Long, DrainableNode> nodes;
    private final CompiledPolicies policies;

    /**
     * Drains of these nodes.
     *
     * @param nodes by their ids; may be filled later
     */
    WaitingDrains(Map<Long, DrainableNode> nodes, CompiledPolicies policies) {
        this.nodes = nodes;
        this.policies = policies;
    }

    /** Those that wait and whose node is listed, the next one first. */
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

    /** The policies for the node of a drain, as bits. */
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

    /** The nodes that may go in one wave: of one pod or zone where the policy says so. */
    static Object group(DrainOrder order, DrainableNode node) {
        return switch (order) {
            case POD_BY_POD -> node.pod();
            case ZONE_BY_ZONE -> node.zone();
            default -> "";
        };
    }
}
