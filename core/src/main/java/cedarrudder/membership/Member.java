package cedarrudder.membership;

/**
 * What is known of one instance: its incarnation, and whether that is alive.
 *
 * @param number the instance's number among all of its tier, from 0
 * @param incarnation grows with each start and each time the instance refutes what is said of it;
 *     from 0 to {@link #MAX_INCARNATION}
 */
public record Member(int number, long incarnation, State state) {

    /** A larger incarnation is invalid. This avoids a forged one that nothing could exceed. */
    public static final long MAX_INCARNATION = 1L << 62;

    /** Whether an instance is alive, as far as is known. */
    public enum State {
        /** It answers pings. */
        ALIVE,
        /** It did not answer a ping; it still counts as live. */
        SUSPECT,
        /** It did not refute its suspicion in time, or it said that it leaves. */
        DEAD
    }

    /**
     * Whether this update replaces what is known of the same instance (SWIM, 4.2): one of a later
     * incarnation always does, and of one incarnation the worse state does.
     */
    boolean overrides(Member known) {
        return incarnation > known.incarnation
                || incarnation == known.incarnation && state.compareTo(known.state) > 0;
    }

    /** Whether the instance counts as live. */
    public boolean isLive() {
        return state != State.DEAD;
    }

    Member withState(State next) {
        return new Member(number, incarnation, next);
    }
}
