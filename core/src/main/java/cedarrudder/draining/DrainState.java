package cedarrudder.draining;

/** The state of a node's drain. */
public enum DrainState {
    /** The node has no drain. */
    NONE,
    /** The drain is requested, and its wave has not begun. */
    WAITING,
    /** The node gets no new requests, and may have requests in flight. */
    LEAVING,
    /** Like {@link #LEAVING}, and the deadline has passed. */
    OVERDUE,
    /** The node has no requests in flight, or counts as drained as its deadline has passed. */
    OUT,
    /** The node serves again at replicas that know it; the drain ends once all do. */
    RETURNING,
    /** Like {@link #RETURNING}, but the drain then waits for another wave. */
    RETURNING_TO_WAIT;

    /** Returns whether replicas send the node no new requests. */
    public boolean isLeaving() {
        return this == LEAVING || this == OVERDUE || this == OUT;
    }

    /**
     * Returns whether the node counts as unavailable: it gets no new requests, or some replica may
     * not know yet that it serves again.
     */
    public boolean isOut() {
        return isLeaving() || this == RETURNING || this == RETURNING_TO_WAIT;
    }

    /** Returns whether the drain's wave has begun and is not over. */
    public boolean isOpen() {
        return this == LEAVING || this == OVERDUE;
    }
}
