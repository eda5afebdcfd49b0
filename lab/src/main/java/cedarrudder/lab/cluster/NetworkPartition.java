package cedarrudder.lab.cluster;

import java.util.List;

/**
 * The two sides of a cut, beside the replicas that a step is about.
 *
 * @param others the replicas on the other side; empty: all others
 * @param nodes those on the side of the replicas; both empty: the ways to nodes stay whole
 * @param otherNodes those on the other side
 */
record NetworkPartition(List<Integer> others, List<Integer> nodes, List<Integer> otherNodes) {

    static final NetworkPartition ALL = new NetworkPartition(List.of(), List.of(), List.of());

    NetworkPartition {
        others = List.copyOf(others);
        nodes = List.copyOf(nodes);
        otherNodes = List.copyOf(otherNodes);
    }
}
