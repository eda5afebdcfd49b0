package cedarrudder.coordination;

/**
 * The figures of what replicas decide together. Times are nanoseconds.
 *
 * @param period between two plans of the replica that leads, and between two reports of each
 *     replica; at least 10 ms
 * @param lease how long a replica that hears nothing more of a leader with a majority goes on with
 *     its table; at least four reports
 */
public record CoordinationSettings(long period, long lease) {

    private static final long MILLI = 1_000_000L;

    /** What serves where nothing else is said. */
    public static final CoordinationSettings DEFAULT =
            new CoordinationSettings(500 * MILLI, 10_000 * MILLI);

    /**
     * Clocks of two replicas differ by no more than one part in this many, in the time that passes
     * on them.
     */
    public static final int DRIFT = 1_000;

    /**
     * All reports come to one replica: each replica has so long between two of its own, for each
     * replica there is. This avoids a leader that hears more the larger the tier is.
     */
    private static final long APART = 5 * MILLI;

    private static final int MIN_REPORTS = 4;

    /** Checks the ranges above; what lies outside is an IllegalArgumentException that names it. */
    public CoordinationSettings {
        check(period >= 10 * MILLI, "period", period, "10 ms or more");
        check(lease >= MIN_REPORTS * period, "lease", lease, "4 periods or more");
    }

    /** Between two reports of one of this many replicas. */
    public long reports(int replicas) {
        return Math.max(period, APART * replicas);
    }

    /** The shortest lease with which this many replicas can keep a table. */
    public long minLease(int replicas) {
        return MIN_REPORTS * reports(replicas);
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
