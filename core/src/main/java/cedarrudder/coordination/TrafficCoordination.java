package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * Which zones serve whose clients: each replica says what it saw, and the replica that leads plans
 * from what all said. Nothing of it is agreed on but the plan.
 */
public interface TrafficCoordination {

    /**
     * What this replica saw since it was asked last: at most {@link CoordinatedReplica#MAX_PARTS}
     * parts of at most {@link CoordinatedReplica#MAX_PART_BYTES} bytes, each of which stands for
     * itself, as any may be lost.
     */
    List<byte[]> reportParts(long now);

    /**
     * At the leader: a part of what another replica observed, or it itself. It may be malformed.
     */
    void onReportPart(long now, int from, byte[] part);

    /** At the leader, each period: the routes that should hold. */
    List<RouteTable.ZoneRoute> plan(long now, TierView tier);

    /**
     * This replica leads from here on, or no longer: what was reported to it before counts no more.
     */
    void onLeadership(long now, boolean leads);

    /** Clients stay in their zones. */
    TrafficCoordination NONE =
            new TrafficCoordination() {
                @Override
                public List<byte[]> reportParts(long now) {
                    return List.of();
                }

                @Override
                public void onReportPart(long now, int from, byte[] part) {}

                @Override
                public List<RouteTable.ZoneRoute> plan(long now, TierView tier) {
                    return List.of();
                }

                @Override
                public void onLeadership(long now, boolean leads) {}
            };
}
