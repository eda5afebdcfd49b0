package cedarrudder.routetable;

import cedarrudder.routetable.RouteTable.ClassLimit;
import cedarrudder.routetable.RouteTable.DrainingNode;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The difference between two route tables. Applied to the contents of the earlier table, it gives
 * those of the later one.
 *
 * @param routes the new and the changed routes
 * @param removedRoutes the pairs of zones that have a route in the earlier table alone
 * @param draining the nodes that are newly drained, or in another wave
 * @param returned the nodes that are no longer drained
 * @param limits the new and the changed limits
 * @param removedLimits the classes that are no longer limited
 */
public record RouteTableDelta(
        List<ZoneRoute> routes,
        List<ZonePair> removedRoutes,
        List<DrainingNode> draining,
        List<Long> returned,
        List<ClassLimit> limits,
        List<Integer> removedLimits) {

    /** The zone of the clients and the zone that serves them. */
    public record ZonePair(int from, int to) {
        static ZonePair of(ZoneRoute route) {
            return new ZonePair(route.from(), route.to());
        }
    }

    /** Returns the difference between two tables. */
    public static RouteTableDelta between(RouteTable before, RouteTable after) {
        return new RouteTableDelta(
                added(before.routes(), after.routes()),
                removed(before.routes(), after.routes(), ZonePair::of),
                added(before.draining(), after.draining()),
                removed(before.draining(), after.draining(), DrainingNode::node),
                added(before.limits(), after.limits()),
                removed(before.limits(), after.limits(), ClassLimit::classIndex));
    }

    private static <T> List<T> added(List<T> before, List<T> after) {
        Set<T> known = new HashSet<>(before);
        return after.stream().filter(entry -> !known.contains(entry)).toList();
    }

    private static <T, K> List<K> removed(List<T> before, List<T> after, Function<T, K> key) {
        Set<K> remaining = after.stream().map(key).collect(Collectors.toSet());
        return before.stream().map(key).filter(entry -> !remaining.contains(entry)).toList();
    }

    /** Returns whether the tables differ in nothing but their numbers, groups, terms and leases. */
    public boolean isEmpty() {
        return routes.isEmpty()
                && removedRoutes.isEmpty()
                && draining.isEmpty()
                && returned.isEmpty()
                && limits.isEmpty()
                && removedLimits.isEmpty();
    }
}
