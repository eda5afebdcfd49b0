package cedarrudder.membership;

/**
 * What is held of one instance: which of its lives, and whether that life goes on.
 *
 * @param number the instance's number among all of its tier, from 0
 * @param incarnation grows with each life and each time the instance contradicts what is said of
 *     it; from 0 to {@link #MAX_INCARNATION}
 */
public record Member(int number, long incarnation, Standing standing) {

    /** A larger one is none. This avoids a forged one that nothing could follow. */
    public static final long MAX_INCARNATION = 1L << 62;

    /** Whether an instance lives, as far as is known. */
    public enum Standing {
        /** It answers. */
        ALIVE,
        /** It has not answered one that asked; it still counts as live. */
        SUSPECT,
        /** It has not contradicted that for long enough, or it said that it leaves. */
        DEAD
    }

    /**
     * Whether this news replaces what is known of the same instance (SWIM, 4.2): what is said of a
     * later life always does, and of one life the worse news does.
     */
    boolean overrides(Member known) {
        return incarnation > known.incarnation
                || incarnation == known.incarnation && standing.compareTo(known.standing) > 0;
    }

    /** Whether it counts as live. */
    public boolean isLive() {
        return standing != Standing.DEAD;
    }

    Member withStanding(Standing next) {
        return new Member(number, incarnation, next);
    }
}
