package cedarrudder.failover;

import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import cedarrudder.failover.ZoneObservations.ZoneObservation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts, by zones, what one replica's calls and probes came to, and closes a period as {@link
 * ZoneObservations}. It is fed where outcomes are reported to the balancer, and costs one look-up
 * each. Not thread-safe.
 */
public final class ZoneTrafficCounter {

    /**
     * A period that took this many times longer tells of a process that stood still, not of zones.
     */
    private static final double STOOD_STILL = 1.4;

    private static final double HUNDREDTHS = 100;
    private static final int MILLION = 1_000_000;

    /** One zone in this period. */
    private static final class Zone {
        int served;
        int failed;
        int silent;
        int rejected;
        int inFlight;
        long lastAnswerAt;
        double loads;
        int reports;
        ZoneObservation last;

        void resetCounts() {
            served = 0;
            failed = 0;
            silent = 0;
            rejected = 0;
            loads = 0;
            reports = 0;
        }
    }

    private final int replica;
    private final int own;
    private final long incarnation;
    private final long period;
    private final SafetyRules safety;
    private final Zone[] zones;
    private final Map<Long, Endpoint> listed = new HashMap<>();
    private long openedAt;
    private long sequence;
    private int requests;
    private int unserved;
    private boolean shaken;

    /**
     * @param zones how many there are
     * @param period how long periods are to be, in nanoseconds
     */
    public ZoneTrafficCounter(
            int replica,
            int own,
            long incarnation,
            int zones,
            long period,
            SafetyRules safety,
            long now) {
        this.replica = replica;
        this.own = own;
        this.incarnation = incarnation;
        this.period = period;
        this.safety = safety;
        this.zones = new Zone[zones];
        this.openedAt = now;
        for (int i = 0; i < zones; i++) {
            this.zones[i] = new Zone();
        }
    }

    /** The list of endpoints, or changes to it. */
    public void onEndpoints(EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            listed.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.status() == EndpointStatus.REMOVED) {
                listed.remove(entry.id());
            } else {
                listed.put(entry.id(), entry);
            }
        }
    }

    /** A call came to this replica. */
    public void onRequest() {
        requests++;
    }

    /** A call was refused or failed here. */
    public void onUnserved() {
        unserved++;
    }

    private Zone zone(long endpoint) {
        Endpoint entry = listed.get(endpoint);
        return entry == null || entry.zone() < 0 || entry.zone() >= zones.length
                ? null
                : zones[entry.zone()];
    }

    /** An attempt goes out; its zone's number to be given back at its end, or -1. */
    public int onAttemptSent(long now, long endpoint) {
        Zone zone = zone(endpoint);
        if (zone == null) {
            return -1;
        }
        if (zone.inFlight++ == 0) {
            zone.lastAnswerAt = now;
        }
        return listed.get(endpoint).zone();
    }

    /**
     * An attempt ended.
     *
     * @param of what {@link #onAttemptSent} gave
     */
    public void onAttemptEnded(long now, int of, Outcome outcome, LoadReport load) {
        if (of >= 0) {
            zones[of].inFlight--;
            count(now, zones[of], outcome, load);
        }
    }

    /** A probe came back, or did not. */
    public void onProbeEnded(long now, long endpoint, Outcome outcome, LoadReport load) {
        Zone zone = zone(endpoint);
        if (zone != null) {
            count(now, zone, outcome, load);
        }
    }

    private static void count(long now, Zone zone, Outcome outcome, LoadReport load) {
        switch (outcome) {
            case OK -> zone.served++;
            case ERROR, RESET -> zone.failed++;
            case TIMEOUT, CONNECT_FAILED -> zone.silent++;
            case REJECTED -> zone.rejected++;
            default -> {} // cancelled, or never sent: says nothing of the zone
        }
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED) {
            zone.lastAnswerAt = now;
        }
        if (load != null && load.utilization() >= 0) {
            zone.loads += Math.min(2, load.utilization());
            zone.reports++;
        }
    }

    /**
     * Ends the period and begins the next; null where this replica stood still in it or in the one
     * before, for then what it saw is of its own making. This avoids a replica that was stopped
     * telling that every zone was silent.
     *
     * @param table the number of the table in use; 0 for none
     */
    public ZoneObservations closePeriod(long now, long table) {
        long length = now - openedAt;
        boolean stood = length > STOOD_STILL * period;
        boolean counts = !stood && !shaken && length > 0;
        shaken = stood;
        List<ZoneObservation> seen = new ArrayList<>();
        int[][] nodes = nodes(now);
        for (int i = 0; i < zones.length; i++) {
            ZoneObservation each = closePeriod(now, i, zones[i], nodes[i], counts);
            if (each != null && !listed.isEmpty()) {
                seen.add(each);
            }
        }
        ZoneObservations evidence =
                counts
                        ? new ZoneObservations(
                                replica,
                                own,
                                incarnation,
                                ++sequence,
                                table,
                                (int) Math.max(1, Math.min(length / MILLION, MILLION)),
                                bound(requests),
                                bound(unserved),
                                seen)
                        : null;
        openedAt = now;
        requests = 0;
        unserved = 0;
        return evidence;
    }

    /** What is said of a zone; null where nothing is known of it. */
    private static ZoneObservation closePeriod(
            long now, int number, Zone zone, int[] nodes, boolean counts) {
        ZoneObservation fresh = observation(now, number, zone, nodes);
        zone.resetCounts();
        if (!counts) {
            zone.last = null;
            zone.lastAnswerAt = now;
            return null;
        }
        boolean nothingSent = fresh.ended() == 0 && fresh.inFlight() == 0;
        boolean repeats =
                nothingSent && zone.last != null && zone.last.age() < ZoneObservations.MAX_AGE;
        zone.last = repeats ? aged(zone.last, fresh) : fresh;
        return zone.last;
    }

    private static ZoneObservation observation(long now, int number, Zone zone, int[] nodes) {
        long silentMillis = Math.min((now - zone.lastAnswerAt) / MILLION, MILLION);
        return new ZoneObservation(
                number,
                0,
                bound(zone.served),
                bound(zone.failed),
                bound(zone.silent),
                bound(zone.rejected),
                bound(zone.inFlight),
                zone.inFlight > 0 ? bound((int) silentMillis) : 0,
                zone.reports == 0
                        ? 0
                        : 1 + (int) Math.round(HUNDREDTHS * zone.loads / zone.reports),
                bound(nodes[0]),
                bound(nodes[1]),
                bound(nodes[2]));
    }

    /** What was seen last, one period older, with the endpoints as they are now. */
    private static ZoneObservation aged(ZoneObservation last, ZoneObservation fresh) {
        return new ZoneObservation(
                last.zone(),
                last.age() + 1,
                last.served(),
                last.failed(),
                last.silent(),
                last.rejected(),
                0,
                0,
                last.load(),
                fresh.nodes(),
                fresh.cold(),
                fresh.usableNodes());
    }

    /**
     * Of each zone: endpoints that are ready, those of them that are cold, and what all can do, in
     * hundredths.
     */
    private int[][] nodes(long now) {
        int[][] nodes = new int[zones.length][3];
        double[] able = new double[zones.length];
        for (Endpoint entry : listed.values()) {
            if (entry.status() == EndpointStatus.READY
                    && entry.zone() >= 0
                    && entry.zone() < zones.length) {
                boolean cold =
                        entry.startedAt() != 0 && now - entry.startedAt() < safety.slowStartNanos();
                double ramp =
                        Math.max(0, now - entry.startedAt()) / (double) safety.slowStartNanos();
                nodes[entry.zone()][0]++;
                nodes[entry.zone()][1] += cold ? 1 : 0;
                able[entry.zone()] +=
                        entry.weight()
                                * (cold
                                        ? safety.coldCapacityShare()
                                                + (1 - safety.coldCapacityShare()) * ramp
                                        : 1);
            }
        }
        for (int i = 0; i < nodes.length; i++) {
            nodes[i][2] =
                    (int)
                            Math.min(
                                    ZoneObservations.MAX_COUNT - 1,
                                    Math.round(HUNDREDTHS * able[i]));
        }
        return nodes;
    }

    private static int bound(int count) {
        return Math.max(0, Math.min(count, ZoneObservations.MAX_COUNT - 1));
    }
}
