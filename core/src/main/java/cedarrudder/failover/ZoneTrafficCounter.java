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
 * Counts the outcomes of one replica's attempts and probes by zone, and closes a period as {@link
 * ZoneObservations}. It receives each outcome that the balancer receives, at the cost of one
 * look-up. Not thread-safe.
 */
public final class ZoneTrafficCounter {

    /**
     * A period that took this many times its length shows that the process was suspended; its
     * counts show nothing about the zones.
     */
    private static final double SUSPENSION_FACTOR = 1.4;

    private static final double HUNDREDTHS = 100;
    private static final int MILLION = 1_000_000;

    /** The counts of one zone in this period. */
    private static final class Zone {
        int served;
        int failed;
        int silent;
        int rejected;
        int inFlight;
        long lastAnswerAt;
        double loadSum;
        int loadReports;
        ZoneObservation lastObservation;

        void resetCounts() {
            served = 0;
            failed = 0;
            silent = 0;
            rejected = 0;
            loadSum = 0;
            loadReports = 0;
        }
    }

    private final int replica;
    private final int ownZone;
    private final long incarnation;
    private final long period;
    private final SafetyRules safety;
    private final Zone[] zones;
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private long periodStartedAt;
    private long sequence;
    private int requests;
    private int unserved;
    private boolean wasSuspended;

    /**
     * Creates a counter whose first period starts now.
     *
     * @param zones number of zones
     * @param period length of a period in nanoseconds
     */
    public ZoneTrafficCounter(
            int replica,
            int ownZone,
            long incarnation,
            int zones,
            long period,
            SafetyRules safety,
            long now) {
        this.replica = replica;
        this.ownZone = ownZone;
        this.incarnation = incarnation;
        this.period = period;
        this.safety = safety;
        this.zones = new Zone[zones];
        this.periodStartedAt = now;
        for (int i = 0; i < zones; i++) {
            this.zones[i] = new Zone();
        }
    }

    /** Applies the list of endpoints, or changes to it. */
    public void onEndpoints(EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            endpoints.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.status() == EndpointStatus.REMOVED) {
                endpoints.remove(entry.id());
            } else {
                endpoints.put(entry.id(), entry);
            }
        }
    }

    /** Counts a request that arrived at this replica. */
    public void onRequest() {
        requests++;
    }

    /** Counts a request that was rejected or failed here. */
    public void onUnserved() {
        unserved++;
    }

    private Zone zone(long endpoint) {
        Endpoint entry = endpoints.get(endpoint);
        return entry == null || entry.zone() < 0 || entry.zone() >= zones.length
                ? null
                : zones[entry.zone()];
    }

    /**
     * Counts an attempt that is sent; returns its zone's number, which the caller passes to {@link
     * #onAttemptEnded}, or -1 if the zone is unknown.
     */
    public int onAttemptSent(long now, long endpoint) {
        Zone zone = zone(endpoint);
        if (zone == null) {
            return -1;
        }
        if (zone.inFlight++ == 0) {
            zone.lastAnswerAt = now;
        }
        return endpoints.get(endpoint).zone();
    }

    /**
     * Counts an attempt that ended.
     *
     * @param zoneNumber the result of {@link #onAttemptSent}
     */
    public void onAttemptEnded(long now, int zoneNumber, Outcome outcome, LoadReport load) {
        if (zoneNumber >= 0) {
            zones[zoneNumber].inFlight--;
            count(now, zones[zoneNumber], outcome, load);
        }
    }

    /** Counts a probe that was answered or failed. */
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
            default -> {} // cancelled, or never sent: shows nothing of the zone
        }
        if (outcome == Outcome.OK || outcome == Outcome.ERROR || outcome == Outcome.REJECTED) {
            zone.lastAnswerAt = now;
        }
        if (load != null && load.utilization() >= 0) {
            zone.loadSum += Math.min(2, load.utilization());
            zone.loadReports++;
        }
    }

    /**
     * Ends the period, returns its observations and starts the next period. Returns null if this
     * replica was suspended in this period or the one before: it would otherwise report every zone
     * as silent, although only this replica was silent.
     *
     * @param table the number of the table in use; 0 for none
     */
    public ZoneObservations closePeriod(long now, long table) {
        long length = now - periodStartedAt;
        boolean suspended = length > SUSPENSION_FACTOR * period;
        boolean counts = !suspended && !wasSuspended && length > 0;
        wasSuspended = suspended;
        List<ZoneObservation> observed = new ArrayList<>();
        int[][] nodes = nodes(now);
        for (int i = 0; i < zones.length; i++) {
            ZoneObservation each = closePeriod(now, i, zones[i], nodes[i], counts);
            if (each != null && !endpoints.isEmpty()) {
                observed.add(each);
            }
        }
        ZoneObservations report =
                counts
                        ? new ZoneObservations(
                                replica,
                                ownZone,
                                incarnation,
                                ++sequence,
                                table,
                                (int) Math.max(1, Math.min(length / MILLION, MILLION)),
                                bound(requests),
                                bound(unserved),
                                observed)
                        : null;
        periodStartedAt = now;
        requests = 0;
        unserved = 0;
        return report;
    }

    /** Returns the observation of a zone; null if nothing is known of it. */
    private static ZoneObservation closePeriod(
            long now, int number, Zone zone, int[] nodes, boolean counts) {
        ZoneObservation fresh = observation(now, number, zone, nodes);
        zone.resetCounts();
        if (!counts) {
            zone.lastObservation = null;
            zone.lastAnswerAt = now;
            return null;
        }
        boolean nothingSent = fresh.ended() == 0 && fresh.inFlight() == 0;
        boolean repeats =
                nothingSent
                        && zone.lastObservation != null
                        && zone.lastObservation.age() < ZoneObservations.MAX_AGE;
        zone.lastObservation = repeats ? aged(zone.lastObservation, fresh) : fresh;
        return zone.lastObservation;
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
                zone.loadReports == 0
                        ? 0
                        : 1 + (int) Math.round(HUNDREDTHS * zone.loadSum / zone.loadReports),
                bound(nodes[0]),
                bound(nodes[1]),
                bound(nodes[2]));
    }

    /** Returns the last observation, one period older, with the current endpoints. */
    private static ZoneObservation aged(ZoneObservation lastObservation, ZoneObservation fresh) {
        return new ZoneObservation(
                lastObservation.zone(),
                lastObservation.age() + 1,
                lastObservation.served(),
                lastObservation.failed(),
                lastObservation.silent(),
                lastObservation.rejected(),
                0,
                0,
                lastObservation.load(),
                fresh.nodes(),
                fresh.cold(),
                fresh.usableWeightHundredths());
    }

    /**
     * Returns for each zone the number of ready endpoints, the number of cold ones among them, and
     * what all ready endpoints can serve, in hundredths of what a warm endpoint of weight 1 can
     * serve.
     */
    private int[][] nodes(long now) {
        int[][] nodes = new int[zones.length][3];
        double[] usableWeights = new double[zones.length];
        for (Endpoint entry : endpoints.values()) {
            if (entry.status() == EndpointStatus.READY
                    && entry.zone() >= 0
                    && entry.zone() < zones.length) {
                boolean cold =
                        entry.startedAt() != 0 && now - entry.startedAt() < safety.slowStartNanos();
                double ramp =
                        Math.max(0, now - entry.startedAt()) / (double) safety.slowStartNanos();
                nodes[entry.zone()][0]++;
                nodes[entry.zone()][1] += cold ? 1 : 0;
                usableWeights[entry.zone()] +=
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
                                    Math.round(HUNDREDTHS * usableWeights[i]));
        }
        return nodes;
    }

    private static int bound(int count) {
        return Math.max(0, Math.min(count, ZoneObservations.MAX_COUNT - 1));
    }
}
