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
 * What a table changes of the one before it. Applied to what the former says it gives what the
 * latter says.
 *
 * @param routes new ones, and those that changed
 * @param removedRoutes of these pairs of zones the former has a share and the latter none
 * @param draining nodes that leave from now on, or in another wave
 * @param returned nodes that are not being removed any more
 * @param limits new ones, and those that changed
 * @param removedLimits classes that are not limited any more
 */
public record RouteTableDelta(
        List<ZoneRoute> routes,
        List<ZonePair> removedRoutes,
        List<DrainingNode> draining,
        List<Long> returned,
        List<ClassLimit> limits,
        List<Integer> removedLimits) {

    /** A zone of clients and one that serves them. */
    public record ZonePair(int from, int to) {
        static ZonePair of(ZoneRoute share) {
            return new ZonePair(share.from(), share.to());
        }
    }

    /** What changes from one table to another. */
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
        Set<K> stays = after.stream().map(key).collect(Collectors.toSet());
        return before.stream().map(key).filter(entry -> !stays.contains(entry)).toList();
    }

    /** Whether nothing changes but the number, the term and the lease. */
    public boolean isEmpty() {
        return routes.isEmpty()
                && removedRoutes.isEmpty()
                && draining.isEmpty()
                && returned.isEmpty()
                && limits.isEmpty()
                && removedLimits.isEmpty();
    }
}
