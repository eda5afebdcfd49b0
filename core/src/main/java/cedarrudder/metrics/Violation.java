package cedarrudder.metrics;

/** What must never happen to a request. Each is checked at run time, where it could happen. */
public enum Violation {
    /** A request was read, and the proxy ended its connection without an answer. */
    UNANSWERED,
    /** An attempt began though its client had not been known to be connected for too long. */
    LATE_START,
    /** An attempt began beside or after one that may run, of a request that must not run twice. */
    REPEATED
}
