package cedarrudder.failover;

import cedarrudder.failover.ReplicaObservations.ZoneReport;

/**
 * How many of some replicas find a zone healthy or unhealthy. Each that has seen enough has one
 * vote, however many requests it has.
 *
 * @param unhealthy votes that it is unhealthy
 * @param healthy votes that it is healthy
 * @param replicas how many voted
 */
record ZoneVotes(double unhealthy, double healthy, int replicas) {

    /**
     * Attempts that a replica must have seen end, or wait, before it has a full vote; with fewer, a
     * part of one.
     */
    static final double REQUESTS_PER_VOTE = 3;

    /** The smallest part of a vote that counts. */
    private static final double MIN_VOTE = 0.3;

    /** Reports that are this many times older than evidence may be say nothing of a zone. */
    private static final int MAX_REPORT_AGE = 4;

    /** Of the votes, for a verdict. */
    private static final double MAJORITY_SHARE = 0.6;

    private static final ZoneVotes NONE = new ZoneVotes(0, 0, 0);

    /** What votes come to. */
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
        if (unhealthy >= MAJORITY_SHARE * all) {
            return Verdict.UNHEALTHY;
        }
        return healthy >= MAJORITY_SHARE * all ? Verdict.HEALTHY : Verdict.UNDECIDED;
    }

    ZoneVotes plus(ZoneVotes other) {
        return new ZoneVotes(
                unhealthy + other.unhealthy, healthy + other.healthy, replicas + other.replicas);
    }

    /** Whether some of these many replicas are most of them. */
    static boolean isMajority(int some, int all) {
        return some > MAJORITY_SHARE * all;
    }

    /**
     * What the replicas of one zone report of another; those without a fresh report are not
     * counted. What was seen longer ago weighs less: this avoids a zone that is healthy by what was
     * seen before.
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
                boolean finds = findsHealthy(report, settings);
                unhealthy += finds ? 0 : vote;
                healthy += finds ? vote : 0;
            }
        }
        // Of its own zone several must have reported; others send few requests there.
        return from == zone && voters < Math.min(settings.minReplicas(), fresh)
                ? NONE
                : new ZoneVotes(unhealthy, healthy, voters);
    }

    private static boolean isUsable(
            ReplicaObservations replica, ZoneReport report, long now, FailoverSettings settings) {
        return report.latest() != null
                && now - report.observedAt() <= MAX_REPORT_AGE * settings.evidenceAge()
                && !isIsolated(replica);
    }

    private static double vote(ZoneReport report, FailoverSettings settings) {
        if (report.latest().nodes() == 0) {
            return 1;
        }
        return Math.min(1, attempts(report, settings) / REQUESTS_PER_VOTE);
    }

    private static double attempts(ZoneReport report, FailoverSettings settings) {
        return report.served() + report.rejected() + report.unhealthy(settings.period());
    }

    private static boolean findsHealthy(ZoneReport report, FailoverSettings settings) {
        return report.latest().nodes() > 0
                && report.unhealthy(settings.period())
                        <= settings.badShare() * attempts(report, settings);
    }

    /**
     * Whether no zone serves a replica that sent to more than one. This avoids a replica whose own
     * link is broken: it reports of every zone that it is lost.
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
