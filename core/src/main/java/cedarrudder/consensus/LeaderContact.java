package cedarrudder.consensus;

/**
 * Since when a leader was surely in office, as far as that has come to this replica: an instant of
 * its own clock at or after which a majority answered a leader, of whose commits until then this
 * replica has loaded all.
 *
 * <p>It comes from copy to copy as an age. Nobody knows how long a datagram was on its way or lay
 * unread, so an age counts from the instant at which this replica asked for it, never from when it
 * came.
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

    /** Another group: of its commits this replica has loaded none. */
    void reset() {
        since = UNKNOWN;
        index = 0;
    }

    /** Up to which index that leader may have committed something by then. */
    long index() {
        return index;
    }

    void onQuorum(long instant, long committed) {
        if (instant > since) {
            since = instant;
            index = committed;
        }
    }

    /** In milliseconds, not shorter than it is; -1 where there is none. */
    int age(long now) {
        return since == UNKNOWN ? -1 : (int) Math.min(Integer.MAX_VALUE, (now - since) / MILLI + 1);
    }

    /** One who was asked at that instant, and has answered now, knew of a contact of this age. */
    void onReported(long now, long askedAt, int age, long committed) {
        onQuorum(
                rules.contactCountsFrom(askedAt, now) - rules.withClockDrift(age * MILLI),
                committed);
    }
}
