package cedarrudder.program;

import cedarrudder.coordination.FailoverTraffic;
import cedarrudder.coordination.TierView;
import cedarrudder.coordination.TrafficCoordination;
import cedarrudder.failover.FailoverCoordinator;
import cedarrudder.failover.FailoverSettings;
import cedarrudder.failover.TrafficSplitPlanner;
import cedarrudder.failover.ZoneObservations;
import cedarrudder.failover.ZoneObservations.ZoneObservation;
import cedarrudder.failover.ZoneTrafficCounter;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.logging.Logger;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.routetable.RouteTable;
import cedarrudder.transport.EventRecorder;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Connects the failover that replicas decide together to the traffic of this replica. Runs on the
 * loop's thread.
 */
final class FailoverWiring implements TrafficCoordination {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final FailoverCoordinator failover;
    private final FailoverTraffic traffic;
    private final List<String> zones;
    private final EventRecorder history;
    private final Logger log;
    private List<TrafficSplitPlanner.Move> loggedMoves = List.of();
    private List<String> evacuatedZones = List.of();

    /**
     * Wires the failover.
     *
     * @param reportInterval the interval at which replicas report, in nanoseconds
     * @param zoneOf the zone of each replica
     * @param incarnation larger than that of any earlier process of this replica
     * @param history receives the observations of zones; null where no history is written
     * @throws IllegalArgumentException if the settings don't fit the site or the report interval
     */
    FailoverWiring(
            FailoverSettings settings,
            SiteSettings site,
            long reportInterval,
            int[] zoneOf,
            long incarnation,
            long now,
            RequestForwarder<?, ?> forwarder,
            EventRecorder history,
            Logger log) {
        if (settings.period() != reportInterval) {
            throw new IllegalArgumentException(
                    "failover.period_ms: found "
                            + settings.period() / NANOS_PER_MILLI
                            + "; allowed: "
                            + reportInterval / NANOS_PER_MILLI
                            + ", by which "
                            + zoneOf.length
                            + " replicas report");
        }
        ZoneTrafficCounter counter =
                new ZoneTrafficCounter(
                        site.module().self(),
                        site.module().zone(),
                        incarnation,
                        site.zones().size(),
                        reportInterval,
                        site.module().safety(),
                        now);
        this.failover = new FailoverCoordinator(settings, site.zones(), zoneOf, counter, now);
        this.traffic = new FailoverTraffic(failover);
        this.zones = site.zones();
        this.history = history;
        this.log = log;
        forwarder.countByZone(counter);
        evacuate(settings);
    }

    /** Records the table that is in force from now on; null if there is none. */
    void onTableLoaded(long now, RouteTable table) {
        failover.onTableLoaded(now, table);
    }

    /** Evacuates the zones of these settings from now on; null: no zone. */
    void evacuate(FailoverSettings next) {
        List<String> names = next == null ? List.of() : next.evacuatedZones();
        List<String> unknown = failover.evacuate(names);
        for (int zone = 0; history != null && zone < zones.size(); zone++) {
            boolean before = evacuatedZones.contains(zones.get(zone));
            if (before != names.contains(zones.get(zone))) {
                history.record(before ? "reopened" : "evacuated", Map.of("zone", zone));
            }
        }
        evacuatedZones = names;
        if (!unknown.isEmpty()) {
            log.warn("failover.zones_rejected").with("zones", String.join(",", unknown)).write();
        }
    }

    @Override
    public List<byte[]> reportParts(long now) {
        List<byte[]> parts = traffic.reportParts(now);
        if (history != null) {
            parts.forEach(part -> recordObservations(ZoneObservations.decode(part)));
        }
        return parts;
    }

    private void recordObservations(ZoneObservations observations) {
        for (ZoneObservation observation : observations.observations()) {
            if (observation.age() == 0) {
                history.record(
                        "saw",
                        Map.of(
                                "zone",
                                observation.zone(),
                                "served",
                                observation.served(),
                                "failed",
                                observation.failed(),
                                "silent",
                                observation.silent(),
                                "span",
                                observations.millis() * NANOS_PER_MILLI));
            }
        }
    }

    @Override
    public void onReportPart(long now, int from, byte[] part) {
        traffic.onReportPart(now, from, part);
    }

    @Override
    public List<RouteTable.ZoneRoute> plan(long now, TierView tier) {
        List<RouteTable.ZoneRoute> planned = traffic.plan(now, tier);
        List<TrafficSplitPlanner.Move> moves = failover.moves();
        // Each move is logged once, since a plan is made again each period until it is in force.
        moves.stream()
                .filter(move -> !loggedMoves.contains(move))
                .forEach(
                        move ->
                                log.info("failover.routes_changed")
                                        .with("zone", zones.get(move.zone()))
                                        .with(
                                                "reason",
                                                move.reason().name().toLowerCase(Locale.ROOT))
                                        .with("unhealthy_for", names(move.unhealthyFor()))
                                        .with("healthy_for", names(move.healthyFor()))
                                        .write());
        loggedMoves = moves;
        return planned;
    }

    private String names(Iterable<Integer> numbers) {
        StringBuilder names = new StringBuilder();
        numbers.forEach(
                zone -> names.append(names.length() == 0 ? "" : ",").append(zones.get(zone)));
        return names.toString();
    }

    @Override
    public void onLeadership(long now, boolean leads) {
        traffic.onLeadership(now, leads);
    }
}
