package cedarrudder.coordination;

import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.Arrays;

/** What the leader knows of the replicas that report to it. */
final class ReportCollector {

    /**
     * How often one replica is answered in the time between two of its reports, at most. This
     * bounds the work that a flood of reports can cause.
     */
    private static final int MAX_ANSWERS = 8;

    /** A replica that was silent for this many reports no longer counts as reporting. */
    private static final int MAX_SILENT_REPORTS = 4;

    /** So long ago that it precedes every instant of a clock that starts at any value. */
    private static final long FOREVER = Long.MAX_VALUE / 4;

    private final long interval;
    private final long[] incarnations;
    private final long[] reportNumbers;
    private final long[] lastGrantAt;
    private final long[] reportedAt;
    private final long[] grantedAt;
    private final long[] answeredAt;
    private final RouteTableCapacity[] capacities;
    private long highestTable;

    /**
     * Knows of no report.
     *
     * @param interval between two reports of one replica, in nanoseconds
     */
    ReportCollector(int replicas, long interval, long now) {
        this.interval = interval;
        incarnations = new long[replicas];
        reportNumbers = new long[replicas];
        lastGrantAt = new long[replicas];
        reportedAt = new long[replicas];
        grantedAt = new long[replicas];
        answeredAt = new long[replicas];
        capacities = new RouteTableCapacity[replicas];
        reset(now);
    }

    /**
     * Forgets everything: a leader's term begins. Leases that a former leader granted may run from
     * now at the latest.
     */
    void reset(long now) {
        long never = now - FOREVER;
        Arrays.fill(incarnations, 0);
        Arrays.fill(reportNumbers, 0);
        Arrays.fill(lastGrantAt, never);
        Arrays.fill(reportedAt, never);
        Arrays.fill(grantedAt, now);
        Arrays.fill(answeredAt, never);
        Arrays.fill(capacities, null);
        highestTable = 0;
    }

    /**
     * Takes a report.
     *
     * @param inTerm whether its sender is in this leader's group and term
     * @return false where it is outdated, so that nothing of it is taken
     */
    boolean onReport(
            long now, int from, long incarnation, ReportMessage.Report report, boolean inTerm) {
        if (isOutdated(from, incarnation, report.number())) {
            return false;
        }
        if (incarnation > incarnations[from]) {
            lastGrantAt[from] = now - FOREVER;
        }
        incarnations[from] = incarnation;
        reportNumbers[from] = report.number();
        reportedAt[from] = now;
        capacities[from] = report.capacity();
        highestTable = Math.max(highestTable, report.highestTable());
        long repeated = report.lastGrantAt();
        if (inTerm && repeated != ReportMessage.NEVER && repeated <= now) {
            lastGrantAt[from] = Math.max(lastGrantAt[from], repeated);
        }
        return true;
    }

    private boolean isOutdated(int from, long incarnation, long reportNumber) {
        return incarnation < incarnations[from]
                || incarnation == incarnations[from] && reportNumber <= reportNumbers[from];
    }

    /** Whether a replica that wants a grant gets one now. */
    boolean mayAnswer(long now, int to) {
        if (now - answeredAt[to] < interval / MAX_ANSWERS) {
            return false;
        }
        answeredAt[to] = now;
        return true;
    }

    /** The highest number of a report of the latest incarnation. */
    long lastNumber(int from) {
        return reportNumbers[from];
    }

    /** A replica is granted its table. */
    void onGranted(long now, int to) {
        grantedAt[to] = now;
    }

    /** Since then the replica has been given no lease, by this leader or a former one. */
    long grantedAt(int replica) {
        return grantedAt[replica];
    }

    /** When a quorum of the voters was last known to be in this leader's term, on its clock. */
    long lastQuorumContact(long now, Voter self, VoterSet voters) {
        long[] contacts =
                voters.all().stream()
                        .mapToLong(voter -> voter.equals(self) ? now : lastContact(now, voter))
                        .sorted()
                        .toArray();
        return contacts.length == 0 ? now - FOREVER : contacts[(contacts.length - 1) / 2];
    }

    private long lastContact(long now, Voter voter) {
        int replica = voter.replica();
        boolean current = incarnations[replica] == voter.incarnation();
        return current ? lastGrantAt[replica] : now - FOREVER;
    }

    /** Whether a replica has reported in its last few intervals. */
    boolean hasReportedLately(int replica, long now) {
        return reportedAt[replica] >= now - MAX_SILENT_REPORTS * interval;
    }

    /** The largest table that a replica has room for; null where it has not said. */
    RouteTableCapacity capacity(int replica) {
        return capacities[replica];
    }

    /** The highest number of a table that any replica has applied. */
    long highestTable() {
        return highestTable;
    }
}
