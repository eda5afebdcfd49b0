package cedarrudder.draining;

import java.util.List;

/**
 * The constraints on draining the nodes that a policy selects. Where several policies select one
 * node, the strictest of each bound applies.
 *
 * @param name the unique name of the policy
 * @param selector the nodes that the policy applies to
 * @param maxPerPod how many of them may be unavailable at once in each pod
 * @param maxPerZone how many of them may be unavailable at once in each zone
 * @param maxPerTier how many of them may be unavailable at once in the tier
 * @param minAvailable what must remain available
 * @param order the order in which the nodes are drained
 * @param maxWaveSize the maximum number of nodes in one wave
 * @param minWaveInterval the minimum time between the end of a wave and the next one, in
 *     nanoseconds
 * @param maxFailedNodes how many nodes may have failed, besides drained ones, before waves pause
 * @param pauseIf the condition that pauses waves while it holds; empty: never
 * @param resumeIf the condition that ends a pause; empty: the pause ends with its cause
 * @param giveBackIf the condition under which nodes being drained serve again and wait for another
 *     wave; empty: never
 * @param deadlineNanos how long the drain of a node may take, in nanoseconds
 * @param onDeadline what happens to a node whose drain takes longer
 * @param onRestart what happens to a node that has restarted under its id
 * @param closedWindows the times at which no wave begins
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

    /** The maximum number of nodes with a drain. */
    public static final int MAX_NODES = 4_096;

    /** The maximum number of policies in force. */
    public static final int MAX_POLICIES = 32;

    /** The maximum length of a name or a condition, in characters. */
    public static final int MAX_TEXT = 512;

    /** The maximum number of closed windows of one policy. */
    public static final int MAX_WINDOWS = 32;

    public static final int MINUTES_PER_WEEK = 7 * 24 * 60;

    /** The longest wave interval or deadline, in nanoseconds: one day. */
    public static final long MAX_DURATION_NANOS = 86_400_000_000_000L;

    /** The shortest deadline of a node's drain, in nanoseconds. */
    public static final long MIN_DEADLINE_NANOS = 1_000_000_000L;

    /** Selects nodes of every pod. */
    public static final int ANY_POD = -1;

    /** The order in which nodes are drained. */
    public enum DrainOrder {
        /** In the order of the requests. */
        AS_ASKED,
        /** One pod after another; no wave spans two pods. */
        POD_BY_POD,
        /** One zone after another; no wave spans two zones. */
        ZONE_BY_ZONE,
        /** The lowest weight first. */
        LIGHT_FIRST,
        /** The highest weight first. */
        HEAVY_FIRST
    }

    /** What happens to a node that has requests in flight at its deadline. */
    public enum OnDeadline {
        /** The node counts as drained, and its requests in flight continue. */
        LET_GO,
        /** The node serves again, and its drain ends. */
        GIVE_BACK,
        /** The drain waits on, and a log line reports that it is overdue. */
        KEEP_WAITING
    }

    /** What happens to a node that restarts under its id while it is being drained, or after. */
    public enum OnRestart {
        /** The node serves again, and its drain ends. */
        BACK,
        /** The node stays out of service. */
        OUT
    }

    /**
     * The nodes that a policy applies to: those that match all of its properties.
     *
     * @param tier the name of the tier; empty: any
     * @param zone the name of the zone; empty: any
     * @param pod the pod; {@link #ANY_POD}: any
     * @param kind the name of the kind; empty: any
     * @param min the lowest weight
     * @param max the highest weight
     * @param where a condition on the node; empty: none
     */
    public record NodeSelector(
            String tier, String zone, int pod, String kind, double min, double max, String where) {
        /** Selects every node. */
        public static final NodeSelector ALL =
                new NodeSelector("", "", ANY_POD, "", 0, Double.MAX_VALUE, "");

        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
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

        /** Returns whether a node matches, apart from the condition {@code where}. */
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
     * How many nodes may be unavailable at once.
     *
     * @param nodes the maximum number
     * @param share the maximum fraction of the listed nodes, from 0 to 1
     */
    public record MaxUnavailable(int nodes, double share) {
        /** No bound. */
        public static final MaxUnavailable ANY = new MaxUnavailable(MAX_NODES, 1);

        /** Keeps a rounding error from reducing a fraction of whole nodes, such as 0.1 of 10. */
        private static final double ROUNDING = 1e-9;

        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
         */
        public MaxUnavailable {
            check(nodes >= 0 && nodes <= MAX_NODES, "nodes", nodes, "0 to " + MAX_NODES);
            check(share >= 0 && share <= 1, "share", share, "0 to 1");
        }

        /** Returns how many of the listed nodes may be unavailable. */
        public int maxOf(int listed) {
            return Math.min(nodes, (int) Math.floor(share * listed + ROUNDING));
        }
    }

    /**
     * What must remain available of the nodes that a policy applies to.
     *
     * @param pod the minimum number of nodes in each pod
     * @param zone the minimum number of nodes in each zone
     * @param tier the minimum number of nodes in the tier
     * @param weight the minimum fraction of the tier's weight, from 0 to 1
     */
    public record MinAvailable(int pod, int zone, int tier, double weight) {
        /** No bound. */
        public static final MinAvailable NOTHING = new MinAvailable(0, 0, 0, 0);

        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
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
     * @param days one bit for each day, the lowest for Monday
     * @param from the minute of the day at which the window begins
     * @param to the minute of the day at which it ends; at or before {@code from}: on the next day
     */
    public record Window(int days, int from, int to) {
        private static final int MINUTES_PER_DAY = 24 * 60;
        private static final long MILLIS_PER_MINUTE = 60_000;

        /** 1970 began on a Thursday; Monday is 0. */
        private static final int EPOCH_DAY_OF_WEEK = 3;

        /**
         * Checks the ranges; throws an IllegalArgumentException that names a value out of range.
         */
        public Window {
            check(days > 0 && days < 1 << 7, "days", days, "some of seven");
            check(
                    from >= 0 && from < MINUTES_PER_DAY && to >= 0 && to <= MINUTES_PER_DAY,
                    "window",
                    from + " to " + to,
                    "minutes of a day");
        }

        /** Returns whether a minute of the week is in the window; Monday's first minute is 0. */
        public boolean contains(int minute) {
            int day = minute / MINUTES_PER_DAY;
            int at = minute % MINUTES_PER_DAY;
            boolean today = (days >> day & 1) != 0;
            boolean yesterday = (days >> (day + 6) % 7 & 1) != 0;
            return from < to
                    ? today && at >= from && at < to
                    : today && at >= from || yesterday && at < to;
        }

        /** Returns the minute of the week of a time in milliseconds since 1970, UTC. */
        public static int minute(long utcMillis) {
            return (int)
                    Math.floorMod(
                            Math.floorDiv(utcMillis, MILLIS_PER_MINUTE)
                                    + EPOCH_DAY_OF_WEEK * MINUTES_PER_DAY,
                            (long) MINUTES_PER_WEEK);
        }
    }

    /** Checks the components; throws an IllegalArgumentException that names an invalid one. */
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

    /** Returns whether no wave may begin in a minute of the week. */
    public boolean isClosedAt(int minute) {
        return closedWindows.stream().anyMatch(window -> window.contains(minute));
    }

    static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
