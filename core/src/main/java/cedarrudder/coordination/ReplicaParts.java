package cedarrudder.coordination;

import cedarrudder.footprint.RouteTableCapacity;
import java.util.function.Supplier;

/**
 * What the parts of a {@link CoordinatedReplica} are made with.
 *
 * @param capacity the largest table that this replica has memory for now
 */
record ReplicaParts(
        ReplicaContext context,
        CoordinationSettings settings,
        TrafficCoordination trafficCoordination,
        DrainCoordination drainCoordination,
        ActiveTable activeTable,
        ReportCollector collector,
        Supplier<RouteTableCapacity> capacity) {}
