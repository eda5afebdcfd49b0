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
 * The state of a connection to an endpoint, without sockets or a clock; {@link #TRANSITIONS} lists
 * all legal transitions. They ensure that no request is sent on a connection that still carries
 * another one, and that no response is assigned to another request.
 */
final class EndpointConnectionState {

    /** The states of a connection. */
    enum State {
        /** The connection is not established yet. */
        CONNECTING,
        /** The connection is established and carries no call. */
        IDLE,
        /** A request is being written; no response may be received yet. */
        SENDING,
        /** The request is written, and its response is awaited or read. */
        AWAITING_ANSWER,
        /** The response is streamed to the client. */
        STREAMING,
        /** The connection is closed, or about to be: no more of its input is read. */
        ENDED
    }

    /** The events that change the state. */
    enum Event {
        /** The connection is established. */
        CONNECTED,
        /** The first byte of a request is about to be written. */
        REQUEST_STARTED,
        /** The last byte of the request is written. */
        REQUEST_WRITTEN,
        /** The response has begun to be streamed to the client. */
        STREAM_STARTED,
        /** The response is complete. */
        ANSWER_COMPLETE,
        /** Either side ends the connection, or it fails; may occur in any state, and repeatedly. */
        ENDED
    }

    /**
     * The legal events of each state and the state that follows; {@link Event#ENDED} is legal in
     * all states.
     */
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

    /**
     * Changes the state; returns false if the event is illegal, in which case the connection is to
     * be closed.
     */
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
