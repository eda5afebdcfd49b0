package cedarrudder.fleet;

import cedarrudder.failover.Failover;
import cedarrudder.table.RouteTable;
import java.util.List;

/** Shares by {@link Failover}. Whoever has the tables must tell that of each as well. */
public final class ZoneShares implements Shares {

    private final Failover failover;

    public ZoneShares(Failover failover) {
        this.failover = failover;
    }

    @Override
    public List<byte[]> report(long now) {
        List<byte[]> parts = failover.report(now, FleetCopy.MOST_PART);
        return parts.subList(0, Math.min(FleetCopy.MOST_PARTS, parts.size()));
    }

    @Override
    public void reported(long now, int from, byte[] part) {
        failover.reported(now, from, part);
    }

    @Override
    public List<RouteTable.Share> plan(long now, Tier tier) {
        return failover.plan(now, tier.agreed(), tier::leaseOver);
    }

    @Override
    public void leads(long now, boolean leads) {
        failover.leads();
    }
}
