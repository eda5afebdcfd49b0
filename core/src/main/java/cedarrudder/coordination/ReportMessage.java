package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.List;

/**
 * The messages between replicas other than those of the log: each replica reports to the leader,
 * and the leader grants leases in its answers. {@link ReportCodec} encodes them as datagrams.
 */
sealed interface ReportMessage {

    /**
     * The value for an instant that does not exist. Clocks may show 0 and negative values, so
     * neither of these is used.
     */
    long NEVER = Long.MIN_VALUE;

    /** The value for the age of the leader's quorum contact if the leader knows of none. */
    long UNKNOWN_AGE = -1;

    /** The size of the kind and the length that precede a part's bytes, in bytes. */
    int PART_HEADER_BYTES = 2;

    /** The recipient of a part of a report; encoded as its ordinal. */
    enum ReportKind {
        /** For {@link TrafficCoordination}. */
        TRAFFIC,
        /** For {@link DrainCoordination}. */
        DRAINING
    }

    /** A part of a report, whose bytes only its recipient reads. */
    record Part(ReportKind kind, byte[] bytes) {}

    /** A message with its sender and the sender's incarnation. */
    record Envelope(int sender, long incarnation, ReportMessage message) {}

    /**
     * A replica's report of its observations to the leader, which may also request a grant for its
     * table.
     *
     * @param wantsGrant whether the sender wants an answer; true in the first of several datagrams
     *     of one report
     * @param number the number of the report, which only rises within the sender's incarnation
     * @param term the sender's term
     * @param lastGrantAt the instant of the newest grant from the leader of that group and term, on
     *     that leader's clock; {@link #NEVER} before the first
     * @param table the number of the table that the sender has applied, or 0
     * @param highestTable the highest number of a table that the sender ever applied
     * @param capacity the largest table that the sender has memory for
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
     * The leader's answer to a report.
     *
     * @param incarnation the incarnation of the replica that reported
     * @param reportNumber the number of the report that is answered
     * @param grantedAt the instant of the answer, on the leader's clock; the next report repeats it
     * @param quorumAge how long before that instant a quorum was certainly in the leader's term, in
     *     nanoseconds; {@link #UNKNOWN_AGE} where the leader does not know
     * @param table the number of the agreed table, or 0
     * @param lastReportNumber the highest number of a report of that incarnation; the next report
     *     needs a higher one
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
