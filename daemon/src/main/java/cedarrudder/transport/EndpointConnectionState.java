package cedarrudder.transport;

import static cedarrudder.transport.EndpointConnectionState.Event.ANSWERED;
import static cedarrudder.transport.EndpointConnectionState.Event.CARRIES;
import static cedarrudder.transport.EndpointConnectionState.Event.ENDS;
import static cedarrudder.transport.EndpointConnectionState.Event.FLOWS;
import static cedarrudder.transport.EndpointConnectionState.Event.UP;
import static cedarrudder.transport.EndpointConnectionState.Event.WROTE;
import static cedarrudder.transport.EndpointConnectionState.State.AWAITING;
import static cedarrudder.transport.EndpointConnectionState.State.CONNECTING;
import static cedarrudder.transport.EndpointConnectionState.State.ENDED;
import static cedarrudder.transport.EndpointConnectionState.State.FLOWING;
import static cedarrudder.transport.EndpointConnectionState.State.IDLE;
import static cedarrudder.transport.EndpointConnectionState.State.SENDING;

import java.util.Map;

/**
 * Where a connection to a node is in its life. It knows no sockets and no clock; {@link #LEGAL} is
 * all that may happen. Guards against flags that contradict one another, by which a request could
 * go out on a connection that still carries one, or an answer be taken for that of another request.
 */
final class EndpointConnectionState {

    enum State {
        /** It is not up. */
        CONNECTING,
        /** It is up, and carries nothing. */
        IDLE,
        /** A request goes out on it; no answer may come yet. */
        SENDING,
        /** The request is out whole, and its answer awaited or read. */
        AWAITING,
        /** The answer goes on to the caller as it comes. */
        FLOWING,
        /** It is closed, or about to be: nothing is read of it any more. */
        ENDED
    }

    enum Event {
        /** The connection is there. */
        UP,
        /** The first byte of a request is about to go out. */
        CARRIES,
        /** The last byte of the request is out. */
        WROTE,
        /** The answer has begun to go on to the caller. */
        FLOWS,
        /** The answer is there whole. */
        ANSWERED,
        /** Either side ends it, or it broke; may happen at any time, and again. */
        ENDS
    }

    /** What may happen in each state but for {@link Event#ENDS}, and which state comes of it. */
    static final Map<State, Map<Event, State>> LEGAL =
            Map.of(
                    CONNECTING, Map.of(UP, IDLE),
                    IDLE, Map.of(CARRIES, SENDING),
                    SENDING, Map.of(WROTE, AWAITING),
                    AWAITING, Map.of(FLOWS, FLOWING, ANSWERED, IDLE),
                    FLOWING, Map.of(ANSWERED, IDLE),
                    ENDED, Map.of());

    private State state = CONNECTING;

    /** Takes a step; false where it is not legal, upon which the connection is to be ended. */
    boolean step(Event event) {
        State next = event == ENDS ? ENDED : LEGAL.get(state).get(event);
        state = next == null ? state : next;
        return next != null;
    }

    boolean is(State asked) {
        return state == asked;
    }

    @Override
    public String toString() {
        return state.toString();
    }
}
