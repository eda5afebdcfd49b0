package cedarrudder.coordination;

import cedarrudder.consensus.Voter;
import cedarrudder.consensus.VoterSet;
import cedarrudder.footprint.RouteTableCapacity;
import java.util.Arrays;

/**
 * What the copy that leads knows of the copies that report to it, and when a majority was with it.
 */
final class ReportCollector {

    /**
     * One copy is answered so often a period at the most. Guards against work without end for a
     * flood.
     */
    private static final int MOST_ANSWERS = 8;

    private final long[] lives;
    private final long[] numbers;
    private final long[] withUs;
    private final long[] heardAt;
    private final long[] grantedAt;
    private final long[] answeredAt;
    private final RouteTableCapacity[] rooms;
    private long highest;

    ReportCollector(int copies, long now) {
        lives = new long[copies];
        numbers = new long[copies];
        withUs = new long[copies];
        heardAt = new long[copies];
        grantedAt = new long[copies];
        answeredAt = new long[copies];
        rooms = new RouteTableCapacity[copies];
        begin(now);
    }

    /** This copy leads from here on: what it knew before is of another term. */
    void begin(long now) {
        long never = now - Long.MAX_VALUE / 4;
        Arrays.fill(lives, 0);
        Arrays.fill(numbers, 0);
        Arrays.fill(withUs, never);
        Arrays.fill(heardAt, never);
        Arrays.fill(grantedAt, now);
        Arrays.fill(answeredAt, never);
        Arrays.fill(rooms, null);
        highest = 0;
    }

    /** Takes a report; false where it is an old one. */
    boolean took(long now, int from, long life, ReportMessage.Report report, boolean inOurTerm) {
        if (life < lives[from] || life == lives[from] && report.number() <= numbers[from]) {
            return false;
        }
        if (life > lives[from]) {
            withUs[from] = now - Long.MAX_VALUE / 4;
        }
        lives[from] = life;
        numbers[from] = report.number();
        heardAt[from] = now;
        rooms[from] = report.room();
        highest = Math.max(highest, report.highest());
        if (inOurTerm && report.heardAt() != ReportMessage.NEVER && report.heardAt() <= now) {
            withUs[from] = Math.max(withUs[from], report.heardAt());
        }
        return true;
    }

    /** Whether one that asks gets an answer now. */
    boolean answers(long now, int to, long period) {
        if (now - answeredAt[to] < period / MOST_ANSWERS) {
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
    long grantedAt(int copy) {
        return grantedAt[copy];
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
                                                : lives[voter.copy()] == voter.life()
                                                        ? withUs[voter.copy()]
                                                        : now - Long.MAX_VALUE / 4)
                        .sorted()
                        .toArray();
        return all.length == 0 ? now - Long.MAX_VALUE / 4 : all[(all.length - 1) / 2];
    }

    /** Whether one has reported since then. */
    boolean heardSince(int copy, long instant) {
        return heardAt[copy] >= instant;
    }

    /** The room of a copy; null where it has not said. */
    RouteTableCapacity room(int copy) {
        return rooms[copy];
    }

    /** The highest number of a table that any copy has had. */
    long highest() {
        return highest;
    }
}
