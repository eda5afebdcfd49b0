package cedarrudder.failover;

import cedarrudder.failover.ReplicaObservations.ZoneReport;

/**
 * The votes of some replicas on whether a zone is healthy. Each replica with enough observations
 * has one vote, however many requests it has.
 *
 * @param unhealthy votes that the zone is unhealthy
 * @param healthy votes that the zone is healthy
 * @param replicas how many voted
 */
record ZoneVotes(double unhealthy, double healthy, int replicas) {

    /**
     * Number of ended or waiting attempts from which a replica has a full vote; with fewer, it has
     * a fraction of one.
     */
    static final double REQUESTS_PER_VOTE = 3;

    /** The smallest fraction of a vote that counts. */
    private static final double MIN_VOTE = 0.3;

    /** Reports older than this many times the maximum age of evidence are ignored. */
    private static final int MAX_REPORT_AGE_FACTOR = 4;

    /** Fraction of the votes that a verdict needs. */
    private static final double MAJORITY_FRACTION = 0.6;

    private static final ZoneVotes NONE = new ZoneVotes(0, 0, 0);

    /** The result of a vote. */
    enum Verdict {
        HEALTHY,
        UNHEALTHY,
        UNDECIDED
    }

    Verdict verdict() {
        double all = unhealthy + healthy;
        if (all == 0) {
            return Verdict.UNDECIDED;
        }
        if (unhealthy >= MAJORITY_FRACTION * all) {
            return Verdict.UNHEALTHY;
        }
        return healthy >= MAJORITY_FRACTION * all ? Verdict.HEALTHY : Verdict.UNDECIDED;
    }

    ZoneVotes plus(ZoneVotes other) {
        return new ZoneVotes(
                unhealthy + other.unhealthy, healthy + other.healthy, replicas + other.replicas);
    }

    /** Returns whether a number of replicas is a majority of all. */
    static boolean isMajority(int some, int all) {
        return some > MAJORITY_FRACTION * all;
    }

    /**
     * Counts the votes of one zone's replicas on another zone; replicas without a fresh report are
     * not counted. The weight of an observation decays with its age: otherwise old observations
     * could show a zone as healthy.
     */
    static ZoneVotes of(
            ReplicaObservations[] replicas,
            long now,
            int from,
            int zone,
            FailoverSettings settings) {
        double unhealthy = 0;
        double healthy = 0;
        int voters = 0;
        int fresh = 0;
        for (ReplicaObservations replica : replicas) {
            if (replica.zone() != from || !replica.isFresh(now, settings.evidenceAge())) {
                continue;
            }
            fresh++;
            ZoneReport report = replica.reports()[zone];
            double vote = isUsable(replica, report, now, settings) ? vote(report, settings) : 0;
            if (vote >= MIN_VOTE) {
                voters++;
                long age = now - report.observedAt();
                vote *= StrictMath.pow(2, -(double) age / settings.evidenceAge());
                boolean isHealthy = findsHealthy(report, settings);
                unhealthy += isHealthy ? 0 : vote;
                healthy += isHealthy ? vote : 0;
            }
        }
        // On its own zone several replicas must have voted; others send few requests there.
        return from == zone && voters < Math.min(settings.minReplicas(), fresh)
                ? NONE
                : new ZoneVotes(unhealthy, healthy, voters);
    }

    private static boolean isUsable(
            ReplicaObservations replica, ZoneReport report, long now, FailoverSettings settings) {
        return report.latest() != null
                && now - report.observedAt() <= MAX_REPORT_AGE_FACTOR * settings.evidenceAge()
                && !isIsolated(replica);
    }

    private static double vote(ZoneReport report, FailoverSettings settings) {
        if (report.latest().nodes() == 0) {
            return 1;
        }
        return Math.min(1, attempts(report, settings) / REQUESTS_PER_VOTE);
    }

    private static double attempts(ZoneReport report, FailoverSettings settings) {
        return report.served() + report.rejected() + report.unhealthyAttempts(settings.period());
    }

    private static boolean findsHealthy(ZoneReport report, FailoverSettings settings) {
        return report.latest().nodes() > 0
                && report.unhealthyAttempts(settings.period())
                        <= settings.badShare() * attempts(report, settings);
    }

    /**
     * Returns whether no zone serves a replica that sent requests to more than one. Such a replica,
     * whose own network link is broken, would report every zone as lost.
     */
    private static boolean isIsolated(ReplicaObservations replica) {
        int sentTo = 0;
        for (ZoneReport report : replica.reports()) {
            if (report.latest() != null
                    && report.served() + report.rejected() + report.failed()
                            >= MIN_VOTE * REQUESTS_PER_VOTE) {
                sentTo++;
                if (report.served() + report.rejected() > report.failed()) {
                    return false;
                }
            }
        }
        return sentTo > 1;
    }
}
