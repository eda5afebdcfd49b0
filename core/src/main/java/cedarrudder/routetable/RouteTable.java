package cedarrudder.routetable;

import java.util.Comparator;
import java.util.List;

/**
 * What the replicas of a tier have agreed on, whole: where each zone's clients are served, which
 * nodes are being removed, and what each class may get while it holds. Immutable; equal contents
 * are equal, in whatever order they were given, and have the same {@linkplain RouteTableCodec
 * bytes}.
 *
 * @param number the table's own; it only rises, over all groups; at least 1
 * @param group the group of replicas that agreed on it; at least 0
 * @param term the term in which they did; at least 0
 * @param lease how long a replica that hears nothing more may use it, in nanoseconds; over 0
 * @param routes which part of a zone's calls which zone serves, ordered by both zones
 * @param draining the nodes being removed, ordered by node
 * @param limits what classes may get, ordered by class; a class without one is not limited
 */
public record RouteTable(
        long number,
        long group,
        long term,
        long lease,
        List<ZoneRoute> routes,
        List<DrainingNode> draining,
        List<ClassLimit> limits) {

    /** A zone's whole: shares are whole parts of it. */
    public static final int TOTAL_WEIGHT = 10_000;

    /** Zones, classes and waves are numbered from 0 to one less than this. */
    public static final int MAX_ZONES = 64;

    public static final int MAX_CLASSES = 256;
    public static final int MAX_WAVES = 1 << 16;

    /** Nodes that are being removed at once. */
    public static final int MAX_DRAINING = 1 << 14;

    /** Nodes have numbers below this, as the balancer knows them. */
    public static final long MAX_NODE = 1L << 52;

    /** Why a zone serves the clients of another, or its own. */
    public enum RouteReason {
        /** It is the one that they belong to. */
        NEAR,
        /** Theirs can't serve this part. */
        SPILLED,
        /** Theirs has been left. */
        MOVED
    }

    /**
     * A part of one zone's calls.
     *
     * @param from the zone of the clients
     * @param to the zone that serves them
     * @param weight of {@link #TOTAL_WEIGHT}, this many; from 1
     * @param maxPerSecond it gets no more calls a second from there; 0: no bound
     */
    public record ZoneRoute(int from, int to, RouteReason reason, int weight, int maxPerSecond) {
        /**
         * Checks the ranges above; what lies outside is an IllegalArgumentException that names it.
         */
        public ZoneRoute {
            check(from >= 0 && from < MAX_ZONES, "share.from", from, "0 to " + (MAX_ZONES - 1));
            check(to >= 0 && to < MAX_ZONES, "share.to", to, "0 to " + (MAX_ZONES - 1));
            check(reason != null, "share.way", null, "near, spilled, moved");
            check(
                    weight >= 1 && weight <= TOTAL_WEIGHT,
                    "share.parts",
                    weight,
                    "1 to " + TOTAL_WEIGHT);
            check(maxPerSecond >= 0, "share.perSecond", maxPerSecond, "0 or more");
        }
    }

    /** A node that is being removed, and the wave in which it is. */
    public record DrainingNode(long node, int wave) {
        /** Checks the ranges; what lies outside is an IllegalArgumentException that names it. */
        public DrainingNode {
            check(node >= 0 && node < MAX_NODE, "leaving.node", node, "0 to 2^52 - 1");
            check(wave >= 0 && wave < MAX_WAVES, "leaving.wave", wave, "0 to " + (MAX_WAVES - 1));
        }
    }

    /** What a class may get a second while the table holds. */
    public record ClassLimit(int classIndex, int maxPerSecond) {
        /** Checks the ranges; what lies outside is an IllegalArgumentException that names it. */
        public ClassLimit {
            check(
                    classIndex >= 0 && classIndex < MAX_CLASSES,
                    "limit.class",
                    classIndex,
                    "0 to " + (MAX_CLASSES - 1));
            check(maxPerSecond >= 0, "limit.perSecond", maxPerSecond, "0 or more");
        }
    }

    /**
     * Checks all that is said above; what is wrong is an IllegalArgumentException that names it.
     */
    public RouteTable {
        check(number >= 1, "number", number, "1 or more");
        check(group >= 0, "group", group, "0 or more");
        check(term >= 0, "term", term, "0 or more");
        check(lease > 0, "lease", lease, "over 0");
        check(
                draining.size() <= MAX_DRAINING,
                "leaving",
                draining.size() + " nodes",
                "up to " + MAX_DRAINING);
        routes =
                routes.stream()
                        .sorted(
                                Comparator.comparingInt(ZoneRoute::from)
                                        .thenComparing(ZoneRoute::to))
                        .toList();
        draining = draining.stream().sorted(Comparator.comparingLong(DrainingNode::node)).toList();
        limits = limits.stream().sorted(Comparator.comparingInt(ClassLimit::classIndex)).toList();
        checkRoutes(routes);
        for (int i = 1; i < draining.size(); i++) {
            check(
                    draining.get(i - 1).node() != draining.get(i).node(),
                    "leaving",
                    "node " + draining.get(i).node() + " twice",
                    "once");
        }
        for (int i = 1; i < limits.size(); i++) {
            check(
                    limits.get(i - 1).classIndex() != limits.get(i).classIndex(),
                    "limit",
                    "class " + limits.get(i).classIndex() + " twice",
                    "once");
        }
    }

    /** Each pair of zones once, and weights that add up to the total or less. */
    private static void checkRoutes(List<ZoneRoute> sorted) {
        long weight = 0;
        for (int i = 0; i < sorted.size(); i++) {
            ZoneRoute route = sorted.get(i);
            boolean same = i > 0 && sorted.get(i - 1).from() == route.from();
            check(
                    !same || sorted.get(i - 1).to() != route.to(),
                    "share",
                    "zone " + route.from() + " to zone " + route.to() + " twice",
                    "once");
            weight = route.weight() + (same ? weight : 0);
            check(
                    weight <= TOTAL_WEIGHT,
                    "share.parts",
                    weight + " of zone " + route.from(),
                    "up to " + TOTAL_WEIGHT);
        }
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
