package cedarrudder.lab.load;

/** How a request ended for the one who sent it. */
public enum End {
    /** 200, whole, within its deadline. */
    SERVED,
    /** 429 or 503. */
    REFUSED,
    /** Any other status. */
    FAILED,
    /** What came can't be read. */
    GARBLED,
    /** The connection broke or ended before a whole answer. */
    RESET,
    /** No connection came up. */
    UNREACHABLE,
    /** Nothing whole by its deadline, though it was sent. */
    NO_ANSWER,
    /** It never left: no connection was free for it by its deadline. */
    UNSENT
}
