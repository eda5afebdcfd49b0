package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.List;

/**
 * What replicas tell one another beside the log: each reports to the leader, and the leader grants
 * leases in its answers. {@link ReportCodec} writes them as datagrams.
 */
sealed interface ReportMessage {

    /** In place of an instant where there is none: clocks may say 0, and less. */
    long NEVER = Long.MIN_VALUE;

    /** In place of the age of the leader's quorum where it knows of none. */
    long UNKNOWN_AGE = -1;

    /** What a part of a report takes beside its bytes: its kind and its length. */
    int PART_HEADER_BYTES = 2;

    /** Which side a part of a report concerns; written by its ordinal. */
    enum ReportKind {
        /** {@link TrafficCoordination}. */
        TRAFFIC,
        /** {@link DrainCoordination}. */
        DRAINING
    }

    /** A part of a report, whose bytes only its side reads. */
    record Part(ReportKind kind, byte[] bytes) {}

    /** A message with its sender and the sender's incarnation. */
    record Envelope(int sender, long incarnation, ReportMessage message) {}

    /**
     * A replica reports what it saw, and asks the leader whether its table still holds.
     *
     * @param wantsGrant whether it wants an answer: of several datagrams of one report, the first
     * @param number its own number, which only rises within the sender's incarnation
     * @param term in which the sender is
     * @param lastGrantAt the instant of the newest grant from the leader of that group and term, on
     *     that leader's clock; {@link #NEVER} before the first
     * @param table the number of the table that the sender has applied, or 0
     * @param highestTable the highest number of a table that it ever applied
     * @param capacity the largest table that it has room for
     */
    record Report(
            boolean wantsGrant,
            long number,
            VoterGroup group,
            long term,
            long lastGrantAt,
            long table,
            long highestTable,
            RouteTableCapacity capacity,
            List<Part> parts)
            implements ReportMessage {
        public Report {
            parts = List.copyOf(parts);
        }
    }

    /**
     * The leader's answer.
     *
     * @param incarnation that of the replica that reported
     * @param reportNumber the number of its report
     * @param grantedAt the instant of the answer, on the leader's clock; the next report repeats it
     * @param quorumAge how long before that instant a quorum was certainly in the leader's term, in
     *     nanoseconds; {@link #UNKNOWN_AGE} where the leader does not know
     * @param table the number of the agreed table, or 0
     * @param lastReportNumber the highest number of a report of that incarnation: the next must be
     *     higher
     */
    record Grant(
            long incarnation,
            long reportNumber,
            VoterGroup group,
            long term,
            long grantedAt,
            long quorumAge,
            long table,
            long lastReportNumber)
            implements ReportMessage {}
}
