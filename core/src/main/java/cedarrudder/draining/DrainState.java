package cedarrudder.draining;

/** How a node stands with drains. */
public enum DrainState {
    /** There is no drain of it. */
    NONE,
    /** Asked for; its wave has not begun. */
    WAITING,
    /** It gets nothing new, and may have calls. */
    LEAVING,
    /** So too, and its time is up. */
    OVERDUE,
    /** It has no calls, or was let go. */
    OUT,
    /** It serves again where that is known; there is no drain of it once all know. */
    RETURNING,
    /** So too, and then it waits for another wave. */
    RETURNING_TO_WAIT;

    /** Whether replicas send it nothing new. */
    public boolean isLeaving() {
        return this == LEAVING || this == OVERDUE || this == OUT;
    }

    /** Whether it counts as out: it leaves, or some replica may not know yet that it is back. */
    public boolean isOut() {
        return isLeaving() || this == RETURNING || this == RETURNING_TO_WAIT;
    }

    /** Whether its wave is not over. */
    public boolean isOpen() {
        return this == LEAVING || this == OVERDUE;
    }
}
