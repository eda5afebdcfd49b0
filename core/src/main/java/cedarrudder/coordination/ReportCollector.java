package cedarrudder.coordination;

import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.Arrays;

/**
 * What the replica that leads knows of the replicas that report to it, and when a majority was with
 * it.
 */
final class ReportCollector {

    /**
     * One replica is answered so often a period at most. This avoids work without end for a flood.
     */
    private static final int MAX_ANSWERS = 8;

    private final long[] incarnations;
    private final long[] numbers;
    private final long[] quorumWith;
    private final long[] heardAt;
    private final long[] grantedAt;
    private final long[] answeredAt;
    private final RouteTableCapacity[] capacities;
    private long highest;

    ReportCollector(int replicas, long now) {
        incarnations = new long[replicas];
        numbers = new long[replicas];
        quorumWith = new long[replicas];
        heardAt = new long[replicas];
        grantedAt = new long[replicas];
        answeredAt = new long[replicas];
        capacities = new RouteTableCapacity[replicas];
        begin(now);
    }

    /** This replica leads from here on: what it knew before is of another term. */
    void begin(long now) {
        long never = now - Long.MAX_VALUE / 4;
        Arrays.fill(incarnations, 0);
        Arrays.fill(numbers, 0);
        Arrays.fill(quorumWith, never);
        Arrays.fill(heardAt, never);
        Arrays.fill(grantedAt, now);
        Arrays.fill(answeredAt, never);
        Arrays.fill(capacities, null);
        highest = 0;
    }

    /** Takes a report; false where it is an old one. */
    boolean onReport(
            long now, int from, long incarnation, ReportMessage.Report report, boolean inOurTerm) {
        if (incarnation < incarnations[from]
                || incarnation == incarnations[from] && report.number() <= numbers[from]) {
            return false;
        }
        if (incarnation > incarnations[from]) {
            quorumWith[from] = now - Long.MAX_VALUE / 4;
        }
        incarnations[from] = incarnation;
        numbers[from] = report.number();
        heardAt[from] = now;
        capacities[from] = report.room();
        highest = Math.max(highest, report.highest());
        if (inOurTerm && report.heardAt() != ReportMessage.NEVER && report.heardAt() <= now) {
            quorumWith[from] = Math.max(quorumWith[from], report.heardAt());
        }
        return true;
    }

    /** Whether one that asks gets an answer now. */
    boolean answers(long now, int to, long period) {
        if (now - answeredAt[to] < period / MAX_ANSWERS) {
            return false;
        }
        answeredAt[to] = now;
        return true;
    }

    /** The highest number of a report of the life that was heard of last. */
    long last(int from) {
        return numbers[from];
    }

    /** It was told that its table holds. */
    void granted(long now, int to) {
        grantedAt[to] = now;
    }

    /** After that it can have no lease that it got here or of a leader before. */
    long grantedAt(int replica) {
        return grantedAt[replica];
    }

    /**
     * When a majority of the voters was last known to be in the term of this one, on this one's
     * clock.
     */
    long majorityAt(long now, Voter self, VoterSet voters) {
        long[] all =
                voters.all().stream()
                        .mapToLong(
                                voter ->
                                        voter.equals(self)
                                                ? now
                                                : incarnations[voter.replica()]
                                                                == voter.incarnation()
                                                        ? quorumWith[voter.replica()]
                                                        : now - Long.MAX_VALUE / 4)
                        .sorted()
                        .toArray();
        return all.length == 0 ? now - Long.MAX_VALUE / 4 : all[(all.length - 1) / 2];
    }

    /** Whether one has reported since then. */
    boolean heardSince(int replica, long instant) {
        return heardAt[replica] >= instant;
    }

    /** The room of a replica; null where it has not said. */
    RouteTableCapacity capacity(int replica) {
        return capacities[replica];
    }

    /** The highest number of a table that any replica has had. */
    long highest() {
        return highest;
    }
}
