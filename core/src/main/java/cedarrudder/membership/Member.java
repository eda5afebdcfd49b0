package cedarrudder.membership;

/**
 * The known state of one instance: its incarnation, and whether that incarnation is alive.
 *
 * @param number the instance's number among all instances of its tier, from 0
 * @param incarnation grows with each start and each time the instance refutes a claim about itself;
 *     from 0 to {@link #MAX_INCARNATION}
 */
public record Member(int number, long incarnation, State state) {

    /**
     * The largest valid incarnation. Without the bound a forged incarnation could be one that no
     * refutation can exceed.
     */
    public static final long MAX_INCARNATION = 1L << 62;

    /** The state of an instance, as far as is known. */
    public enum State {
        /** The instance answers pings. */
        ALIVE,
        /** The instance did not answer a ping; it still counts as live. */
        SUSPECT,
        /** The instance did not refute its suspicion in time, or announced that it leaves. */
        DEAD
    }

    /**
     * Returns whether this update replaces the known state of the same instance (SWIM, 4.2): a
     * later incarnation always does, and within one incarnation the worse state does.
     */
    boolean overrides(Member known) {
        return incarnation > known.incarnation
                || incarnation == known.incarnation && state.compareTo(known.state) > 0;
    }

    /** Returns whether the instance counts as live, which a suspected one does. */
    public boolean isLive() {
        return state != State.DEAD;
    }

    Member withState(State next) {
        return new Member(number, incarnation, next);
    }
}
