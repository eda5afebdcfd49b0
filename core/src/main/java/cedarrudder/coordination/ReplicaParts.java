package cedarrudder.coordination;

import cedarrudder.footprint.RouteTableCapacity;
import java.util.function.Supplier;

/**
 * The dependencies that the components of a {@link CoordinatedReplica} are created with.
 *
 * @param capacity the largest table that this replica has memory for at the time of the call
 */
record ReplicaParts(
        ReplicaContext context,
        CoordinationSettings settings,
        TrafficCoordination trafficCoordination,
        DrainCoordination drainCoordination,
        ActiveTable activeTable,
        ReportCollector collector,
        Supplier<RouteTableCapacity> capacity) {}
