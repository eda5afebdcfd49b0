package cedarrudder.failover;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The times of recent changes of one zone's row in the table, which bound how often it may change.
 */
final class MoveHistory {

    /**
     * A minute, plus the maximum difference between the times that two tables take to reach two
     * replicas.
     */
    private static final long WINDOW_NANOS = 63_000_000_000L;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Deque<Long> times = new ArrayDeque<>();
    private long lastMoveAt = NEVER;

    /** Counts moves that may have happened before this replica started. */
    void assume(int moves, long now) {
        for (int i = 0; i < moves; i++) {
            times.add(now);
        }
    }

    /** Records a change of the zone's row. */
    void add(long now) {
        times.add(now);
        lastMoveAt = now;
    }

    /** Returns the number of moves in the last minute. */
    int count(long now) {
        while (!times.isEmpty() && now - times.peek() > WINDOW_NANOS) {
            times.remove();
        }
        return times.size();
    }

    /** Returns when the row last changed; a time long ago if it never did. */
    long lastMoveAt() {
        return lastMoveAt;
    }
}
