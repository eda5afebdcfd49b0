package cedarrudder.coordination;

import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.Arrays;

/** The leader's record of the replicas that report to it. */
final class ReportCollector {

    /**
     * The maximum number of answers to one replica per report interval. This bounds the work that a
     * flood of reports can cause.
     */
    private static final int MAX_ANSWERS = 8;

    /**
     * The number of report intervals without a report after which a replica no longer counts as
     * reporting.
     */
    private static final int MAX_SILENT_REPORTS = 4;

    /**
     * A duration so long that the instant before it precedes every real instant, at whatever value
     * the clock starts.
     */
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
     * Creates a record without any reports.
     *
     * @param interval the interval between two reports of one replica, in nanoseconds
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
     * Clears the record at the start of a leader's term. Leases that a former leader granted count
     * from now at the latest.
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
     * Records a report.
     *
     * @param inTerm whether the sender is in this leader's group and term
     * @return false if the report is outdated and therefore ignored
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
        long echoedGrantAt = report.lastGrantAt();
        if (inTerm && echoedGrantAt != ReportMessage.NEVER && echoedGrantAt <= now) {
            lastGrantAt[from] = Math.max(lastGrantAt[from], echoedGrantAt);
        }
        return true;
    }

    private boolean isOutdated(int from, long incarnation, long reportNumber) {
        return incarnation < incarnations[from]
                || incarnation == incarnations[from] && reportNumber <= reportNumbers[from];
    }

    /** Returns whether a replica that wants a grant gets an answer now, and counts that answer. */
    boolean mayAnswer(long now, int to) {
        if (now - answeredAt[to] < interval / MAX_ANSWERS) {
            return false;
        }
        answeredAt[to] = now;
        return true;
    }

    /** Returns the highest number of a report of a replica's latest incarnation. */
    long lastNumber(int from) {
        return reportNumbers[from];
    }

    /** Records that a replica is granted a lease. */
    void onGranted(long now, int to) {
        grantedAt[to] = now;
    }

    /**
     * Returns the instant after which no lease was granted to a replica, by this leader or a former
     * one.
     */
    long grantedAt(int replica) {
        return grantedAt[replica];
    }

    /**
     * Returns when a quorum of the voters was last known to be in this leader's term, on the
     * leader's clock.
     */
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
        boolean sameIncarnation = incarnations[replica] == voter.incarnation();
        return sameIncarnation ? lastGrantAt[replica] : now - FOREVER;
    }

    /**
     * Returns whether a replica has reported within the last {@value #MAX_SILENT_REPORTS}
     * intervals.
     */
    boolean hasReportedLately(int replica, long now) {
        return reportedAt[replica] >= now - MAX_SILENT_REPORTS * interval;
    }

    /**
     * Returns the largest table that a replica has memory for; null if it has not reported that.
     */
    RouteTableCapacity capacity(int replica) {
        return capacities[replica];
    }

    /** Returns the highest number of a table that any replica has applied. */
    long highestTable() {
        return highestTable;
    }
}
