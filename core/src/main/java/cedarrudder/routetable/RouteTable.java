package cedarrudder.routetable;

import java.util.Comparator;
import java.util.List;

/**
 * The routing state on which the replicas of a tier have agreed: which zones serve each zone's
 * clients, which nodes are being drained, and the rate limits of classes while the table is valid.
 * Immutable. Tables with equal contents are equal, in whatever order the contents were given, and
 * have the same {@linkplain RouteTableCodec bytes}.
 *
 * @param number the number of the table, which only rises, across all groups; at least 1
 * @param group the group of replicas that agreed on the table; at least 0
 * @param term the term in which the table was agreed on; at least 0
 * @param lease how long a replica may use the table if it receives nothing further, in nanoseconds;
 *     over 0
 * @param routes the zones that serve parts of a zone's requests, ordered by both zones
 * @param draining the nodes being drained, ordered by node
 * @param limits the rate limits of classes, ordered by class; a class without one is not limited
 */
public record RouteTable(
        long number,
        long group,
        long term,
        long lease,
        List<ZoneRoute> routes,
        List<DrainingNode> draining,
        List<ClassLimit> limits) {

    /** The total weight of a zone's routes; weights are integer parts of it. */
    public static final int TOTAL_WEIGHT = 10_000;

    /** The maximum number of zones, which are numbered from 0. */
    public static final int MAX_ZONES = 64;

    /** The maximum number of classes, which are numbered from 0. */
    public static final int MAX_CLASSES = 256;

    /** The maximum number of waves, which are numbered from 0. */
    public static final int MAX_WAVES = 1 << 16;

    /** The maximum number of nodes being drained at once. */
    public static final int MAX_DRAINING = 1 << 14;

    /** The upper bound, exclusive, of the numbers that the balancer gives to nodes. */
    public static final long MAX_NODE = 1L << 52;

    /** Why a zone serves the clients of a zone. */
    public enum RouteReason {
        /** It is the clients' own zone. */
        NEAR,
        /** The clients' own zone can't serve this part. */
        SPILLED,
        /** Traffic has been moved away from the clients' own zone. */
        MOVED
    }

    /**
     * A route for a part of one zone's requests.
     *
     * @param from the zone of the clients
     * @param to the zone that serves the requests
     * @param weight the part, from 1 to {@link #TOTAL_WEIGHT}
     * @param maxPerSecond the maximum number of requests per second on the route; 0: no limit
     */
    public record ZoneRoute(int from, int to, RouteReason reason, int weight, int maxPerSecond) {
        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
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

    /** A node that is being drained, and the wave that it belongs to. */
    public record DrainingNode(long node, int wave) {
        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
         */
        public DrainingNode {
            check(node >= 0 && node < MAX_NODE, "leaving.node", node, "0 to 2^52 - 1");
            check(wave >= 0 && wave < MAX_WAVES, "leaving.wave", wave, "0 to " + (MAX_WAVES - 1));
        }
    }

    /** The maximum number of requests per second of a class while the table is valid. */
    public record ClassLimit(int classIndex, int maxPerSecond) {
        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
         */
        public ClassLimit {
            check(
                    classIndex >= 0 && classIndex < MAX_CLASSES,
                    "limit.class",
                    classIndex,
                    "0 to " + (MAX_CLASSES - 1));
            check(maxPerSecond >= 0, "limit.perSecond", maxPerSecond, "0 or more");
        }
    }

    /** Checks the components; throws an IllegalArgumentException that names an invalid one. */
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

    /**
     * Checks that each pair of zones occurs once and that the weights of a zone add up to the total
     * or less.
     */
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
