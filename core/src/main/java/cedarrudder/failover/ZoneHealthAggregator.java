package cedarrudder.failover;

import cedarrudder.failover.ReplicaObservations.ZoneReport;
import cedarrudder.failover.ZoneHealthSnapshot.RemoteTraffic;
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
 * Puts together what many replicas observed of the zones. Not thread-safe.
 *
 * <p>Replicas vote, and zones of replicas: within a zone each replica that has seen enough has one
 * vote, and the zone finds another healthy or unhealthy by a majority of its votes ({@link
 * ZoneVotes}). This avoids a failover for one replica's broken link, and one by the reports of
 * replicas of a single zone while others are served.
 */
public final class ZoneHealthAggregator {

    /**
     * Where other zones can't tell, the zone's own replicas must have reported it unhealthy for
     * this many periods.
     */
    private static final int ALONE_PERIODS = 6;

    /** A zone is strained where its endpoints report, over some periods, that they are so full. */
    private static final double FULL_LOAD = 0.97;

    /** Requests that no replica reports count where they are over this share of the capacity. */
    private static final double UNREPORTED_SHARE = 0.05;

    private static final double HUNDREDTHS = 100;

    private final FailoverSettings settings;
    private final int[] zoneOf;
    private final int zones;
    private final ReplicaObservations[] replicas;
    private final ZoneCapacity capacities;
    private final long[] aloneSince;
    private final boolean[] isAlone;
    private long learnedAt = Long.MIN_VALUE;

    /**
     * Before the first report.
     *
     * @param zoneOf the zone of each replica
     */
    public ZoneHealthAggregator(FailoverSettings settings, int[] zoneOf, int zones) {
        this.settings = settings;
        this.zoneOf = zoneOf.clone();
        this.zones = zones;
        this.capacities = new ZoneCapacity(zones);
        this.aloneSince = new long[zones];
        this.isAlone = new boolean[zones];
        this.replicas = new ReplicaObservations[zoneOf.length];
        Arrays.setAll(replicas, i -> new ReplicaObservations(zoneOf[i], zones, settings.period()));
    }

    /**
     * A part of a replica's observations has come; what is of no known replica or zone, or
     * outdated, changes nothing.
     */
    public void onObservations(long now, ZoneObservations observations) {
        int replica = observations.replica();
        if (replica < replicas.length && zoneOf[replica] == observations.zone()) {
            replicas[replica].onReport(now, observations);
        }
    }

    /** What is known now; to be asked once a period, as it also learns what zones can serve. */
    public ZoneHealthSnapshot snapshot(long now) {
        boolean learns = learnedAt == Long.MIN_VALUE || now - learnedAt >= settings.period() / 2;
        if (learns) {
            learnedAt = now;
        }
        List<ZoneHealth> health = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            health.add(zoneHealth(now, zone, learns));
        }
        return new ZoneHealthSnapshot(health, trafficOfSilentReplicas(now));
    }

    private List<RemoteTraffic> trafficOfSilentReplicas(long now) {
        List<RemoteTraffic> traffic = new ArrayList<>();
        for (ReplicaObservations replica : replicas) {
            if (replica.isKnown() && !isFresh(now, replica) && replica.arrivalRate() > 0) {
                traffic.add(
                        new RemoteTraffic(replica.zone(), replica.arrivalRate(), replica.table()));
            }
        }
        return traffic;
    }

    /**
     * Replicas whose lease is over for certain: their requests are counted no longer.
     *
     * @param leaseOver of each replica, when that is where it stays silent
     */
    public void lapse(long now, IntToLongFunction leaseOver) {
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
        Opinions opinions = opinions(now, zone);
        Totals totals = totals(now, zone);
        ZoneState state = state(now, zone, opinions, totals.fresh);
        double load = totals.load();
        if (learns) {
            capacities.onLoad(zone, load);
        }
        boolean strained = rejects(totals) || capacities.load(zone) > FULL_LOAD;
        if (learns && state == ZoneState.HEALTHY) {
            capacities.learn(zone, totals.usableWeight(), totals.served, load, strained);
        }
        double capacity = capacities.of(zone, totals.usableWeight());
        double unseen = Double.isNaN(load) ? 0 : Math.max(0, load * capacity - totals.served);
        return new ZoneHealth(
                state,
                strained,
                totals.demand,
                totals.served,
                capacity,
                Double.isNaN(load),
                unseen > UNREPORTED_SHARE * capacity ? unseen : 0,
                totals.fresh,
                opinions.unhealthy,
                opinions.healthy);
    }

    private boolean rejects(Totals totals) {
        return totals.fresh > 0
                && totals.strained >= Math.min(settings.minReplicas(), totals.fresh)
                && ZoneVotes.isMajority(totals.strained, totals.fresh);
    }

    /**
     * What the zones find of one of them.
     *
     * @param unhealthy the zones whose replicas find it unhealthy
     * @param healthy those whose replicas find it healthy
     * @param ofOthers what the replicas of all other zones find together
     */
    private record Opinions(Set<Integer> unhealthy, Set<Integer> healthy, Verdict ofOthers) {}

    private Opinions opinions(long now, int zone) {
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
        return new Opinions(unhealthy, healthy, ofOthers);
    }

    /** What the fresh reports of a zone add up to. */
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
            served += report.rate();
            if (report.latest().age() == 0 && report.latest().load() > 0) {
                double weight = Math.max(1, report.latest().ended());
                weightedLoads += weight * (report.latest().load() - 1) / HUNDREDTHS;
                loadWeights += weight;
            }
            usable[reporters++] = report.latest().usableNodes();
        }

        /** The weight of the endpoints that may be used: the median of the reports. */
        double usableWeight() {
            return reporters == 0 ? 0 : usable[reporters / 2] / HUNDREDTHS;
        }

        /** The mean load; NaN: none was reported. */
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

    private ZoneState state(long now, int zone, Opinions opinions, int fresh) {
        boolean unhealthyByItself = opinions.unhealthy.contains(zone);
        int unhealthyByOthers = opinions.unhealthy.size() - (unhealthyByItself ? 1 : 0);
        boolean othersFindUnhealthy = opinions.ofOthers == Verdict.UNHEALTHY;
        boolean alone = unhealthyByItself && isSilentOn(zone, opinions, unhealthyByOthers);
        trackAlone(now, zone, alone);
        if (unhealthyByItself) {
            boolean lost =
                    alone
                            ? now - aloneSince[zone] >= ALONE_PERIODS * settings.period()
                                    && fresh >= settings.minReplicas()
                            : othersFindUnhealthy && unhealthyByOthers > 0;
            return lost ? ZoneState.LOST : ZoneState.UNKNOWN;
        }
        if (opinions.healthy.contains(zone)) {
            return othersFindUnhealthy && unhealthyByOthers > 0
                    ? ZoneState.CUT_OFF
                    : ZoneState.HEALTHY;
        }
        if (othersFindUnhealthy && unhealthyByOthers > 1) {
            return ZoneState.LOST;
        }
        return opinions.ofOthers == Verdict.HEALTHY ? ZoneState.HEALTHY : ZoneState.UNKNOWN;
    }

    /** Whether no other zone finds anything of this one. */
    private static boolean isSilentOn(int zone, Opinions opinions, int unhealthyByOthers) {
        return opinions.ofOthers == Verdict.UNDECIDED
                && unhealthyByOthers == 0
                && opinions.healthy.stream().noneMatch(other -> other != zone);
    }

    private void trackAlone(long now, int zone, boolean alone) {
        if (alone && !isAlone[zone]) {
            aloneSince[zone] = now;
        }
        isAlone[zone] = alone;
    }
}
