package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.RemoteTraffic;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.failover.ZoneHealthSnapshot.ZoneState;
import cedarrudder.failover.ZoneObservations.ZoneObservation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntToLongFunction;

/**
 * Puts together what many replicas saw. A replica's later word replaces its earlier one, an older
 * life counts nothing, and what is old ages out. Not thread-safe.
 *
 * <p>Replicas vote, and zones of replicas: within a zone each replica that has seen enough has one
 * vote, however many calls it has, and a zone of replicas says <i>bad</i> or <i>well</i> by the
 * most of its votes. This avoids one replica's broken link, and against the word of replicas of one
 * zone alone while others are served.
 */
public final class ZoneHealthAggregator {

    /** What is left, each period, of what was counted before. */
    private static final double FADE_FACTOR = 0.6;

    /**
     * Calls that a replica must have seen end, or wait, before it has a whole vote; with fewer, a
     * part of one.
     */
    private static final double WHOLE_VOTE = 3;

    /** The least part of a vote that counts. */
    private static final double MIN_VOTE = 0.3;

    /** What is this many times older than evidence may be says nothing of a zone. */
    private static final int MAX_REPORT_AGE = 4;

    /** Calls out with nothing back for this many periods count as silent. */
    private static final int STALLED_PERIODS = 2;

    /** Of the votes of a zone's replicas. */
    private static final double MAJORITY_SHARE = 0.6;

    /**
     * Where other zones can't tell, the zone's own replicas must have said so for this many
     * periods.
     */
    private static final int ALONE_PERIODS = 6;

    /** A zone's replicas say that it is strained where this much of their calls is rejected, ... */
    private static final double REJECTED_SHARE = 0.05;

    /** ... or where its endpoints say, over some periods, that they are so full. */
    private static final double FULL_LOAD = 0.97;

    /** Rates are smoothed by this weight of the newest. */
    private static final double NEWEST_WEIGHT = 0.25;

    /** What a zone can do is learned by this weight, and by this one where it turns calls away. */
    private static final double LEARN_WEIGHT = 0.1;

    private static final double FALL_WEIGHT = 0.6;

    /** Below this use of a zone, and this rate, nothing is learned of its capacity. */
    private static final double MIN_LOAD = 0.15;

    private static final double MIN_RATE = 5;

    /** Calls that nobody tells of count where they are over this share of the capacity. */
    private static final double UNREPORTED_SHARE = 0.05;

    private static final double HUNDREDTHS = 100;
    private static final double MILLIS = 1_000;

    /** What a replica last said of a zone, with what it said before fading away. */
    private static final class ZoneReport {
        long sequence = -1;

        /** The period that it told of last. */
        long lastPeriod = -1;

        long observedAt;
        double served;
        double failed;
        double rejected;
        double rate;
        double ended;
        ZoneObservation latest;

        double unhealthy(long period) {
            boolean still =
                    latest.age() == 0
                            && latest.unanswered() * 1_000_000L >= STALLED_PERIODS * period;
            return failed + (still ? latest.inFlight() : 0);
        }
    }

    private static final class ReplicaObservations {
        long incarnation = -1;
        long sequence = -1;
        long heardAt;
        double arrivalRate;
        double unservedRate;
        long table;
        ZoneReport[] reports;
    }

    private final FailoverSettings settings;
    private final int[] zoneOf;
    private final int zones;
    private final ReplicaObservations[] replicas;

    /** Calls a second that one warm endpoint of weight 1 serves; 0: not known. */
    private final double[] ratePerWeight;

    /** How full zones are, smoothed; NaN: not known. */
    private final double[] fullness;

    private final long[] aloneSince;
    private final boolean[] isAlone;
    private long learnedAt = Long.MIN_VALUE;

    /**
     * @param zoneOf the zone of each replica
     */
    public ZoneHealthAggregator(FailoverSettings settings, int[] zoneOf, int zones) {
        this.settings = settings;
        this.zoneOf = zoneOf.clone();
        this.zones = zones;
        this.ratePerWeight = new double[zones];
        this.fullness = new double[zones];
        Arrays.fill(fullness, Double.NaN);
        this.aloneSince = new long[zones];
        this.isAlone = new boolean[zones];
        this.replicas = new ReplicaObservations[zoneOf.length];
        Arrays.setAll(replicas, i -> new ReplicaObservations());
        for (ReplicaObservations replica : replicas) {
            reset(replica);
        }
    }

    private void reset(ReplicaObservations replica) {
        replica.reports = new ZoneReport[zones];
        Arrays.setAll(replica.reports, i -> new ZoneReport());
        replica.sequence = -1;
        replica.arrivalRate = 0;
        replica.unservedRate = 0;
    }

    /**
     * A part of a replica's evidence has come; what is of no known copy or zone, or old, changes
     * nothing.
     */
    public void onObservations(long now, ZoneObservations evidence) {
        if (evidence.replica() >= replicas.length
                || zoneOf[evidence.replica()] != evidence.zone()) {
            return;
        }
        ReplicaObservations replica = replicas[evidence.replica()];
        if (evidence.incarnation() < replica.incarnation) {
            return;
        }
        if (evidence.incarnation() > replica.incarnation) {
            reset(replica);
            replica.incarnation = evidence.incarnation();
        }
        double seconds = evidence.millis() / MILLIS;
        if (evidence.sequence() > replica.sequence) {
            boolean first = replica.sequence < 0;
            double rate = evidence.requests() / seconds;
            replica.arrivalRate =
                    first
                            ? rate
                            : replica.arrivalRate + NEWEST_WEIGHT * (rate - replica.arrivalRate);
            replica.unservedRate =
                    first
                            ? evidence.unserved() / seconds
                            : replica.unservedRate
                                    + NEWEST_WEIGHT
                                            * (evidence.unserved() / seconds
                                                    - replica.unservedRate);
            replica.sequence = evidence.sequence();
            replica.heardAt = now;
            replica.table = evidence.table();
        }
        for (ZoneObservation seen : evidence.observations()) {
            if (seen.zone() < zones) {
                onObservations(
                        now, replica.reports[seen.zone()], evidence.sequence(), seen, seconds);
            }
        }
    }

    private void onObservations(
            long now, ZoneReport word, long sequence, ZoneObservation seen, double seconds) {
        if (sequence <= word.sequence) {
            return;
        }
        long basis = sequence - seen.age();
        if (basis > word.lastPeriod) {
            // A period of which nothing came fades what was said as one that came does.
            double kept =
                    word.lastPeriod < 0
                            ? 0
                            : StrictMath.pow(
                                    FADE_FACTOR,
                                    Math.min(ZoneObservations.MAX_AGE, basis - word.lastPeriod));
            word.served = kept * word.served + seen.served();
            word.failed = kept * word.failed + seen.failed() + seen.silent();
            word.rejected = kept * word.rejected + seen.rejected();
            word.ended = kept * word.ended + seen.ended();
            double rate = seen.served() / seconds;
            word.rate = word.lastPeriod < 0 ? rate : word.rate + NEWEST_WEIGHT * (rate - word.rate);
            word.lastPeriod = basis;
        } else {
            word.rate *= 1 - NEWEST_WEIGHT; // nothing was asked of it since
        }
        word.sequence = sequence;
        word.latest = seen;
        word.observedAt = now - seen.age() * settings.period();
    }

    /** What is held now; to be asked once a period, as it also learns what zones can do. */
    public ZoneHealthSnapshot snapshot(long now) {
        boolean learns = learnedAt == Long.MIN_VALUE || now - learnedAt >= settings.period() / 2;
        if (learns) {
            learnedAt = now;
        }
        List<ZoneHealth> pictures = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            pictures.add(zoneHealth(now, zone, learns));
        }
        List<RemoteTraffic> away = new ArrayList<>();
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i].incarnation >= 0
                    && !isFresh(now, replicas[i])
                    && replicas[i].arrivalRate > 0) {
                away.add(new RemoteTraffic(zoneOf[i], replicas[i].arrivalRate, replicas[i].table));
            }
        }
        return new ZoneHealthSnapshot(pictures, away);
    }

    /**
     * Replicas whose lease is over for certain: their calls are reckoned with no longer.
     *
     * @param leaseOver of each replica, when that is where it stays silent
     */
    public void lapse(long now, IntToLongFunction leaseOver) {
        for (int i = 0; i < replicas.length; i++) {
            if (!isFresh(now, replicas[i]) && now - leaseOver.applyAsLong(i) > 0) {
                replicas[i].arrivalRate = 0;
            }
        }
    }

    private boolean isFresh(long now, ReplicaObservations replica) {
        return replica.incarnation >= 0
                && replica.sequence >= 0
                && now - replica.heardAt <= settings.evidenceAge();
    }

    private ZoneHealth zoneHealth(long now, int zone, boolean learns) {
        Set<Integer> bad = new TreeSet<>();
        Set<Integer> well = new TreeSet<>();
        double othersBad = 0;
        double othersWell = 0;
        int others = 0;
        for (int from = 0; from < zones; from++) {
            Votes votes = votes(now, from, zone);
            if (votes.verdict() != 0) {
                (votes.verdict() < 0 ? bad : well).add(from);
            }
            othersBad += from == zone ? 0 : votes.unhealthy;
            othersWell += from == zone ? 0 : votes.healthy;
            others += from == zone ? 0 : votes.replicas;
        }
        int said =
                others < settings.minReplicas()
                        ? 0
                        : new Votes(othersBad, othersWell, others).verdict();
        double demand = 0;
        double served = 0;
        double loads = 0;
        double reports = 0;
        double strained = 0;
        int fresh = 0;
        int[] able = new int[replicas.length];
        int known = 0;
        for (int i = 0; i < replicas.length; i++) {
            ReplicaObservations replica = replicas[i];
            if (!isFresh(now, replica)) {
                continue;
            }
            ZoneReport word = replica.reports[zone];
            if (word.latest != null) {
                served += word.rate;
                if (word.latest.age() == 0 && word.latest.load() > 0) {
                    double weight = Math.max(1, word.latest.ended());
                    loads += weight * (word.latest.load() - 1) / HUNDREDTHS;
                    reports += weight;
                }
                able[known++] = word.latest.usableNodes();
            }
            if (zoneOf[i] == zone) {
                fresh++;
                demand += replica.arrivalRate;
                strained += isStrained(replica, word) ? 1 : 0;
            }
        }
        Arrays.sort(able, 0, known);
        double units = known == 0 ? 0 : able[known / 2] / HUNDREDTHS;
        double load = reports == 0 ? Double.NaN : loads / reports;
        ZoneState state = state(now, zone, bad, well, said, fresh);
        if (learns) {
            fullness[zone] =
                    Double.isNaN(load) || Double.isNaN(fullness[zone])
                            ? load
                            : fullness[zone] + NEWEST_WEIGHT * (load - fullness[zone]);
        }
        boolean turnsAway =
                fresh > 0
                        && strained >= Math.min(settings.minReplicas(), fresh)
                        && strained > MAJORITY_SHARE * fresh;
        boolean strains = turnsAway || fullness[zone] > FULL_LOAD;
        if (learns && state == ZoneState.HEALTHY && units > 0 && served >= MIN_RATE) {
            learnCapacity(zone, served / units, load, strains);
        }
        double capacity = ratePerWeight[zone] * units;
        double unseen = Double.isNaN(load) ? 0 : Math.max(0, load * capacity - served);
        return new ZoneHealth(
                state,
                strains,
                demand,
                served,
                capacity,
                Double.isNaN(load),
                unseen > UNREPORTED_SHARE * capacity ? unseen : 0,
                fresh,
                bad,
                well);
    }

    private static boolean isStrained(ReplicaObservations replica, ZoneReport word) {
        return replica.arrivalRate >= 1
                        && replica.unservedRate > REJECTED_SHARE * replica.arrivalRate
                || word.ended >= WHOLE_VOTE && word.rejected > REJECTED_SHARE * word.ended;
    }

    private void learnCapacity(int zone, double rate, double load, boolean strains) {
        if (Double.isNaN(load)) {
            // Without reports: a zone that is full serves what it can, another can do no less than
            // it does.
            ratePerWeight[zone] =
                    strains
                            ? ratePerWeight[zone] + FALL_WEIGHT * (rate - ratePerWeight[zone])
                            : Math.max(ratePerWeight[zone], rate);
        } else if (load >= MIN_LOAD) {
            double sample = rate / Math.min(1, load);
            ratePerWeight[zone] +=
                    ratePerWeight[zone] == 0
                            ? sample
                            : (strains && sample < ratePerWeight[zone] ? FALL_WEIGHT : LEARN_WEIGHT)
                                    * (sample - ratePerWeight[zone]);
        } else {
            // This avoids a site that is nearly idle being taken for one that can serve nothing.
            ratePerWeight[zone] = Math.max(ratePerWeight[zone], rate / MIN_LOAD);
        }
    }

    /** What the replicas of one zone say of another; replicas that say nothing are not counted. */
    private record Votes(double unhealthy, double healthy, int replicas) {

        /** 1 that it is well, -1 that it is bad, 0 nothing. */
        int verdict() {
            double all = unhealthy + healthy;
            return all == 0
                    ? 0
                    : unhealthy >= MAJORITY_SHARE * all
                            ? -1
                            : healthy >= MAJORITY_SHARE * all ? 1 : 0;
        }
    }

    /**
     * What was seen longer ago weighs less: this avoids a zone that is well by what was seen
     * before.
     */
    private Votes votes(long now, int from, int zone) {
        double bad = 0;
        double well = 0;
        int said = 0;
        int able = 0;
        for (int i = 0; i < replicas.length; i++) {
            ReplicaObservations replica = replicas[i];
            if (zoneOf[i] != from || !isFresh(now, replica)) {
                continue;
            }
            able++;
            ZoneReport word = replica.reports[zone];
            long age = now - word.observedAt;
            if (word.latest == null
                    || age > MAX_REPORT_AGE * settings.evidenceAge()
                    || isIsolated(replica)) {
                continue;
            }
            double ill = word.unhealthy(settings.period());
            double all = word.served + word.rejected + ill;
            boolean listed = word.latest.nodes() > 0;
            double vote = listed ? Math.min(1, all / WHOLE_VOTE) : 1;
            if (vote >= MIN_VOTE) {
                said++;
                vote *= StrictMath.pow(2, -(double) age / settings.evidenceAge());
                bad += !listed || ill > settings.badShare() * all ? vote : 0;
                well += listed && ill <= settings.badShare() * all ? vote : 0;
            }
        }
        // Of its own zone several must have said so; others send few calls there.
        return from == zone && said < Math.min(settings.minReplicas(), able)
                ? new Votes(0, 0, 0)
                : new Votes(bad, well, said);
    }

    /**
     * Whether nobody serves a replica that asked more than one zone. This avoids a replica whose
     * own link is broken: it says of every zone that it is lost.
     */
    private boolean isIsolated(ReplicaObservations replica) {
        int asked = 0;
        for (ZoneReport word : replica.reports) {
            if (word.latest != null
                    && word.served + word.rejected + word.failed >= MIN_VOTE * WHOLE_VOTE) {
                asked++;
                if (word.served + word.rejected > word.failed) {
                    return false;
                }
            }
        }
        return asked > 1;
    }

    /**
     * @param said what the replicas of all other zones say together, as {@link Votes#verdict} has
     *     it
     */
    private ZoneState state(
            long now, int zone, Set<Integer> bad, Set<Integer> well, int said, int fresh) {
        boolean ownBad = bad.contains(zone);
        int zonesBad = bad.size() - (ownBad ? 1 : 0);
        boolean unheard =
                ownBad && said == 0 && zonesBad == 0 && !well.stream().anyMatch(z -> z != zone);
        if (!unheard) {
            isAlone[zone] = false;
        } else if (!isAlone[zone]) {
            isAlone[zone] = true;
            aloneSince[zone] = now;
        }
        if (ownBad) {
            boolean lost =
                    unheard
                            ? now - aloneSince[zone] >= ALONE_PERIODS * settings.period()
                                    && fresh >= settings.minReplicas()
                            : said < 0 && zonesBad > 0;
            return lost ? ZoneState.LOST : ZoneState.UNKNOWN;
        }
        if (well.contains(zone)) {
            return said < 0 && zonesBad > 0 ? ZoneState.CUT_OFF : ZoneState.HEALTHY;
        }
        return said < 0 && zonesBad > 1
                ? ZoneState.LOST
                : said > 0 ? ZoneState.HEALTHY : ZoneState.UNKNOWN;
    }
}
