package cedarrudder.failover;

import java.util.ArrayDeque;
import java.util.Deque;

/** When one zone's row of the table changed lately: what bounds how often it may change. */
final class MoveHistory {

    /** A minute, and what one table may take longer to one replica than another to another. */
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

    /** The zone's row changed. */
    void add(long now) {
        times.add(now);
        lastMoveAt = now;
    }

    /** How many moves the last minute had. */
    int count(long now) {
        while (!times.isEmpty() && now - times.peek() > WINDOW_NANOS) {
            times.remove();
        }
        return times.size();
    }

    /** When the row last changed; long ago where it never did. */
    long lastMoveAt() {
        return lastMoveAt;
    }
}
