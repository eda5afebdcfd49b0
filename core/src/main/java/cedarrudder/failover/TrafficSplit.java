package cedarrudder.failover;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.RouteReason;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Shares as rows, one for each zone of clients: parts and bounds by the zone that serves. */
final class TrafficSplit {

    /** So few are not what left a zone: they go there to be seen. */
    private static final int MAX_PROBE_WEIGHT = 100;

    final int[][] weights;
    final int[][] perSecond;

    /** Zones that have been left: what goes elsewhere is moved, and not spilled. */
    final boolean[] isLeft;

    TrafficSplit(int zones) {
        weights = new int[zones][zones];
        perSecond = new int[zones][zones];
        isLeft = new boolean[zones];
    }

    /** Those of a table; without one, or a row of a zone in it, a zone serves its own. */
    static TrafficSplit of(RouteTable table, int zones) {
        TrafficSplit shares = new TrafficSplit(zones);
        boolean[] there = new boolean[zones];
        for (ZoneRoute share : table == null ? List.<ZoneRoute>of() : table.routes()) {
            if (share.from() < zones && share.to() < zones) {
                there[share.from()] = true;
                shares.weights[share.from()][share.to()] = share.weight();
                shares.perSecond[share.from()][share.to()] = share.maxPerSecond();
                shares.isLeft[share.from()] |= share.reason() == RouteReason.MOVED;
            }
        }
        for (int zone = 0; zone < zones; zone++) {
            shares.weights[zone][zone] =
                    there[zone] ? shares.weights[zone][zone] : RouteTable.TOTAL_WEIGHT;
        }
        return shares;
    }

    /** Copies a zone's row from another split. */
    void copyRow(int from, TrafficSplit of) {
        weights[from] = of.weights[from].clone();
        perSecond[from] = of.perSecond[from].clone();
        isLeft[from] = of.isLeft[from];
    }

    /** Whether a zone's row is the same in both. */
    boolean hasSameRow(int from, TrafficSplit other) {
        return Arrays.equals(weights[from], other.weights[from])
                && Arrays.equals(perSecond[from], other.perSecond[from])
                && isLeft[from] == other.isLeft[from];
    }

    /** What is left of a zone's whole, and is refused where it came. */
    int unservedWeight(int from) {
        return RouteTable.TOTAL_WEIGHT - Arrays.stream(weights[from]).sum();
    }

    /** The parts of a zone's calls that go elsewhere in one than in the other. */
    int movedWeight(int from, TrafficSplit other) {
        int moved = Math.abs(unservedWeight(from) - other.unservedWeight(from));
        for (int to = 0; to < weights.length; to++) {
            moved += Math.abs(weights[from][to] - other.weights[from][to]);
        }
        return moved / 2;
    }

    /** As a table has them. */
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
                                            : isLeft[from] && weights[from][to] > MAX_PROBE_WEIGHT
                                                    ? RouteReason.MOVED
                                                    : RouteReason.SPILLED,
                                    weights[from][to],
                                    perSecond[from][to]));
                }
            }
        }
        return list;
    }
}
