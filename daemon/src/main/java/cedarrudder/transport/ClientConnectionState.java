package cedarrudder.transport;

/**
 * The states of a client connection and the transitions between them. The table ensures that no
 * response begins on a connection whose output has ended, and that no request is accepted after
 * that.
 */
enum ClientConnectionState {
    /** No bytes have been received yet. */
    NEW,
    /** The connection is between two requests. */
    IDLE,
    /** Part of a head has been received. */
    READING_HEAD,
    /** Part of a body that is buffered has been received. */
    READING_BODY,
    /** A request is open; its body may still be streamed. */
    REQUEST_OPEN,
    /** A response is being written; the next request is read after it. */
    RESPONDING,
    /**
     * The last response is being written: input is dropped, except for a body that is still
     * streamed.
     */
    SENDING_LAST_RESPONSE,
    /** The lingering close: the output has ended, and input is dropped. */
    LINGERING,
    /** The connection is closed. */
    CLOSED;

    /** The events that change the state. */
    enum Event {
        /** The first byte of a request was received. */
        BYTES,
        /** A head is complete, and its body is not. */
        HEAD,
        /** A request is accepted. */
        REQUEST,
        /** A response begins. */
        RESPONSE,
        /** The last response of the connection begins. */
        LAST_RESPONSE,
        /** The response is written. */
        WRITTEN,
        /** The output is ended while no response is outstanding. */
        HALF_CLOSE,
        /** Either side closes the connection; may occur more than once. */
        CLOSE
    }

    /** Returns the state after an event; null if the event is illegal in this state. */
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

    /** Returns whether no request is open and input is decoded as a request. */
    boolean acceptsRequests() {
        return isBetweenRequests() || isReadingRequest();
    }

    /** Returns whether a part of a request has been received, and is buffered. */
    boolean isReadingRequest() {
        return this == READING_HEAD || this == READING_BODY;
    }

    /** Returns whether no part of a request has been received since the last response. */
    boolean isBetweenRequests() {
        return this == NEW || this == IDLE;
    }

    /** Returns whether a response is being written. */
    boolean isResponding() {
        return this == RESPONDING || this == SENDING_LAST_RESPONSE;
    }

    /** Returns whether input is dropped, except for a body that is still streamed. */
    boolean isEnding() {
        return this == SENDING_LAST_RESPONSE || this == LINGERING || this == CLOSED;
    }
}
