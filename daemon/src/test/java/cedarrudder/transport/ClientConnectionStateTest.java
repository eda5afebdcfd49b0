package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.transport.ClientConnectionState.Event;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the transitions between the states of a client connection. */
public class ClientConnectionStateTest {

    private static final Map<ClientConnectionState, Map<Event, ClientConnectionState>> LEGAL =
            Map.of(
                    ClientConnectionState.NEW,
                            Map.of(
                                    Event.BYTES,
                                    ClientConnectionState.READING_HEAD,
                                    Event.HALF_CLOSE,
                                    ClientConnectionState.LINGERING),
                    ClientConnectionState.IDLE,
                            Map.of(
                                    Event.BYTES,
                                    ClientConnectionState.READING_HEAD,
                                    Event.HALF_CLOSE,
                                    ClientConnectionState.LINGERING),
                    ClientConnectionState.READING_HEAD,
                            Map.of(
                                    Event.HEAD,
                                    ClientConnectionState.READING_BODY,
                                    Event.REQUEST,
                                    ClientConnectionState.REQUEST_OPEN,
                                    Event.RESPONSE,
                                    ClientConnectionState.RESPONDING,
                                    Event.LAST_RESPONSE,
                                    ClientConnectionState.SENDING_LAST_RESPONSE,
                                    Event.HALF_CLOSE,
                                    ClientConnectionState.LINGERING),
                    ClientConnectionState.READING_BODY,
                            Map.of(
                                    Event.REQUEST,
                                    ClientConnectionState.REQUEST_OPEN,
                                    Event.RESPONSE,
                                    ClientConnectionState.RESPONDING,
                                    Event.LAST_RESPONSE,
                                    ClientConnectionState.SENDING_LAST_RESPONSE,
                                    Event.HALF_CLOSE,
                                    ClientConnectionState.LINGERING),
                    ClientConnectionState.REQUEST_OPEN,
                            Map.of(
                                    Event.RESPONSE,
                                    ClientConnectionState.RESPONDING,
                                    Event.LAST_RESPONSE,
                                    ClientConnectionState.SENDING_LAST_RESPONSE),
                    ClientConnectionState.RESPONDING,
                            Map.of(Event.WRITTEN, ClientConnectionState.IDLE),
                    ClientConnectionState.SENDING_LAST_RESPONSE,
                            Map.of(Event.WRITTEN, ClientConnectionState.LINGERING),
                    ClientConnectionState.LINGERING, Map.of(),
                    ClientConnectionState.CLOSED, Map.of());

    @Test
    public void eachEventInEachStateHasTheExpectedResult() {
        for (ClientConnectionState state : ClientConnectionState.values()) {
            for (Event event : Event.values()) {
                ClientConnectionState next =
                        event == Event.CLOSE
                                ? ClientConnectionState.CLOSED
                                : LEGAL.get(state).get(event);
                assertEquals(state.on(event), next, event + " in " + state);
            }
        }
    }

    @Test
    public void everyStateCanBeReachedFromNew() {
        assertEquals(
                reachable(ClientConnectionState.NEW), EnumSet.allOf(ClientConnectionState.class));
    }

    /** A request must not be accepted, nor a response written, after the end of the output. */
    @Test
    public void anEndingConnectionNeverAcceptsRequestsAgain() {
        for (ClientConnectionState state : ClientConnectionState.values()) {
            if (state.isEnding()) {
                for (ClientConnectionState later : reachable(state)) {
                    assertTrue(
                            later.isEnding() && !later.acceptsRequests(),
                            later + " behind " + state);
                }
            }
        }
        assertFalse(
                reachable(ClientConnectionState.LINGERING)
                        .contains(ClientConnectionState.SENDING_LAST_RESPONSE));
    }

    private static Set<ClientConnectionState> reachable(ClientConnectionState from) {
        Set<ClientConnectionState> reachable = EnumSet.of(from);
        for (int before = 0; before < reachable.size(); ) {
            before = reachable.size();
            for (ClientConnectionState state : EnumSet.copyOf(reachable)) {
                for (Event event : Event.values()) {
                    if (state.on(event) != null) {
                        reachable.add(state.on(event));
                    }
                }
            }
        }
        return reachable;
    }
}
