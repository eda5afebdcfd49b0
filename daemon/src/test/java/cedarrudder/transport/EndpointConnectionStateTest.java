package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.transport.EndpointConnectionState.Event;
import cedarrudder.transport.EndpointConnectionState.State;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests every event in every state against a table. */
public class EndpointConnectionStateTest {

    /** Events that lead to each state. */
    private static final Map<State, List<Event>> EVENTS_TO_REACH =
            new EnumMap<>(
                    Map.of(
                            State.CONNECTING, List.of(),
                            State.IDLE, List.of(Event.CONNECTED),
                            State.SENDING, List.of(Event.CONNECTED, Event.REQUEST_STARTED),
                            State.AWAITING_ANSWER,
                                    List.of(
                                            Event.CONNECTED,
                                            Event.REQUEST_STARTED,
                                            Event.REQUEST_WRITTEN),
                            State.STREAMING,
                                    List.of(
                                            Event.CONNECTED,
                                            Event.REQUEST_STARTED,
                                            Event.REQUEST_WRITTEN,
                                            Event.STREAM_STARTED),
                            State.ENDED, List.of(Event.ENDED)));

    private static EndpointConnectionState in(State state) {
        EndpointConnectionState connectionState = new EndpointConnectionState();
        for (Event event : EVENTS_TO_REACH.get(state)) {
            assertTrue(connectionState.on(event), event + " on the way to " + state);
        }
        assertTrue(connectionState.is(state));
        return connectionState;
    }

    /**
     * Returns rows of the state, the event, and the state after it; null if the event is illegal.
     */
    @DataProvider
    public Object[][] steps() {
        State[][] table = {
            // // CONNECTED, REQUEST_STARTED, REQUEST_WRITTEN, STREAM_STARTED, ANSWER_COMPLETE,
            // ENDED
            {State.IDLE, null, null, null, null, State.ENDED},
            {null, State.SENDING, null, null, null, State.ENDED},
            {null, null, State.AWAITING_ANSWER, null, null, State.ENDED},
            {null, null, null, State.STREAMING, State.IDLE, State.ENDED},
            {null, null, null, null, State.IDLE, State.ENDED},
            {null, null, null, null, null, State.ENDED}
        };
        Object[][] rows = new Object[table.length * Event.values().length][];
        for (State from : State.values()) {
            for (Event event : Event.values()) {
                rows[from.ordinal() * Event.values().length + event.ordinal()] =
                        new Object[] {from, event, table[from.ordinal()][event.ordinal()]};
            }
        }
        return rows;
    }

    @Test(dataProvider = "steps")
    public void eachEventInEachStateHasTheExpectedResult(State from, Event event, State to) {
        EndpointConnectionState connectionState = in(from);
        assertEquals(connectionState.on(event), to != null);
        assertTrue(connectionState.is(to == null ? from : to), connectionState.toString());
    }

    /**
     * A second request must not be sent on a connection before the response to the first is
     * complete.
     */
    @Test
    public void noRequestStartsBeforeThePreviousResponseIsComplete() {
        for (State busy : List.of(State.SENDING, State.AWAITING_ANSWER, State.STREAMING)) {
            assertFalse(in(busy).on(Event.REQUEST_STARTED), busy.toString());
        }
    }
}
