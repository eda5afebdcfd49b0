package cedarrudder.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which rejections of a loop are logged: the first, and then one a minute with the number
 * of those left out. A loop causes a rejection in each round and would otherwise fill the log.
 */
final class LoopReporter {

    /** The maximum number of loops that are tracked; more at a time must be forged. */
    static final int MAX_LOOPS = 64;

    private static final long MINUTE_NANOS = 60_000_000_000L;

    private static final class LoopEntry {
        long loggedAt;
        long suppressed;
    }

    private final Map<HopPath, LoopEntry> loops = new LinkedHashMap<>();

    /**
     * Records a rejection. Returns how many rejections of this loop were left out since the last
     * that was logged; -1 if this one is left out too.
     */
    long suppressedIfDue(long now, HopPath loop) {
        LoopEntry entry = loops.get(loop);
        if (entry == null) {
            if (loops.size() >= MAX_LOOPS) {
                loops.values().removeIf(each -> now - each.loggedAt >= MINUTE_NANOS);
            }
            if (loops.size() >= MAX_LOOPS) {
                return -1;
            }
            entry = new LoopEntry();
            loops.put(loop, entry);
        } else if (now - entry.loggedAt < MINUTE_NANOS) {
            entry.suppressed++;
            return -1;
        }
        long suppressedCount = entry.suppressed;
        entry.loggedAt = now;
        entry.suppressed = 0;
        return suppressedCount;
    }
}
