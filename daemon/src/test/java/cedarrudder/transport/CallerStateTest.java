package cedarrudder.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.transport.CallerState.Event;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** The life of a caller's connection, transition by transition. */
public class CallerStateTest {

    private static final Map<CallerState, Map<Event, CallerState>> LEGAL =
            Map.of(
                    CallerState.NEW,
                            Map.of(
                                    Event.BYTES,
                                    CallerState.READING_HEAD,
                                    Event.HALF_CLOSE,
                                    CallerState.LINGERING),
                    CallerState.IDLE,
                            Map.of(
                                    Event.BYTES,
                                    CallerState.READING_HEAD,
                                    Event.HALF_CLOSE,
                                    CallerState.LINGERING),
                    CallerState.READING_HEAD,
                            Map.of(
                                    Event.HEAD,
                                    CallerState.READING_BODY,
                                    Event.RPC,
                                    CallerState.OPEN,
                                    Event.ANSWER,
                                    CallerState.ANSWERING,
                                    Event.LAST_ANSWER,
                                    CallerState.DRAINING,
                                    Event.HALF_CLOSE,
                                    CallerState.LINGERING),
                    CallerState.READING_BODY,
                            Map.of(
                                    Event.RPC,
                                    CallerState.OPEN,
                                    Event.ANSWER,
                                    CallerState.ANSWERING,
                                    Event.LAST_ANSWER,
                                    CallerState.DRAINING,
                                    Event.HALF_CLOSE,
                                    CallerState.LINGERING),
                    CallerState.OPEN,
                            Map.of(
                                    Event.ANSWER,
                                    CallerState.ANSWERING,
                                    Event.LAST_ANSWER,
                                    CallerState.DRAINING),
                    CallerState.ANSWERING, Map.of(Event.WROTE, CallerState.IDLE),
                    CallerState.DRAINING, Map.of(Event.WROTE, CallerState.LINGERING),
                    CallerState.LINGERING, Map.of(),
                    CallerState.CLOSED, Map.of());

    @Test
    public void eachEventInEachStateIsAsTheTableSays() {
        for (CallerState state : CallerState.values()) {
            for (Event event : Event.values()) {
                CallerState next =
                        event == Event.CLOSE ? CallerState.CLOSED : LEGAL.get(state).get(event);
                assertEquals(state.on(event), next, event + " in " + state);
            }
        }
    }

    @Test
    public void eachStateIsReachedFromTheFirst() {
        assertEquals(reached(CallerState.NEW), EnumSet.allOf(CallerState.class));
    }

    /**
     * Guards against a request that is taken, or an answer written, behind the end of our output.
     */
    @Test
    public void noWayLeadsBackFromTheEnd() {
        for (CallerState state : CallerState.values()) {
            if (state.ends()) {
                for (CallerState later : reached(state)) {
                    assertTrue(later.ends() && !later.takesRequests(), later + " behind " + state);
                }
            }
        }
        assertFalse(reached(CallerState.LINGERING).contains(CallerState.DRAINING));
    }

    private static Set<CallerState> reached(CallerState from) {
        Set<CallerState> reached = EnumSet.of(from);
        for (int before = 0; before < reached.size(); ) {
            before = reached.size();
            for (CallerState state : EnumSet.copyOf(reached)) {
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
