package cedarrudder.draining;

/** A committed event of one node's drain. */
public enum DrainEvent {
    /** An operator requested the drain. */
    ASKED,
    /** An operator cancelled the drain. */
    CANCELLED,
    /** The wave of the drain begins. */
    BEGUN,
    /** Every live replica has applied the wave and has no request in flight at the node. */
    EMPTY,
    /** The deadline has passed, and the node counts as drained. */
    LET_GO,
    /** The deadline has passed, and the node serves again. */
    GIVEN_UP,
    /** The deadline has passed, and the drain waits on. */
    ALARMED,
    /** A policy returns the nodes of its open drains to service. */
    STOPPED,
    /** The node restarted under its id and serves again. */
    RESTARTED_BACK,
    /** The node restarted under its id and stays out of service. */
    RESTARTED_OUT,
    /** The node is no longer listed. */
    GONE,
    /** Every live replica has applied that the node serves again. */
    RETURNED
}
