package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.UnreachableReplica;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.routetable.RouteTable;
import java.util.TreeMap;

/** The request rates that zones get by recently loaded tables. */
final class ZoneLoads {
    private static final int MAX_RECENT_SPLITS = 16;

    private final int zones;
    private final TreeMap<Long, TrafficSplit> recentSplits = new TreeMap<>();

    ZoneLoads(int zones) {
        this.zones = zones;
    }

    /** Returns whether a table of this number was loaded recently. */
    boolean contains(long table) {
        return recentSplits.containsKey(table);
    }

    /** Returns the split of the newest table; before the first, the split without a table. */
    TrafficSplit latest() {
        return recentSplits.isEmpty()
                ? TrafficSplit.of(null, zones)
                : recentSplits.lastEntry().getValue();
    }

    /** Adds the split of a loaded table. */
    void add(long table, TrafficSplit split) {
        recentSplits.put(table, split);
        while (recentSplits.size() > MAX_RECENT_SPLITS) {
            recentSplits.pollFirstEntry();
        }
    }

    /** Returns the rate that a zone gets by a split, plus that of replicas that don't report. */
    double totalRate(TrafficSplit split, ZoneHealthSnapshot health, int to) {
        double rate = unreportedRate(health, to);
        for (int from = 0; from < zones; from++) {
            rate += rate(split, health, from, to);
        }
        return rate;
    }

    /** Returns the rate of one zone's requests that another serves by a split. */
    static double rate(TrafficSplit split, ZoneHealthSnapshot health, int from, int to) {
        double rate = demandRate(split, health, from, to);
        int bound = split.maxPerSecond[from][to];
        return bound == 0 ? rate : Math.min(rate, bound);
    }

    /** Returns the same as {@link #rate}, without the limit of the split. */
    static double demandRate(TrafficSplit split, ZoneHealthSnapshot health, int from, int to) {
        double demand = health.zones().get(from).demand();
        return demand * split.weights[from][to] / RouteTable.TOTAL_WEIGHT;
    }

    /**
     * Returns the rate that a zone gets from replicas that can't report. If endpoints report their
     * load, the rate shows there; otherwise it is estimated from the table that such a replica used
     * last.
     */
    double unreportedRate(ZoneHealthSnapshot health, int to) {
        ZoneHealth zone = health.zones().get(to);
        if (!zone.lacksLoadReports()) {
            return zone.unreportedRate();
        }
        double rate = 0;
        for (UnreachableReplica replica : health.unreachable()) {
            rate += weightFraction(replica, to) * replica.rate();
        }
        return rate;
    }

    private double weightFraction(UnreachableReplica replica, int to) {
        TrafficSplit split = recentSplits.get(replica.table());
        if (split == null) {
            return replica.zone() == to ? 1 : 0;
        }
        return split.weights[replica.zone()][to] / (double) RouteTable.TOTAL_WEIGHT;
    }
}
