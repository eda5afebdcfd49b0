package cedarrudder.coordination;

/**
 * The settings for how often replicas report and plan, and how long a table may be used without a
 * leader. Times are in nanoseconds.
 *
 * @param period the interval between two plans of the leader, and between two reports of each
 *     replica; at least 10 ms
 * @param lease how long a replica may use its table without contact to a leader that has a quorum;
 *     at least four periods
 */
public record CoordinationSettings(long period, long lease) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long MIN_PERIOD = 10 * MILLISECOND;

    /** The settings that apply where nothing else is configured. */
    public static final CoordinationSettings DEFAULT =
            new CoordinationSettings(500 * MILLISECOND, 10_000 * MILLISECOND);

    /**
     * The inverse of the maximum clock drift: the clocks of two replicas drift apart by at most one
     * part in this many.
     */
    public static final int DRIFT = 1_000;

    /**
     * The report interval per replica of the tier. All reports go to one replica, so the interval
     * grows with the tier, which bounds what a leader receives.
     */
    private static final long INTERVAL_PER_REPLICA = 5 * MILLISECOND;

    private static final int MIN_REPORTS_PER_LEASE = 4;

    /**
     * Checks the ranges above.
     *
     * @throws IllegalArgumentException if a value is outside its range; the message names the value
     */
    public CoordinationSettings {
        check(period >= MIN_PERIOD, "period", period, "10 ms or more");
        check(lease >= MIN_REPORTS_PER_LEASE * period, "lease", lease, "4 periods or more");
    }

    /** Returns the interval between two reports of one replica in a tier of the given size. */
    public long reportInterval(int replicas) {
        return Math.max(period, INTERVAL_PER_REPLICA * replicas);
    }

    /**
     * Returns the shortest lease with which the replicas of a tier of the given size can keep using
     * a table.
     */
    public long minLease(int replicas) {
        return MIN_REPORTS_PER_LEASE * reportInterval(replicas);
    }

    /**
     * Checks that the lease is long enough for a tier of the given size.
     *
     * @throws IllegalArgumentException if the lease is too short
     */
    void checkLease(int replicas) {
        check(
                lease >= minLease(replicas),
                "lease",
                lease + " ns with " + replicas + " replicas",
                minLease(replicas) + " ns or more");
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
