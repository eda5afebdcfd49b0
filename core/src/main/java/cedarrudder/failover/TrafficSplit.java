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
    private static final int FEW = 100;

    final int[][] parts;
    final int[][] perSecond;

    /** Zones that have been left: what goes elsewhere is moved, and not spilled. */
    final boolean[] left;

    TrafficSplit(int zones) {
        parts = new int[zones][zones];
        perSecond = new int[zones][zones];
        left = new boolean[zones];
    }

    /** Those of a table; without one, or a row of a zone in it, a zone serves its own. */
    static TrafficSplit of(RouteTable table, int zones) {
        TrafficSplit shares = new TrafficSplit(zones);
        boolean[] there = new boolean[zones];
        for (ZoneRoute share : table == null ? List.<ZoneRoute>of() : table.routes()) {
            if (share.from() < zones && share.to() < zones) {
                there[share.from()] = true;
                shares.parts[share.from()][share.to()] = share.weight();
                shares.perSecond[share.from()][share.to()] = share.maxPerSecond();
                shares.left[share.from()] |= share.reason() == RouteReason.MOVED;
            }
        }
        for (int zone = 0; zone < zones; zone++) {
            shares.parts[zone][zone] =
                    there[zone] ? shares.parts[zone][zone] : RouteTable.TOTAL_WEIGHT;
        }
        return shares;
    }

    /** Replicas a zone's row. */
    void row(int from, TrafficSplit of) {
        parts[from] = of.parts[from].clone();
        perSecond[from] = of.perSecond[from].clone();
        left[from] = of.left[from];
    }

    /** Whether a zone's row is the same in both. */
    boolean same(int from, TrafficSplit other) {
        return Arrays.equals(parts[from], other.parts[from])
                && Arrays.equals(perSecond[from], other.perSecond[from])
                && left[from] == other.left[from];
    }

    /** What is left of a zone's whole, and is refused where it came. */
    int unserved(int from) {
        return RouteTable.TOTAL_WEIGHT - Arrays.stream(parts[from]).sum();
    }

    /** The parts of a zone's calls that go elsewhere in one than in the other. */
    int moved(int from, TrafficSplit other) {
        int moved = Math.abs(unserved(from) - other.unserved(from));
        for (int to = 0; to < parts.length; to++) {
            moved += Math.abs(parts[from][to] - other.parts[from][to]);
        }
        return moved / 2;
    }

    /** As a table has them. */
    List<ZoneRoute> list() {
        List<ZoneRoute> list = new ArrayList<>();
        for (int from = 0; from < parts.length; from++) {
            for (int to = 0; to < parts.length; to++) {
                if (parts[from][to] > 0) {
                    list.add(
                            new ZoneRoute(
                                    from,
                                    to,
                                    from == to
                                            ? RouteReason.NEAR
                                            : left[from] && parts[from][to] > FEW
                                                    ? RouteReason.MOVED
                                                    : RouteReason.SPILLED,
                                    parts[from][to],
                                    perSecond[from][to]));
                }
            }
        }
        return list;
    }
}
