package cedarrudder.consensus;

/**
 * The latest contact to a leader that this replica knows of: an instant of its own clock at or
 * after which a majority answered a leader, all of whose commits until then this replica has
 * applied.
 *
 * <p>Replicas pass a contact on as an age. How long a datagram was in flight or lay unread is
 * unknown, so an age counts from the instant at which this replica asked for it, never from its
 * arrival.
 */
final class LeaderContact {

    static final long UNKNOWN = Long.MIN_VALUE;

    private static final long MILLI = 1_000_000L;

    private final SafetyRules rules;
    private long since = UNKNOWN;
    private long index;

    LeaderContact(SafetyRules rules) {
        this.rules = rules;
    }

    long since() {
        return since;
    }

    /** Resets the contact, because this replica has applied no commits of a newly joined group. */
    void reset() {
        since = UNKNOWN;
        index = 0;
    }

    /** Returns the index up to which that leader may have committed entries by then. */
    long index() {
        return index;
    }

    void onQuorum(long instant, long committed) {
        if (instant > since) {
            since = instant;
            index = committed;
        }
    }

    /** Returns the age of the contact in milliseconds, rounded up; -1 if there is none. */
    int age(long now) {
        return since == UNKNOWN ? -1 : (int) Math.min(Integer.MAX_VALUE, (now - since) / MILLI + 1);
    }

    /**
     * Records a contact that another replica knew of, which was asked at {@code askedAt} and has
     * answered now.
     */
    void onReported(long now, long askedAt, int age, long committed) {
        onQuorum(
                rules.contactCountsFrom(askedAt, now) - rules.withClockDrift(age * MILLI),
                committed);
    }
}
