package cedarrudder.failover;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The weights and limits of routes, with a row for each zone of clients and a column for each
 * serving zone.
 */
final class TrafficSplit {

    /** Up to this weight the requests to another zone are probes and not moved ones. */
    private static final int MAX_PROBE_WEIGHT = 100;

    final int[][] weights;
    final int[][] maxPerSecond;

    /** Zones whose requests have moved away: requests that go elsewhere are moved, not spilled. */
    final boolean[] isVacated;

    TrafficSplit(int zones) {
        weights = new int[zones][zones];
        maxPerSecond = new int[zones][zones];
        isVacated = new boolean[zones];
    }

    /**
     * Returns the split of a table. Without a table, or a row of a zone in it, the zone serves its
     * own requests.
     */
    static TrafficSplit of(RouteTable table, int zones) {
        TrafficSplit split = new TrafficSplit(zones);
        boolean[] hasRow = new boolean[zones];
        for (ZoneRoute route : table == null ? List.<ZoneRoute>of() : table.routes()) {
            if (route.from() < zones && route.to() < zones) {
                hasRow[route.from()] = true;
                split.weights[route.from()][route.to()] = route.weight();
                split.maxPerSecond[route.from()][route.to()] = route.maxPerSecond();
                split.isVacated[route.from()] |= route.reason() == RouteReason.MOVED;
            }
        }
        for (int zone = 0; zone < zones; zone++) {
            split.weights[zone][zone] =
                    hasRow[zone] ? split.weights[zone][zone] : RouteTable.TOTAL_WEIGHT;
        }
        return split;
    }

    /** Copies a zone's row from another split. */
    void copyRow(int from, TrafficSplit other) {
        weights[from] = other.weights[from].clone();
        maxPerSecond[from] = other.maxPerSecond[from].clone();
        isVacated[from] = other.isVacated[from];
    }

    /** Returns whether a zone's row is the same in both splits. */
    boolean hasSameRow(int from, TrafficSplit other) {
        return Arrays.equals(weights[from], other.weights[from])
                && Arrays.equals(maxPerSecond[from], other.maxPerSecond[from])
                && isVacated[from] == other.isVacated[from];
    }

    /** Returns the weight that no zone serves; such requests are rejected where they arrive. */
    int unservedWeight(int from) {
        return RouteTable.TOTAL_WEIGHT - Arrays.stream(weights[from]).sum();
    }

    /** Returns the weight of a zone's requests that the two splits route to different zones. */
    int movedWeight(int from, TrafficSplit other) {
        int moved = Math.abs(unservedWeight(from) - other.unservedWeight(from));
        for (int to = 0; to < weights.length; to++) {
            moved += Math.abs(weights[from][to] - other.weights[from][to]);
        }
        return moved / 2;
    }

    /** Returns the routes of this split, as in a table. */
    List<ZoneRoute> toRoutes() {
        List<ZoneRoute> list = new ArrayList<>();
        for (int from = 0; from < weights.length; from++) {
            for (int to = 0; to < weights.length; to++) {
                if (weights[from][to] > 0) {
                    list.add(
                            new ZoneRoute(
                                    from,
                                    to,
                                    from == to
                                            ? RouteReason.NEAR
                                            : isVacated[from]
                                                            && weights[from][to] > MAX_PROBE_WEIGHT
                                                    ? RouteReason.MOVED
                                                    : RouteReason.SPILLED,
                                    weights[from][to],
                                    maxPerSecond[from][to]));
                }
            }
        }
        return list;
    }
}
