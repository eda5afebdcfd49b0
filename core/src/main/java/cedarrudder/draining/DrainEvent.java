package cedarrudder.draining;

/** What is committed of one node's drain. */
public enum DrainEvent {
    /** An operator wants it to leave. */
    ASKED,
    /** An operator does not want it to leave any more. */
    CANCELLED,
    /** Its wave begins. */
    BEGUN,
    /** Every live replica has had the wave and has no call there. */
    EMPTY,
    /** Its time is up, and it counts as drained. */
    LET_GO,
    /** Its time is up, and it serves again. */
    GIVEN_UP,
    /** Its time is up, and it is waited for. */
    ALARMED,
    /** Its policy gives back what leaves. */
    STOPPED,
    /** It restarted under its id, and serves again. */
    RESTARTED_BACK,
    /** It restarted under its id, and stays out. */
    RESTARTED_OUT,
    /** It is not listed any more. */
    GONE,
    /** Every live replica knows that it is back. */
    RETURNED
}
