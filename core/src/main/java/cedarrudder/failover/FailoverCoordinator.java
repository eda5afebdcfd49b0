package cedarrudder.failover;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntToLongFunction;

/**
 * The failover logic of one replica: every replica reports its observations, and the leader plans
 * the traffic split from the reports of all. Not thread-safe.
 */
public final class FailoverCoordinator {

    private final FailoverSettings settings;
    private final ZoneTrafficCounter counter;
    private final int[] zoneOf;
    private final List<String> names;
    private final int zones;
    private final TrafficSplitPlanner planner;
    private ZoneHealthAggregator aggregator;
    private Set<Integer> evacuated = Set.of();
    private long loadedTableNumber;
    private long periodClosedAt;

    /**
     * Creates the coordinator of a replica.
     *
     * @param names of the zones, in the order of their numbers
     * @param zoneOf the zone of each replica of the tier
     * @param counter counts the traffic of this replica
     * @throws IllegalArgumentException if the settings name an unknown zone
     */
    public FailoverCoordinator(
            FailoverSettings settings,
            List<String> names,
            int[] zoneOf,
            ZoneTrafficCounter counter,
            long now) {
        List<Regions.Problem> problems = settings.regions().problems(names);
        if (!problems.isEmpty()) {
            Regions.Problem first = problems.get(0);
            throw new IllegalArgumentException(
                    "failover.region["
                            + first.region()
                            + "]."
                            + first.key()
                            + ": found "
                            + first.found()
                            + "; allowed: "
                            + first.allowed());
        }
        this.names = List.copyOf(names);
        List<String> unknown = evacuate(settings.evacuatedZones());
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException(
                    "failover.leave: found "
                            + unknown
                            + "; allowed: the zones of "
                            + "the settings: "
                            + String.join(", ", names));
        }
        this.settings = settings;
        this.counter = counter;
        this.periodClosedAt = now;
        this.zoneOf = zoneOf.clone();
        this.zones = names.size();
        this.planner = new TrafficSplitPlanner(settings, settings.regions().ranks(names), now);
        this.aggregator = new ZoneHealthAggregator(settings, zoneOf, zones);
    }

    /**
     * Ends the period and returns its observations, encoded as parts of a report; empty if this
     * replica was suspended or has just reported.
     *
     * @param max maximum bytes of a part, as for {@link ZoneObservations#encode}
     */
    public List<byte[]> report(long now, int max) {
        if (now - periodClosedAt < settings.period() / 2) {
            // A period that ends so soon after the last report is too short to show anything.
            return List.of();
        }
        periodClosedAt = now;
        ZoneObservations observations = counter.closePeriod(now, loadedTableNumber);
        return observations == null ? List.of() : observations.encode(max);
    }

    /**
     * Handles a part of a report at the leader, from another replica or from itself; bytes that are
     * no such part are ignored.
     */
    public void onReport(long now, int from, byte[] part) {
        ZoneObservations observations = ZoneObservations.decode(part);
        if (observations != null && observations.replica() == from) {
            aggregator.onObservations(now, observations);
        }
    }

    /**
     * Plans the routes of the next table; the leader calls this once per period.
     *
     * @param agreed the table that is agreed on; null before the first
     * @param leaseOver when the lease of a replica that does not report has certainly expired, so
     *     that it no longer uses its table
     */
    public List<ZoneRoute> plan(long now, RouteTable agreed, IntToLongFunction leaseOver) {
        if (agreed != null) {
            planner.onTableLoaded(
                    now, agreed); // the table may be agreed on before its lease starts
        }
        aggregator.forgetExpiredReplicas(now, leaseOver);
        return planner.plan(now, agreed, aggregator.snapshot(now), evacuated);
    }

    /** Returns the moves of the last plan, for the log. */
    public List<TrafficSplitPlanner.Move> moves() {
        return planner.moves();
    }

    /** Handles a change of leadership to or from this replica: earlier reports no longer count. */
    public void onLeadership() {
        aggregator = new ZoneHealthAggregator(settings, zoneOf, zones);
        planner.onLeadership();
    }

    /** Records the table that is in use here from now on; null for none. */
    public void onTableLoaded(long now, RouteTable loaded) {
        loadedTableNumber = loaded == null ? 0 : loaded.number();
        if (loaded != null) {
            planner.onTableLoaded(now, loaded);
        }
    }

    /**
     * Sets the zones that operators evacuate, by name, in place of all earlier ones.
     *
     * @return the names that are no zones
     */
    public List<String> evacuate(List<String> evacuatedNames) {
        Set<Integer> numbers = new HashSet<>();
        evacuatedNames.stream()
                .map(names::indexOf)
                .filter(number -> number >= 0)
                .forEach(numbers::add);
        evacuated = Set.copyOf(numbers);
        return evacuatedNames.stream().filter(name -> !names.contains(name)).toList();
    }
}
