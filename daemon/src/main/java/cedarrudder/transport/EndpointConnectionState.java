package cedarrudder.transport;

import static cedarrudder.transport.EndpointConnectionState.Event.ANSWER_COMPLETE;
import static cedarrudder.transport.EndpointConnectionState.Event.CONNECTED;
import static cedarrudder.transport.EndpointConnectionState.Event.REQUEST_STARTED;
import static cedarrudder.transport.EndpointConnectionState.Event.REQUEST_WRITTEN;
import static cedarrudder.transport.EndpointConnectionState.Event.STREAM_STARTED;
import static cedarrudder.transport.EndpointConnectionState.State.AWAITING_ANSWER;
import static cedarrudder.transport.EndpointConnectionState.State.CONNECTING;
import static cedarrudder.transport.EndpointConnectionState.State.IDLE;
import static cedarrudder.transport.EndpointConnectionState.State.SENDING;
import static cedarrudder.transport.EndpointConnectionState.State.STREAMING;

import java.util.Map;

/**
 * Where a connection to an endpoint is in its life. It knows no sockets and no clock; {@link
 * #TRANSITIONS} is all that may happen. So no request goes out on a connection that still carries
 * one, and no answer is taken for that of another request.
 */
final class EndpointConnectionState {

    /** The states. */
    enum State {
        /** It is not up. */
        CONNECTING,
        /** It is up, and carries nothing. */
        IDLE,
        /** A request goes out on it; no answer may come yet. */
        SENDING,
        /** The request is written, and its answer awaited or read. */
        AWAITING_ANSWER,
        /** The answer is streamed to the client. */
        STREAMING,
        /** It is closed, or about to be: nothing is read of it any more. */
        ENDED
    }

    /** What changes the state. */
    enum Event {
        /** The connection is up. */
        CONNECTED,
        /** The first byte of a request is about to go out. */
        REQUEST_STARTED,
        /** The last byte of the request is out. */
        REQUEST_WRITTEN,
        /** The answer has begun to be streamed to the client. */
        STREAM_STARTED,
        /** The answer is complete. */
        ANSWER_COMPLETE,
        /** Either side ends it, or it broke; may happen at any time, and again. */
        ENDED
    }

    /** What may happen in each state but for {@link Event#ENDED}, and which state comes of it. */
    static final Map<State, Map<Event, State>> TRANSITIONS =
            Map.of(
                    CONNECTING,
                    Map.of(CONNECTED, IDLE),
                    IDLE,
                    Map.of(REQUEST_STARTED, SENDING),
                    SENDING,
                    Map.of(REQUEST_WRITTEN, AWAITING_ANSWER),
                    AWAITING_ANSWER,
                    Map.of(STREAM_STARTED, STREAMING, ANSWER_COMPLETE, IDLE),
                    STREAMING,
                    Map.of(ANSWER_COMPLETE, IDLE),
                    State.ENDED,
                    Map.of());

    private State state = CONNECTING;

    /** Changes the state; false where that is not legal, and the connection is to be ended. */
    boolean on(Event event) {
        State next = event == Event.ENDED ? State.ENDED : TRANSITIONS.get(state).get(event);
        if (next == null) {
            return false;
        }
        state = next;
        return true;
    }

    boolean is(State asked) {
        return state == asked;
    }

    @Override
    public String toString() {
        return state.toString();
    }
}
