package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.transport.ClientConnectionState.Event;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** The life of a client's connection, transition by transition. */
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
    public void eachEventInEachStateIsAsTheTableSays() {
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
    public void eachStateIsReachedFromTheFirst() {
        assertEquals(
                reached(ClientConnectionState.NEW), EnumSet.allOf(ClientConnectionState.class));
    }

    /** Detects a request that is taken, or an answer written, behind the end of our output. */
    @Test
    public void noWayLeadsBackFromTheEnd() {
        for (ClientConnectionState state : ClientConnectionState.values()) {
            if (state.isEnding()) {
                for (ClientConnectionState later : reached(state)) {
                    assertTrue(
                            later.isEnding() && !later.acceptsRequests(),
                            later + " behind " + state);
                }
            }
        }
        assertFalse(
                reached(ClientConnectionState.LINGERING)
                        .contains(ClientConnectionState.SENDING_LAST_RESPONSE));
    }

    private static Set<ClientConnectionState> reached(ClientConnectionState from) {
        Set<ClientConnectionState> reached = EnumSet.of(from);
        for (int before = 0; before < reached.size(); ) {
            before = reached.size();
            for (ClientConnectionState state : EnumSet.copyOf(reached)) {
                for (Event event : Event.values()) {
                    if (state.on(event) != null) {
                        reached.add(state.on(event));
                    }
                }
            }
        }
        return reached;
    }
}
