package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * The routing of clients between zones: each replica reports its observations, and the leader plans
 * the routes from all reports. Only the plan is replicated, not the reports.
 */
public interface TrafficCoordination {

    /**
     * Returns this replica's observations since the last call: at most {@link
     * CoordinatedReplica#MAX_PARTS} parts of at most {@link CoordinatedReplica#MAX_PART_BYTES}
     * bytes, each of which can be read without the others, because any may be lost.
     */
    List<byte[]> reportParts(long now);

    /**
     * Handles, at the leader, a part of a report of another replica or of this one; the part may be
     * malformed.
     */
    void onReportPart(long now, int from, byte[] part);

    /** Returns, at the leader in each period, the routes that should be in effect. */
    List<RouteTable.ZoneRoute> plan(long now, TierView tier);

    /**
     * Handles the start or end of this replica's leadership. Reports received before are no longer
     * valid.
     */
    void onLeadership(long now, boolean leads);

    /** An implementation in which clients stay in their zones. */
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
