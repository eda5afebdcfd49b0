package cedarrudder.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which refusals of a loop get a line in the log: the first, and one a minute with the count since
 * then. This avoids a loop, which brings a request each time round, filling the log.
 */
final class LoopReporter {

    /** This many loops are remembered; more at a time are no misconfiguration but forged. */
    static final int MAX = 64;

    private static final long MINUTE = 60_000_000_000L;

    private static final class Seen {
        long loggedAt;
        long since;
    }

    private final Map<HopPath, Seen> loops = new LinkedHashMap<>();

    /**
     * How many refusals of this loop were left out since the last line; -1 where this one is left
     * out too.
     */
    long due(long now, HopPath loop) {
        Seen seen = loops.get(loop);
        if (seen == null) {
            if (loops.size() >= MAX) {
                loops.values().removeIf(each -> now - each.loggedAt >= MINUTE);
            }
            if (loops.size() >= MAX) {
                return -1;
            }
            seen = new Seen();
            loops.put(loop, seen);
        } else if (now - seen.loggedAt < MINUTE) {
            seen.since++;
            return -1;
        }
        long more = seen.since;
        seen.loggedAt = now;
        seen.since = 0;
        return more;
    }
}
