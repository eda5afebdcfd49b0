package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Bound;
import java.util.HashMap;
import java.util.Map;

/** Counts the listed and the unavailable nodes of one policy in each pod, zone and tier. */
final class DisruptionCounts {

    private static final class Group {
        private int listed;
        private int out;
    }

    private final DrainPolicy policy;
    private final Map<Object, Group> pods = new HashMap<>();
    private final Map<Object, Group> zones = new HashMap<>();
    private final Map<Object, Group> tiers = new HashMap<>();
    private final Map<Object, double[]> weights = new HashMap<>();

    DisruptionCounts(DrainPolicy policy) {
        this.policy = policy;
    }

    private record Pod(String tier, int pod) {}

    private record Zone(String tier, String zone) {}

    void add(DrainableNode node, boolean out) {
        for (Group group : groups(node)) {
            group.listed++;
            group.out += out ? 1 : 0;
        }
        double[] weight = weight(node);
        weight[0] += node.weight();
        weight[1] += out ? 0 : node.weight();
    }

    private Group[] groups(DrainableNode node) {
        return new Group[] {
            pods.computeIfAbsent(new Pod(node.tier(), node.pod()), key -> new Group()),
            zones.computeIfAbsent(new Zone(node.tier(), node.zone()), key -> new Group()),
            tiers.computeIfAbsent(node.tier(), key -> new Group())
        };
    }

    /** Returns the listed weight and the serving weight of a node's tier, in this order. */
    private double[] weight(DrainableNode node) {
        return weights.computeIfAbsent(node.tier(), key -> new double[2]);
    }

    /**
     * Returns the bound that would be exceeded with this node unavailable, or null if none would.
     *
     * @param out whether the node is already counted as unavailable, such as a failed one that may
     *     serve again
     */
    Bound exceededBound(DrainableNode node, boolean out) {
        int added = out ? 0 : 1;
        Group[] groups = groups(node);
        DrainPolicy.MaxUnavailable[] max = {
            policy.maxPerPod(), policy.maxPerZone(), policy.maxPerTier()
        };
        int[] left = {
            policy.minAvailable().pod(), policy.minAvailable().zone(), policy.minAvailable().tier()
        };
        Bound[] maxBound = {Bound.POD, Bound.ZONE, Bound.TIER};
        Bound[] leftBound = {Bound.LEFT_POD, Bound.LEFT_ZONE, Bound.LEFT_TIER};
        for (int i = 0; i < groups.length; i++) {
            int unavailable = groups[i].out + added;
            if (unavailable > max[i].maxOf(groups[i].listed)) {
                return maxBound[i];
            }
            if (groups[i].listed - unavailable < left[i]) {
                return leftBound[i];
            }
        }
        double[] weight = weight(node);
        return weight[1] - added * node.weight() < policy.minAvailable().weight() * weight[0] - 1e-9
                ? Bound.LEFT_WEIGHT
                : null;
    }

    /** Counts a node as unavailable. */
    void addUnavailable(DrainableNode node) {
        for (Group group : groups(node)) {
            group.out++;
        }
        weight(node)[1] -= node.weight();
    }

    /** Returns whether more nodes are unavailable than the policy allows. */
    boolean isExceeded() {
        return isExceeded(pods, policy.maxPerPod())
                || isExceeded(zones, policy.maxPerZone())
                || isExceeded(tiers, policy.maxPerTier());
    }

    private static boolean isExceeded(Map<Object, Group> groups, DrainPolicy.MaxUnavailable max) {
        return groups.values().stream().anyMatch(group -> group.out > max.maxOf(group.listed));
    }
}
