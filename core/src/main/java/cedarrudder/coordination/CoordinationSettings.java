package cedarrudder.coordination;

/**
 * How often replicas report and plan, and how long a table may be used without a leader. Times are
 * nanoseconds.
 *
 * @param period between two plans of the leader, and between two reports of each replica; at least
 *     10 ms
 * @param lease how long a replica goes on with its table while it hears of no leader with a quorum;
 *     at least four periods
 */
public record CoordinationSettings(long period, long lease) {

    private static final long MILLISECOND = 1_000_000L;
    private static final long MIN_PERIOD = 10 * MILLISECOND;

    /** What applies where nothing else is configured. */
    public static final CoordinationSettings DEFAULT =
            new CoordinationSettings(500 * MILLISECOND, 10_000 * MILLISECOND);

    /**
     * The clocks of two replicas drift apart by at most one part in this many of the time that
     * passes on them.
     */
    public static final int DRIFT = 1_000;

    /**
     * All reports come to one replica, so the interval grows by this for each replica of the tier.
     * This bounds what a leader receives in a large tier.
     */
    private static final long INTERVAL_PER_REPLICA = 5 * MILLISECOND;

    private static final int MIN_REPORTS_PER_LEASE = 4;

    /** Checks the ranges above; what lies outside is an IllegalArgumentException that names it. */
    public CoordinationSettings {
        check(period >= MIN_PERIOD, "period", period, "10 ms or more");
        check(lease >= MIN_REPORTS_PER_LEASE * period, "lease", lease, "4 periods or more");
    }

    /** The time between two reports of one of this many replicas. */
    public long reportInterval(int replicas) {
        return Math.max(period, INTERVAL_PER_REPLICA * replicas);
    }

    /** The shortest lease with which this many replicas can keep a table. */
    public long minLease(int replicas) {
        return MIN_REPORTS_PER_LEASE * reportInterval(replicas);
    }

    /**
     * Checks that the lease is long enough for this many replicas.
     *
     * @throws IllegalArgumentException if it is not
     */
    void checkLease(int replicas) {
        check(
                lease >= minLease(replicas),
                "lease",
                lease + " ns with " + replicas + " copies",
                minLease(replicas) + " ns or more");
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
