package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.RemoteTraffic;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.routetable.RouteTable;
import java.util.TreeMap;

/** Which rates of requests zones get, by the tables that were loaded last. */
final class ZoneLoads {
    private static final int MAX_RECENT_SPLITS = 16;

    private final int zones;
    private final TreeMap<Long, TrafficSplit> recentSplits = new TreeMap<>();

    ZoneLoads(int zones) {
        this.zones = zones;
    }

    /** Whether a table of this number was loaded lately. */
    boolean contains(long table) {
        return recentSplits.containsKey(table);
    }

    /** The split of the newest table; that of no table before the first. */
    TrafficSplit latest() {
        return recentSplits.isEmpty()
                ? TrafficSplit.of(null, zones)
                : recentSplits.lastEntry().getValue();
    }

    /** A table is loaded. */
    void add(long table, TrafficSplit split) {
        recentSplits.put(table, split);
        while (recentSplits.size() > MAX_RECENT_SPLITS) {
            recentSplits.pollFirstEntry();
        }
    }

    /** The rate that a zone gets by a split, and by replicas that don't report. */
    double totalRate(TrafficSplit split, ZoneHealthSnapshot health, int to) {
        double rate = unreportedRate(health, to);
        for (int from = 0; from < zones; from++) {
            rate += rate(split, health, from, to);
        }
        return rate;
    }

    /** The rate of one zone's requests that a split has another serve. */
    static double rate(TrafficSplit split, ZoneHealthSnapshot health, int from, int to) {
        double rate = demandRate(split, health, from, to);
        int bound = split.perSecond[from][to];
        return bound == 0 ? rate : Math.min(rate, bound);
    }

    /** As {@link #rate}, without the bound of the split. */
    static double demandRate(TrafficSplit split, ZoneHealthSnapshot health, int from, int to) {
        double demand = health.zones().get(from).demand();
        return demand * split.weights[from][to] / RouteTable.TOTAL_WEIGHT;
    }

    /**
     * The rate of replicas that can't report. Where endpoints report their load it is seen there;
     * otherwise it is estimated by the table that such a replica used last.
     */
    double unreportedRate(ZoneHealthSnapshot health, int to) {
        ZoneHealth zone = health.zones().get(to);
        if (!zone.isUnreported()) {
            return zone.unreportedRate();
        }
        double rate = 0;
        for (RemoteTraffic remote : health.unreachable()) {
            rate += share(remote, to) * remote.rate();
        }
        return rate;
    }

    private double share(RemoteTraffic remote, int to) {
        TrafficSplit split = recentSplits.get(remote.table());
        if (split == null) {
            return remote.zone() == to ? 1 : 0;
        }
        return split.weights[remote.zone()][to] / (double) RouteTable.TOTAL_WEIGHT;
    }
}
