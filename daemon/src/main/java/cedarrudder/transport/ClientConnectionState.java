package cedarrudder.transport;

/**
 * Where a caller's connection is in its life, as one table of states and events. Guards against
 * what no single flag shows: an answer on a connection whose output has ended, or a request taken
 * behind it.
 */
enum ClientConnectionState {
    /** It has said nothing yet. */
    NEW,
    /** It is between two requests. */
    IDLE,
    /** Half a head is there. */
    READING_HEAD,
    /** Half a body is there, which is collected. */
    READING_BODY,
    /** An RPC is open; its body may still flow. */
    OPEN,
    /** An answer is being written, behind which the next request is read. */
    ANSWERING,
    /**
     * Its last answer is being written: what comes is dropped, but for the body that still flows.
     */
    DRAINING,
    /** The lingering close: our output has ended, and what comes is dropped. */
    LINGERING,
    CLOSED;

    /** What changes it. */
    enum Event {
        /** The first byte of a request is there. */
        BYTES,
        /** A head is whole, and its body is not. */
        HEAD,
        /** An RPC is taken. */
        RPC,
        /** An answer begins. */
        ANSWER,
        /** An answer begins that is the connection's last. */
        LAST_ANSWER,
        /** The answer is written. */
        WROTE,
        /** Our output ends with nothing owed. */
        HALF_CLOSE,
        /** The connection ends, from whichever side; more than once at times. */
        CLOSE
    }

    /** The state after an event; null where it can't come in this one. */
    ClientConnectionState on(Event event) {
        if (event == Event.CLOSE) {
            return CLOSED;
        }
        return switch (this) {
            case NEW, IDLE ->
                    switch (event) {
                        case BYTES -> READING_HEAD;
                        case HALF_CLOSE -> LINGERING;
                        default -> null;
                    };
            case READING_HEAD, READING_BODY ->
                    switch (event) {
                        case HEAD -> this == READING_HEAD ? READING_BODY : null;
                        case RPC -> OPEN;
                        case ANSWER -> ANSWERING;
                        case LAST_ANSWER -> DRAINING;
                        case HALF_CLOSE -> LINGERING;
                        default -> null;
                    };
            case OPEN ->
                    switch (event) {
                        case ANSWER -> ANSWERING;
                        case LAST_ANSWER -> DRAINING;
                        default -> null;
                    };
            case ANSWERING -> event == Event.WROTE ? IDLE : null;
            case DRAINING -> event == Event.WROTE ? LINGERING : null;
            case LINGERING, CLOSED -> null;
        };
    }

    /** Whether nothing is open on it, and a request, or the rest of one, is decoded. */
    boolean takesRequests() {
        return this == NEW || this == IDLE || this == READING_HEAD || this == READING_BODY;
    }

    /** Whether it may be closed as one on which nothing has been asked. */
    boolean rests() {
        return this == NEW || this == IDLE;
    }

    /** Whether what comes is dropped, but for a body that still flows. */
    boolean ends() {
        return this == DRAINING || this == LINGERING || this == CLOSED;
    }
}
