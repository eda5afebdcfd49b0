package cedarrudder.routetable;

import cedarrudder.routetable.RouteTable.Leaving;
import cedarrudder.routetable.RouteTable.Limit;
import cedarrudder.routetable.RouteTable.Share;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What a table changes of the one before it. Applied to what the former says it gives what the
 * latter says.
 *
 * @param shares new ones, and those that changed
 * @param endedShares of these pairs of zones the former has a share and the latter none
 * @param leaving nodes that leave from now on, or in another wave
 * @param back nodes that are not being removed any more
 * @param limits new ones, and those that changed
 * @param freed classes that are not limited any more
 */
public record RouteTableDelta(
        List<Share> shares,
        List<Pair> endedShares,
        List<Leaving> leaving,
        List<Long> back,
        List<Limit> limits,
        List<Integer> freed) {

    /** A zone of clients and one that serves them. */
    public record Pair(int from, int to) {
        static Pair of(Share share) {
            return new Pair(share.from(), share.to());
        }
    }

    public static RouteTableDelta between(RouteTable before, RouteTable after) {
        return new RouteTableDelta(
                fresh(before.shares(), after.shares()),
                gone(before.shares(), after.shares(), Pair::of),
                fresh(before.leaving(), after.leaving()),
                gone(before.leaving(), after.leaving(), Leaving::node),
                fresh(before.limits(), after.limits()),
                gone(before.limits(), after.limits(), Limit::classIndex));
    }

    private static <T> List<T> fresh(List<T> before, List<T> after) {
        Set<T> known = new HashSet<>(before);
        return after.stream().filter(entry -> !known.contains(entry)).toList();
    }

    private static <T, K> List<K> gone(List<T> before, List<T> after, Function<T, K> key) {
        Set<K> stays = after.stream().map(key).collect(Collectors.toSet());
        return before.stream().map(key).filter(entry -> !stays.contains(entry)).toList();
    }

    /** Whether nothing changes but the number, the term and the lease. */
    public boolean nothing() {
        return shares.isEmpty()
                && endedShares.isEmpty()
                && leaving.isEmpty()
                && back.isEmpty()
                && limits.isEmpty()
                && freed.isEmpty();
    }
}
