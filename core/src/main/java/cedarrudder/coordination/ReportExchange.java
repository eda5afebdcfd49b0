package cedarrudder.coordination;

import cedarrudder.consensus.RaftNode;
import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The reports that each replica sends to the leader once per report interval, and the grants with
 * which the leader answers. A grant contains how long ago the leader certainly had a quorum; the
 * replica's lease counts from then.
 */
final class ReportExchange {

    /** The number of latest reports whose grants are still accepted. */
    private static final int OPEN_REPORTS = 32;

    /**
     * The number of low bits of a report's number that form a counter. The bits above contain the
     * time at which the process started, in milliseconds, so that a grant for a former process of
     * the same incarnation is not accepted as one for this process.
     */
    private static final int COUNTER_BITS = 20;

    private static final long MAX_START = (1L << 42) - 1;

    /** The maximum age of a quorum contact that a grant passes on, in leases. */
    private static final int MAX_QUORUM_AGE_LEASES = 2;

    private final ReplicaContext context;
    private final CoordinationSettings settings;
    private final TrafficCoordination trafficCoordination;
    private final DrainCoordination drainCoordination;
    private final ActiveTable activeTable;
    private final ReportCollector collector;
    private final Supplier<RouteTableCapacity> capacity;
    private final long interval;
    private final long[] sentAt = new long[OPEN_REPORTS];

    private long nextReportAt;
    private long lastReportNumber;
    private VoterGroup grantGroup = VoterGroup.NONE;
    private long grantTerm;
    private long lastGrantAt = ReportMessage.NEVER;

    ReportExchange(
            ReplicaParts parts, long interval, long incarnation, RandomGenerator random, long now) {
        this.context = parts.context();
        this.settings = parts.settings();
        this.trafficCoordination = parts.trafficCoordination();
        this.drainCoordination = parts.drainCoordination();
        this.activeTable = parts.activeTable();
        this.collector = parts.collector();
        this.capacity = parts.capacity();
        this.interval = interval;
        this.lastReportNumber = (incarnation & MAX_START) << COUNTER_BITS;
        this.nextReportAt = now + (long) (random.nextDouble() * interval);
    }

    /** Returns when the next report is due. */
    long nextReportAt() {
        return nextReportAt;
    }

    /**
     * Handles the start of this replica's leadership: it now receives all reports, its own
     * included.
     */
    void onElected(long now) {
        collector.reset(now);
        nextReportAt = now;
    }

    /** Returns when a quorum was last known to be in this leader's term, on the leader's clock. */
    long lastQuorumContact(long now) {
        RaftNode raft = context.raft();
        Voter self = new Voter(context.self(), raft.incarnation());
        return collector.lastQuorumContact(now, self, raft.voters());
    }

    /** Sends a report if it is due. */
    void tick(long now) {
        if (now < nextReportAt) {
            return;
        }
        nextReportAt = now + interval;
        if (!activeTable.fits()) {
            activeTable.checkCapacity(); // there may be enough memory by now
        }
        report(now);
    }

    // ---- the reporting replica ----

    private void report(long now) {
        List<ReportMessage.Part> parts = parts(now);
        if (context.raft().isLeader()) {
            parts.forEach(part -> context.deliver(context.self(), part));
            return;
        }
        int leader = context.raft().leader();
        if (leader < 0 || leader == context.self()) {
            return;
        }
        List<List<ReportMessage.Part>> messages = splitIntoMessages(parts);
        for (int i = 0; i < messages.size(); i++) {
            lastReportNumber++;
            sentAt[slot(lastReportNumber)] = now;
            context.send(leader, reportMessage(i == 0, messages.get(i)));
        }
    }

    private List<ReportMessage.Part> parts(long now) {
        List<ReportMessage.Part> parts = new ArrayList<>();
        for (byte[] bytes : trafficCoordination.reportParts(now)) {
            parts.add(new ReportMessage.Part(ReportMessage.ReportKind.TRAFFIC, bytes));
        }
        for (byte[] bytes : drainCoordination.reportParts(now)) {
            parts.add(new ReportMessage.Part(ReportMessage.ReportKind.DRAINING, bytes));
        }
        return parts;
    }

    /**
     * Distributes the parts over messages, as many to each as fit; returns at least one message.
     */
    private static List<List<ReportMessage.Part>> splitIntoMessages(
            List<ReportMessage.Part> parts) {
        List<List<ReportMessage.Part>> messages = new ArrayList<>();
        List<ReportMessage.Part> message = new ArrayList<>();
        messages.add(message);
        int size = 0;
        for (ReportMessage.Part part : parts) {
            if (part.bytes().length > CoordinatedReplica.MAX_PART_BYTES) {
                break; // over the limit of reportParts: this part and the rest do not fit
            }
            if (size + part.bytes().length > CoordinatedReplica.MAX_PART_BYTES) {
                message = new ArrayList<>();
                messages.add(message);
                size = 0;
            }
            message.add(part);
            size += ReportMessage.PART_HEADER_BYTES + part.bytes().length;
        }
        return messages;
    }

    private ReportMessage.Report reportMessage(boolean wantsGrant, List<ReportMessage.Part> parts) {
        RaftNode raft = context.raft();
        boolean inGrantTerm = grantGroup.equals(raft.group()) && grantTerm == raft.term();
        long agreedNumber = activeTable.agreedNumber();
        return new ReportMessage.Report(
                wantsGrant,
                lastReportNumber,
                raft.group(),
                raft.term(),
                inGrantTerm ? lastGrantAt : ReportMessage.NEVER,
                agreedNumber,
                Math.max(agreedNumber, activeTable.highestNumber()),
                capacity.get(),
                parts);
    }

    /** Handles a grant of the leader. */
    void onGrant(long now, ReportMessage.Grant grant) {
        if (!isAnswerToOpenReport(grant) || isOfFormerTerm(grant)) {
            return;
        }
        lastReportNumber = Math.max(lastReportNumber, grant.lastReportNumber());
        boolean firstOfTerm = !grant.group().equals(grantGroup) || grant.term() != grantTerm;
        lastGrantAt = firstOfTerm ? grant.grantedAt() : Math.max(lastGrantAt, grant.grantedAt());
        grantGroup = grant.group();
        grantTerm = grant.term();
        if (grant.quorumAge() >= 0) {
            activeTable.onQuorumContact(grant.group(), grant.table(), quorumContact(grant));
        } else if (firstOfTerm) {
            nextReportAt = now; // this replica still waits for a quorum contact of the leader
        }
    }

    private boolean isAnswerToOpenReport(ReportMessage.Grant grant) {
        return grant.incarnation() == context.raft().incarnation()
                && grant.reportNumber() <= lastReportNumber
                && grant.reportNumber() > lastReportNumber - OPEN_REPORTS;
    }

    /**
     * Returns whether a grant is of a former term. Late grants of a former leader must not restart
     * the exchange again and again.
     */
    private boolean isOfFormerTerm(ReportMessage.Grant grant) {
        int groupOrder = grant.group().compareTo(grantGroup);
        return groupOrder < 0 || groupOrder == 0 && grant.term() < grantTerm;
    }

    /**
     * Returns the instant of a grant's quorum contact on this replica's clock, less the maximum
     * drift between the two clocks.
     */
    private long quorumContact(ReportMessage.Grant grant) {
        long drift = 2 * grant.quorumAge() / CoordinationSettings.DRIFT;
        return sentAt[slot(grant.reportNumber())] - grant.quorumAge() - drift;
    }

    private static int slot(long reportNumber) {
        return (int) (reportNumber % OPEN_REPORTS);
    }

    // ---- the leader ----

    /** Handles a report, and answers it if its sender wants a grant. */
    void onReport(long now, int from, long incarnation, ReportMessage.Report report) {
        RaftNode raft = context.raft();
        if (!raft.isLeader()) {
            return;
        }
        boolean inTerm = report.group().equals(raft.group()) && report.term() == raft.term();
        boolean isNew = collector.onReport(now, from, incarnation, report, inTerm);
        if (isNew) {
            deliver(from, report.parts(), inTerm);
        }
        if (report.wantsGrant() && collector.mayAnswer(now, from)) {
            grant(now, from, incarnation, report.number(), isNew);
        }
    }

    /**
     * Delivers the parts of a report, except drain parts from another group or term, which are
     * dropped because their numbers mean something else there.
     */
    private void deliver(int from, List<ReportMessage.Part> parts, boolean inTerm) {
        for (ReportMessage.Part part : parts) {
            if (inTerm || part.kind() != ReportMessage.ReportKind.DRAINING) {
                context.deliver(from, part);
            }
        }
    }

    private void grant(long now, int to, long incarnation, long reportNumber, boolean isNew) {
        RaftNode raft = context.raft();
        long quorumAge = now - lastQuorumContact(now);
        long longestLease = Math.max(activeTable.longestLease(), settings.lease());
        boolean grantsLease =
                isNew
                        && context.hasCommittedInTerm()
                        && quorumAge < MAX_QUORUM_AGE_LEASES * longestLease;
        if (grantsLease) {
            collector.onGranted(now, to);
        }
        context.send(
                to,
                new ReportMessage.Grant(
                        incarnation,
                        reportNumber,
                        raft.group(),
                        raft.term(),
                        now,
                        grantsLease ? quorumAge : ReportMessage.UNKNOWN_AGE,
                        activeTable.agreedNumber(),
                        collector.lastNumber(to)));
    }
}
