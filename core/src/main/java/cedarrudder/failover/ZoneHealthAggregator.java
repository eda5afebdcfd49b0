package cedarrudder.failover;

import cedarrudder.failover.ReplicaObservations.ZoneReport;
import cedarrudder.failover.ZoneHealthSnapshot.UnreachableReplica;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.failover.ZoneVotes.Verdict;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntToLongFunction;

/**
 * Aggregates the observations of zones by many replicas. Not thread-safe.
 *
 * <p>Both replicas and the zones of replicas vote: within a zone each replica with enough
 * observations has one vote, and the zone finds another healthy or unhealthy by a majority of its
 * votes ({@link ZoneVotes}). So neither one replica's broken network link causes a failover, nor
 * the reports of a single zone's replicas while other zones are served.
 */
public final class ZoneHealthAggregator {

    /**
     * If the other zones have no verdict, the zone's own replicas must have reported it unhealthy
     * for this many periods.
     */
    private static final int UNCONFIRMED_PERIODS = 6;

    /** A zone is strained if its endpoints report a load over this for some periods. */
    private static final double FULL_LOAD = 0.97;

    /**
     * Requests that no replica reports count if their rate is over this fraction of the capacity.
     */
    private static final double MIN_UNREPORTED_FRACTION = 0.05;

    private static final double HUNDREDTHS = 100;

    private final FailoverSettings settings;
    private final int[] zoneOf;
    private final int zones;
    private final ReplicaObservations[] replicas;
    private final ZoneCapacity capacities;
    private final long[] unconfirmedSince;
    private final boolean[] isUnconfirmed;
    private long learnedAt = Long.MIN_VALUE;

    /**
     * Creates an aggregator without any report.
     *
     * @param zoneOf the zone of each replica
     */
    public ZoneHealthAggregator(FailoverSettings settings, int[] zoneOf, int zones) {
        this.settings = settings;
        this.zoneOf = zoneOf.clone();
        this.zones = zones;
        this.capacities = new ZoneCapacity(zones);
        this.unconfirmedSince = new long[zones];
        this.isUnconfirmed = new boolean[zones];
        this.replicas = new ReplicaObservations[zoneOf.length];
        Arrays.setAll(replicas, i -> new ReplicaObservations(zoneOf[i], zones, settings.period()));
    }

    /**
     * Applies a part of a replica's observations; a part of an unknown replica or zone, or an
     * outdated one, changes nothing.
     */
    public void onObservations(long now, ZoneObservations observations) {
        int replica = observations.replica();
        if (replica < replicas.length && zoneOf[replica] == observations.zone()) {
            replicas[replica].onReport(now, observations);
        }
    }

    /**
     * Returns the current health of the zones. Call it once per period, as it also learns the
     * zones' capacity.
     */
    public ZoneHealthSnapshot snapshot(long now) {
        boolean learns = learnedAt == Long.MIN_VALUE || now - learnedAt >= settings.period() / 2;
        if (learns) {
            learnedAt = now;
        }
        List<ZoneHealth> health = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            health.add(zoneHealth(now, zone, learns));
        }
        return new ZoneHealthSnapshot(health, unreachableReplicas(now));
    }

    private List<UnreachableReplica> unreachableReplicas(long now) {
        List<UnreachableReplica> unreachable = new ArrayList<>();
        for (ReplicaObservations replica : replicas) {
            if (replica.isKnown() && !isFresh(now, replica) && replica.arrivalRate() > 0) {
                unreachable.add(
                        new UnreachableReplica(
                                replica.zone(), replica.arrivalRate(), replica.table()));
            }
        }
        return unreachable;
    }

    /**
     * Stops counting the requests of replicas whose lease has certainly expired.
     *
     * @param leaseOver for each replica, when its lease expires if it does not report again
     */
    public void forgetExpiredReplicas(long now, IntToLongFunction leaseOver) {
        for (int i = 0; i < replicas.length; i++) {
            if (!isFresh(now, replicas[i]) && now - leaseOver.applyAsLong(i) > 0) {
                replicas[i].forgetArrivals();
            }
        }
    }

    private boolean isFresh(long now, ReplicaObservations replica) {
        return replica.isFresh(now, settings.evidenceAge());
    }

    private ZoneHealth zoneHealth(long now, int zone, boolean learns) {
        ZoneVerdicts zoneVerdicts = zoneVerdicts(now, zone);
        Totals totals = totals(now, zone);
        ZoneState state = state(now, zone, zoneVerdicts, totals.fresh);
        double load = totals.load();
        if (learns) {
            capacities.onLoad(zone, load);
        }
        boolean strained = isRejecting(totals) || capacities.load(zone) > FULL_LOAD;
        if (learns && state == ZoneState.HEALTHY) {
            capacities.learn(zone, totals.usableWeight(), totals.served, load, strained);
        }
        double capacity = capacities.of(zone, totals.usableWeight());
        double unreportedRate =
                Double.isNaN(load) ? 0 : Math.max(0, load * capacity - totals.served);
        return new ZoneHealth(
                state,
                strained,
                totals.demand,
                totals.served,
                capacity,
                Double.isNaN(load),
                unreportedRate > MIN_UNREPORTED_FRACTION * capacity ? unreportedRate : 0,
                totals.fresh,
                zoneVerdicts.unhealthy,
                zoneVerdicts.healthy);
    }

    private boolean isRejecting(Totals totals) {
        return totals.fresh > 0
                && totals.strained >= Math.min(settings.minReplicas(), totals.fresh)
                && ZoneVotes.isMajority(totals.strained, totals.fresh);
    }

    /**
     * The verdicts of all zones on one of them.
     *
     * @param unhealthy the zones whose replicas find it unhealthy
     * @param healthy those whose replicas find it healthy
     * @param ofOthers the common verdict of the replicas of all other zones
     */
    private record ZoneVerdicts(Set<Integer> unhealthy, Set<Integer> healthy, Verdict ofOthers) {}

    private ZoneVerdicts zoneVerdicts(long now, int zone) {
        Set<Integer> unhealthy = new TreeSet<>();
        Set<Integer> healthy = new TreeSet<>();
        ZoneVotes others = new ZoneVotes(0, 0, 0);
        for (int from = 0; from < zones; from++) {
            ZoneVotes votes = ZoneVotes.of(replicas, now, from, zone, settings);
            if (votes.verdict() == Verdict.UNHEALTHY) {
                unhealthy.add(from);
            } else if (votes.verdict() == Verdict.HEALTHY) {
                healthy.add(from);
            }
            if (from != zone) {
                others = others.plus(votes);
            }
        }
        Verdict ofOthers =
                others.replicas() < settings.minReplicas() ? Verdict.UNDECIDED : others.verdict();
        return new ZoneVerdicts(unhealthy, healthy, ofOthers);
    }

    /** The sums over the fresh reports on a zone. */
    private static final class Totals {
        private double demand;
        private double served;
        private double weightedLoads;
        private double loadWeights;
        private int strained;
        private int fresh;
        private final int[] usable;
        private int reporters;

        Totals(int replicas) {
            this.usable = new int[replicas];
        }

        void addReport(ZoneReport report) {
            if (report.latest() == null) {
                return;
            }
            served += report.servedRate();
            if (report.latest().age() == 0 && report.latest().load() > 0) {
                double weight = Math.max(1, report.latest().ended());
                weightedLoads += weight * (report.latest().load() - 1) / HUNDREDTHS;
                loadWeights += weight;
            }
            usable[reporters++] = report.latest().usableWeightHundredths();
        }

        /** Returns the weight of the usable endpoints: the median of the reports. */
        double usableWeight() {
            return reporters == 0 ? 0 : usable[reporters / 2] / HUNDREDTHS;
        }

        /** Returns the mean load; NaN if none was reported. */
        double load() {
            return loadWeights == 0 ? Double.NaN : weightedLoads / loadWeights;
        }
    }

    private Totals totals(long now, int zone) {
        Totals totals = new Totals(replicas.length);
        for (ReplicaObservations replica : replicas) {
            if (!isFresh(now, replica)) {
                continue;
            }
            ZoneReport report = replica.reports()[zone];
            totals.addReport(report);
            if (replica.zone() == zone) {
                totals.fresh++;
                totals.demand += replica.arrivalRate();
                totals.strained += replica.isStrained(report, ZoneVotes.REQUESTS_PER_VOTE) ? 1 : 0;
            }
        }
        Arrays.sort(totals.usable, 0, totals.reporters);
        return totals;
    }

    private ZoneState state(long now, int zone, ZoneVerdicts zoneVerdicts, int fresh) {
        boolean unhealthyByItself = zoneVerdicts.unhealthy.contains(zone);
        int unhealthyByOthers = zoneVerdicts.unhealthy.size() - (unhealthyByItself ? 1 : 0);
        boolean othersFindUnhealthy = zoneVerdicts.ofOthers == Verdict.UNHEALTHY;
        boolean unconfirmed =
                unhealthyByItself && hasNoOtherVerdict(zone, zoneVerdicts, unhealthyByOthers);
        trackUnconfirmed(now, zone, unconfirmed);
        if (unhealthyByItself) {
            boolean lost =
                    unconfirmed
                            ? now - unconfirmedSince[zone]
                                            >= UNCONFIRMED_PERIODS * settings.period()
                                    && fresh >= settings.minReplicas()
                            : othersFindUnhealthy && unhealthyByOthers > 0;
            return lost ? ZoneState.LOST : ZoneState.UNKNOWN;
        }
        if (zoneVerdicts.healthy.contains(zone)) {
            return othersFindUnhealthy && unhealthyByOthers > 0
                    ? ZoneState.CUT_OFF
                    : ZoneState.HEALTHY;
        }
        if (othersFindUnhealthy && unhealthyByOthers > 1) {
            return ZoneState.LOST;
        }
        return zoneVerdicts.ofOthers == Verdict.HEALTHY ? ZoneState.HEALTHY : ZoneState.UNKNOWN;
    }

    /** Returns whether no other zone has a verdict on this one. */
    private static boolean hasNoOtherVerdict(
            int zone, ZoneVerdicts zoneVerdicts, int unhealthyByOthers) {
        return zoneVerdicts.ofOthers == Verdict.UNDECIDED
                && unhealthyByOthers == 0
                && zoneVerdicts.healthy.stream().noneMatch(other -> other != zone);
    }

    private void trackUnconfirmed(long now, int zone, boolean unconfirmed) {
        if (unconfirmed && !isUnconfirmed[zone]) {
            unconfirmedSince[zone] = now;
        }
        isUnconfirmed[zone] = unconfirmed;
    }
}
