package cedarrudder.coordination;

import cedarrudder.failover.FailoverCoordinator;
import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * Plans traffic with a {@link FailoverCoordinator}. The owner of the route tables must also notify
 * that coordinator of each table.
 */
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
