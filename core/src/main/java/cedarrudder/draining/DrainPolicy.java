package cedarrudder.draining;

import java.util.List;

/**
 * What must hold while nodes leave. Where several are for one node, the strictest of each bound
 * holds.
 *
 * @param name one name, one policy
 * @param selector the nodes that it is for
 * @param maxPerPod how many of them may be out at once in each pod
 * @param maxPerZone and in each zone
 * @param maxPerTier and in the tier
 * @param minAvailable what must be left
 * @param order the order in which they go
 * @param maxWaveSize how many go in one wave at most
 * @param minWaveInterval nanoseconds between the end of a wave and the next
 * @param maxFailedNodes this many of them may fail, beside those taken out, before no further wave
 *     begins
 * @param pauseIf while it holds no wave begins; empty: never
 * @param resumeIf after a pause waves begin once it holds; empty: once the reason of the pause is
 *     over
 * @param giveBackIf where it holds, what leaves is given back, and waits again; empty: never
 * @param deadlineNanos how long a node may take, in nanoseconds
 * @param onDeadline what happens to a node that takes longer
 * @param onRestart what happens to one that has restarted under its id
 * @param closedWindows when no wave begins
 */
public record DrainPolicy(
        String name,
        NodeSelector selector,
        MaxUnavailable maxPerPod,
        MaxUnavailable maxPerZone,
        MaxUnavailable maxPerTier,
        MinAvailable minAvailable,
        DrainOrder order,
        int maxWaveSize,
        long minWaveInterval,
        int maxFailedNodes,
        String pauseIf,
        String resumeIf,
        String giveBackIf,
        long deadlineNanos,
        OnDeadline onDeadline,
        OnRestart onRestart,
        List<Window> closedWindows) {

    /** Nodes in all that drains may be open for. */
    public static final int MAX_NODES = 4_096;

    /** Policies that count at once. */
    public static final int MAX_POLICIES = 32;

    public static final int MAX_TEXT = 512;
    public static final int MAX_WINDOWS = 32;
    public static final int MINUTES_PER_WEEK = 7 * 24 * 60;

    /** The longest time, in nanoseconds: a day. */
    public static final long MAX_DURATION_NANOS = 86_400_000_000_000L;

    /** The shortest time for a node, in nanoseconds. */
    public static final long MIN_DEADLINE_NANOS = 1_000_000_000L;

    /** Any pod. */
    public static final int ANY_POD = -1;

    /** The order in which nodes go. */
    public enum DrainOrder {
        /** As they were asked for. */
        AS_ASKED,
        /** One pod after another, and no wave is of two. */
        POD_BY_POD,
        /** One zone after another, and no wave is of two. */
        ZONE_BY_ZONE,
        /** The least weight first. */
        LIGHT_FIRST,
        /** The largest weight first. */
        HEAVY_FIRST
    }

    /** What happens to a node whose time is up while calls are there. */
    public enum OnDeadline {
        /** It counts as drained, and calls that are there run on. */
        LET_GO,
        /** It serves again, and its drain is over. */
        GIVE_BACK,
        /** It is waited for, and the log says so. */
        KEEP_WAITING
    }

    /** What happens to a node that leaves, or is out, and has restarted under its id. */
    public enum OnRestart {
        /** It serves again, and its drain is over. */
        BACK,
        /** It stays out. */
        OUT
    }

    /**
     * Whom a policy is for.
     *
     * @param tier empty: any; so with zone, kind and where
     * @param pod {@link #ANY_POD}: any
     * @param where a condition
     */
    public record NodeSelector(
            String tier, String zone, int pod, String kind, double min, double max, String where) {
        /** Every node. */
        public static final NodeSelector ALL =
                new NodeSelector("", "", ANY_POD, "", 0, Double.MAX_VALUE, "");

        /**
         * Checks the ranges above; what lies outside is an IllegalArgumentException that names it.
         */
        public NodeSelector {
            check(
                    tier != null
                            && zone != null
                            && kind != null
                            && where != null
                            && where.length() <= MAX_TEXT
                            && tier.length() <= MAX_TEXT
                            && zone.length() <= MAX_TEXT
                            && kind.length() <= MAX_TEXT,
                    "whom",
                    "a longer text",
                    "up to " + MAX_TEXT + " characters");
            check(pod >= ANY_POD, "pod", pod, "0 or more");
            check(
                    min >= 0 && max >= min,
                    "weight",
                    min + " to " + max,
                    "0 or more, the lower first");
        }

        /** Whether it can be for a node; the condition is not asked. */
        boolean matches(DrainableNode node) {
            return (tier.isEmpty() || tier.equals(node.tier()))
                    && (zone.isEmpty() || zone.equals(node.zone()))
                    && (pod == ANY_POD || pod == node.pod())
                    && (kind.isEmpty() || kind.equals(node.kind()))
                    && node.weight() >= min
                    && node.weight() <= max;
        }
    }

    /**
     * How many may be out at once: no more than the number, and no more than the share of those
     * listed.
     */
    public record MaxUnavailable(int nodes, double share) {
        /** No bound. */
        public static final MaxUnavailable ANY = new MaxUnavailable(MAX_NODES, 1);

        /** A share of whole nodes such as 0.1 of 10 is not to fail for a rounding. */
        private static final double ROUNDING = 1e-9;

        /**
         * Checks the ranges above; what lies outside is an IllegalArgumentException that names it.
         */
        public MaxUnavailable {
            check(nodes >= 0 && nodes <= MAX_NODES, "nodes", nodes, "0 to " + MAX_NODES);
            check(share >= 0 && share <= 1, "share", share, "0 to 1");
        }

        /** How many of this many. */
        public int maxOf(int listed) {
            return Math.min(nodes, (int) Math.floor(share * listed + ROUNDING));
        }
    }

    /**
     * What must be left serving of the nodes that a policy is for.
     *
     * @param pod nodes in each pod; so with zone and tier
     * @param weight of the tier's weight, as a part
     */
    public record MinAvailable(int pod, int zone, int tier, double weight) {
        /** Nothing. */
        public static final MinAvailable NOTHING = new MinAvailable(0, 0, 0, 0);

        /**
         * Checks the ranges above; what lies outside is an IllegalArgumentException that names it.
         */
        public MinAvailable {
            check(
                    pod >= 0 && zone >= 0 && tier >= 0,
                    "left",
                    pod + ", " + zone + ", " + tier,
                    "0 or more");
            check(weight >= 0 && weight <= 1, "left.weight", weight, "0 to 1");
        }
    }

    /**
     * A time of the week, in UTC, in which no wave begins.
     *
     * @param days a bit for each day, the lowest for Monday
     * @param from minute of the day in which it begins
     * @param to and in which it is over; at or before {@code from}: on the next day
     */
    public record Window(int days, int from, int to) {
        private static final int MINUTES_PER_DAY = 24 * 60;
        private static final long MILLIS_PER_MINUTE = 60_000;

        /** 1970 began on a Thursday. */
        private static final int EPOCH_DAY_OF_WEEK = 3;

        /**
         * Checks the ranges above; what lies outside is an IllegalArgumentException that names it.
         */
        public Window {
            check(days > 0 && days < 1 << 7, "days", days, "some of seven");
            check(
                    from >= 0 && from < MINUTES_PER_DAY && to >= 0 && to <= MINUTES_PER_DAY,
                    "window",
                    from + " to " + to,
                    "minutes of a day");
        }

        /** Whether a minute of the week is in it; Monday's first is 0. */
        public boolean contains(int minute) {
            int day = minute / MINUTES_PER_DAY;
            int at = minute % MINUTES_PER_DAY;
            boolean today = (days >> day & 1) != 0;
            boolean yesterday = (days >> (day + 6) % 7 & 1) != 0;
            return from < to
                    ? today && at >= from && at < to
                    : today && at >= from || yesterday && at < to;
        }

        /** The minute of the week of a time in milliseconds since 1970, UTC. */
        public static int minute(long utcMillis) {
            return (int) Math.floorMod(Math.floorDiv(utcMillis, MILLIS_PER_MINUTE) + EPOCH_DAY_OF_WEEK * MINUTES_PER_DAY, (long) MINUTES_PER_WEEK);
        }
    }

    /**
     * Checks all that is said above; what is wrong is an IllegalArgumentException that names it.
     */
    public DrainPolicy {
        check(name != null && !name.isEmpty() && name.length() <= MAX_TEXT, "name", name, "a text");
        boolean complete =
                selector != null
                        && maxPerPod != null
                        && maxPerZone != null
                        && maxPerTier != null
                        && minAvailable != null
                        && order != null
                        && onDeadline != null
                        && onRestart != null;
        check(complete, "policy", "nothing", "all of it");
        checkRange("wave", maxWaveSize, 1, MAX_NODES);
        checkRange("pace", minWaveInterval, 0, MAX_DURATION_NANOS);
        checkRange("died", maxFailedNodes, 0, MAX_NODES);
        checkRange("time", deadlineNanos, MIN_DEADLINE_NANOS, MAX_DURATION_NANOS);
        checkLength(pauseIf);
        checkLength(resumeIf);
        checkLength(giveBackIf);
        check(
                closedWindows.size() <= MAX_WINDOWS,
                "closed",
                closedWindows.size() + " windows",
                "up to " + MAX_WINDOWS);
        closedWindows = List.copyOf(closedWindows);
    }

    private static void checkRange(String name, long value, long min, long max) {
        check(value >= min && value <= max, name, value, min + " to " + max);
    }

    private static void checkLength(String condition) {
        check(
                condition.length() <= MAX_TEXT,
                "condition",
                condition.length() + " characters",
                "up to " + MAX_TEXT);
    }

    /** Whether no wave may begin in a minute of the week. */
    public boolean isClosedAt(int minute) {
        return closedWindows.stream().anyMatch(window -> window.contains(minute));
    }

    static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
