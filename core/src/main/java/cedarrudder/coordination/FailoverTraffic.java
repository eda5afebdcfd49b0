package cedarrudder.coordination;

import cedarrudder.failover.FailoverCoordinator;
import cedarrudder.routetable.RouteTable;
import java.util.List;

/** Shares by {@link FailoverCoordinator}. Whoever has the tables must tell that of each as well. */
public final class FailoverTraffic implements TrafficCoordination {

    private final FailoverCoordinator failover;

    public FailoverTraffic(FailoverCoordinator failover) {
        this.failover = failover;
    }

    @Override
    public List<byte[]> reportParts(long now) {
        List<byte[]> parts = failover.report(now, CoordinatedReplica.MAX_PART_BYTES);
        return parts.subList(0, Math.min(CoordinatedReplica.MAX_PARTS, parts.size()));
    }

    @Override
    public void onReportPart(long now, int from, byte[] part) {
        failover.onReport(now, from, part);
    }

    @Override
    public List<RouteTable.ZoneRoute> plan(long now, TierView tier) {
        return failover.plan(now, tier.agreed(), tier::leaseEndsAt);
    }

    @Override
    public void onLeadership(long now, boolean leads) {
        failover.onLeadership();
    }
}
