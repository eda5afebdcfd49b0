package cedarrudder.transport;

/**
 * Where a client's connection is in its life, as one table of states and events. So no response can
 * begin on a connection whose output has ended, and no request is taken behind that.
 */
enum ClientConnectionState {
    /** Nothing was received on it yet. */
    NEW,
    /** It is between two requests. */
    IDLE,
    /** Part of a head is there. */
    READING_HEAD,
    /** Part of a body is there, which is collected. */
    READING_BODY,
    /** A request is open; its body may still be streamed. */
    REQUEST_OPEN,
    /** A response is being written, behind which the next request is read. */
    RESPONDING,
    /**
     * Its last response is being written: what comes is dropped, but for a body that is still
     * streamed.
     */
    SENDING_LAST_RESPONSE,
    /** The lingering close: our output has ended, and what comes is dropped. */
    LINGERING,
    /** It is closed. */
    CLOSED;

    /** What changes the state. */
    enum Event {
        /** The first byte of a request is there. */
        BYTES,
        /** A head is complete, and its body is not. */
        HEAD,
        /** A request is taken. */
        REQUEST,
        /** A response begins. */
        RESPONSE,
        /** A response begins that is the connection's last. */
        LAST_RESPONSE,
        /** The response is written. */
        WRITTEN,
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
                        case REQUEST -> REQUEST_OPEN;
                        case RESPONSE -> RESPONDING;
                        case LAST_RESPONSE -> SENDING_LAST_RESPONSE;
                        case HALF_CLOSE -> LINGERING;
                        default -> null;
                    };
            case REQUEST_OPEN ->
                    switch (event) {
                        case RESPONSE -> RESPONDING;
                        case LAST_RESPONSE -> SENDING_LAST_RESPONSE;
                        default -> null;
                    };
            case RESPONDING -> event == Event.WRITTEN ? IDLE : null;
            case SENDING_LAST_RESPONSE -> event == Event.WRITTEN ? LINGERING : null;
            case LINGERING, CLOSED -> null;
        };
    }

    /** Whether nothing is open on it, and a request, or the rest of one, is decoded. */
    boolean takesRequests() {
        return this == NEW || this == IDLE || this == READING_HEAD || this == READING_BODY;
    }

    /** Whether it may be closed as one on which nothing was requested. */
    boolean rests() {
        return this == NEW || this == IDLE;
    }

    /** Whether what comes is dropped, but for a body that is still streamed. */
    boolean ends() {
        return this == SENDING_LAST_RESPONSE || this == LINGERING || this == CLOSED;
    }
}
