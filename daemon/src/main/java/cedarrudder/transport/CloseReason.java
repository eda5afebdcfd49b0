package cedarrudder.transport;

/** Why a client connection ends. It decides whether requests that were read need an answer. */
enum CloseReason {
    /** The client has closed or reset the connection. */
    CLIENT_LEFT(false),
    /** The client has taken nothing of its responses for too long. */
    CLIENT_STALLED(false),
    /** The client has announced that it sends no further requests. */
    CLOSE_REQUESTED(false),
    /** The client's bytes can't be divided into requests from here on. */
    MALFORMED(false),
    /** A request was answered before the end of its body, behind which others can't be read. */
    BODY_DROPPED(false),
    /** The response that was being streamed can't be completed, so no other can follow. */
    RESPONSE_BROKEN(false),
    /** A request was rejected for what it asks, though its length was clear. */
    BAD_REQUEST(true),
    /** The client has not completed a request in time, or is idle. */
    TIMED_OUT(true),
    /** Another client needs the descriptor. */
    EVICTED(true),
    /** The process ends, or is replaced, or drained by operators. */
    SHUTDOWN(true),
    /** A response could not be encoded, for lack of memory. */
    OUT_OF_MEMORY(true),
    /** A fault of this process. */
    FAULT(true);

    private final boolean owesAnswers;

    CloseReason(boolean owesAnswers) {
        this.owesAnswers = owesAnswers;
    }

    /** Returns whether each request that was read has to be answered first. */
    boolean owesAnswers() {
        return owesAnswers;
    }
}
