package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import java.util.BitSet;

/** The tier from the leader's point of view, for planning. */
final class LeaderTierView implements TierView {

    private final int[] zones;
    private final int self;
    private final ActiveTable activeTable;
    private final ReportCollector collector;
    private final BitSet dead = new BitSet();

    /**
     * Creates the view of a tier whose replicas are all alive.
     *
     * @param zones the zone of each replica
     */
    LeaderTierView(int[] zones, int self, ActiveTable activeTable, ReportCollector collector) {
        this.zones = zones.clone();
        this.self = self;
        this.activeTable = activeTable;
        this.collector = collector;
    }

    /** Records whether membership considers a replica alive. */
    void setAlive(int replica, boolean alive) {
        dead.set(replica, !alive);
    }

    @Override
    public int replicas() {
        return zones.length;
    }

    @Override
    public int self() {
        return self;
    }

    @Override
    public int zone(int replica) {
        return zones[replica];
    }

    @Override
    public boolean isAlive(int replica) {
        return !dead.get(replica);
    }

    @Override
    public RouteTable agreed() {
        return activeTable.agreed();
    }

    @Override
    public long leaseEndsAt(int replica) {
        long longest = activeTable.longestLease();
        long drift = 2 * longest / CoordinationSettings.DRIFT;
        return collector.grantedAt(replica) + longest + drift;
    }
}
