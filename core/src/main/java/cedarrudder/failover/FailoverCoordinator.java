package cedarrudder.failover;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTable.ZoneRoute;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntToLongFunction;

/**
 * One replica's part in failover: it says what it saw, and where it leads plans from what all said.
 * Not thread-safe.
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
    private long table;
    private long closedAt;

    /**
     * @param names of the zones, in the order of their numbers
     * @param zoneOf the zone of each copy of the tier
     * @param counter what this replica counts
     * @throws IllegalArgumentException if a zone is named that there is not
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
        this.closedAt = now;
        this.zoneOf = zoneOf.clone();
        this.zones = names.size();
        this.planner = new TrafficSplitPlanner(settings, settings.regions().ranks(names), now);
        this.aggregator = new ZoneHealthAggregator(settings, zoneOf, zones);
    }

    /**
     * Ends the period and says what was seen in it; nothing where this replica stood still, or has
     * just said it.
     *
     * @param max bytes of a part, as {@link ZoneObservations#encode} takes it
     */
    public List<byte[]> report(long now, int max) {
        if (now - closedAt < settings.period() / 2) {
            return List.of(); // asked again so soon: this avoids a period of which nothing can be
            // told
        }
        closedAt = now;
        ZoneObservations evidence = counter.closePeriod(now, table);
        return evidence == null ? List.of() : evidence.encode(max);
    }

    /**
     * At the replica that leads: a part of what another saw, or it itself. It may be no such part.
     */
    public void onReport(long now, int from, byte[] part) {
        ZoneObservations evidence = ZoneObservations.decode(part);
        if (evidence != null && evidence.replica() == from) {
            aggregator.onObservations(now, evidence);
        }
    }

    /**
     * At the replica that leads, each period: the shares that should hold.
     *
     * @param agreed the table that is agreed on; null before the first
     * @param leaseOver when a replica that is silent has certainly left its table
     */
    public List<ZoneRoute> plan(long now, RouteTable agreed, IntToLongFunction leaseOver) {
        if (agreed != null) {
            planner.onTableLoaded(now, agreed); // it may be agreed on, and not count yet
        }
        aggregator.lapse(now, leaseOver);
        return planner.plan(now, agreed, aggregator.snapshot(now), evacuated);
    }

    /** The moves of the last plan, for the log. */
    public List<TrafficSplitPlanner.Move> moves() {
        return planner.moves();
    }

    /**
     * This replica leads from here on, or no longer: what was reported to it before counts no more.
     */
    public void onLeadership() {
        aggregator = new ZoneHealthAggregator(settings, zoneOf, zones);
        planner.onLeadership();
    }

    /** A table counts here from now on; null: none does. */
    public void onTableLoaded(long now, RouteTable loaded) {
        table = loaded == null ? 0 : loaded.number();
        if (loaded != null) {
            planner.onTableLoaded(now, loaded);
        }
    }

    /**
     * Operators have left these zones, by name, and no others.
     *
     * @return those that there are not
     */
    public List<String> evacuate(List<String> left) {
        Set<Integer> numbers = new HashSet<>();
        left.stream().map(names::indexOf).filter(number -> number >= 0).forEach(numbers::add);
        evacuated = Set.copyOf(numbers);
        return left.stream().filter(name -> !names.contains(name)).toList();
    }
}
