package cedarrudder.draining;

import static org.testng.Assert.assertEquals;

import cedarrudder.draining.DrainCommand.Change;
import cedarrudder.draining.DrainCommand.DrainRequest;
import cedarrudder.draining.DrainCommand.Step;
import cedarrudder.draining.DrainCommand.WaveStatus;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Tests every state and event of the transition table through commands. An event that is a
 * duplicate, is late or was overtaken by another must change nothing.
 */
public class DrainTransitionsTest {

    private static final int FIRST_SLOT = 1;

    private static final long NODE = 7;

    /**
     * The next state for each state and event; a dot: no change. The columns are in the order in
     * which the events are declared.
     */
    private static final Map<DrainState, String> EXPECTED =
            Map.of(
                    //                 asked cancel begun empty letgo givenup alarm stop back out
                    // gone returned
                    DrainState.NONE,
                    "WAITING . . . . . . . . . . .",
                    DrainState.WAITING,
                    ". NONE LEAVING . . . . . . . NONE .",
                    DrainState.LEAVING,
                    ". RETURNING . OUT OUT RETURNING OVERDUE RETURNING_TO_WAIT RETURNING . NONE .",
                    DrainState.OVERDUE,
                    ". RETURNING . OUT OUT RETURNING . RETURNING_TO_WAIT RETURNING . NONE .",
                    DrainState.OUT,
                    ". RETURNING . . . . . . RETURNING . NONE .",
                    DrainState.RETURNING,
                    "RETURNING_TO_WAIT . . . . . . . . . NONE NONE",
                    DrainState.RETURNING_TO_WAIT,
                    ". RETURNING . . . . . . . . NONE WAITING");

    /** The events that lead to each state. */
    private static final Map<DrainState, List<DrainEvent>> EVENTS_TO =
            Map.of(
                    DrainState.NONE, List.of(),
                    DrainState.WAITING, List.of(DrainEvent.ASKED),
                    DrainState.LEAVING, List.of(DrainEvent.ASKED, DrainEvent.BEGUN),
                    DrainState.OVERDUE,
                            List.of(DrainEvent.ASKED, DrainEvent.BEGUN, DrainEvent.ALARMED),
                    DrainState.OUT, List.of(DrainEvent.ASKED, DrainEvent.BEGUN, DrainEvent.EMPTY),
                    DrainState.RETURNING,
                            List.of(DrainEvent.ASKED, DrainEvent.BEGUN, DrainEvent.CANCELLED),
                    DrainState.RETURNING_TO_WAIT,
                            List.of(DrainEvent.ASKED, DrainEvent.BEGUN, DrainEvent.STOPPED));

    private static void commit(DrainStateMachine stateMachine, DrainEvent event) {
        Drain drain = stateMachine.drainInSlot(FIRST_SLOT);
        stateMachine.apply(
                event == DrainEvent.ASKED || event == DrainEvent.CANCELLED
                        ? new DrainRequest(event == DrainEvent.CANCELLED, List.of(NODE)).encode()
                        : new Step(
                                        stateMachine.version(),
                                        0,
                                        List.of(),
                                        List.of(
                                                Change.of(
                                                        event,
                                                        drain == null ? FIRST_SLOT : drain.slot)),
                                        WaveStatus.NOTHING)
                                .encode());
    }

    @Test
    public void eachEventInEachStateLeadsToTheExpectedState() {
        for (DrainState state : DrainState.values()) {
            String[] row = EXPECTED.get(state).split(" ");
            assertEquals(row.length, DrainEvent.values().length);
            for (DrainEvent event : DrainEvent.values()) {
                DrainStateMachine stateMachine = new DrainStateMachine();
                for (DrainEvent each : EVENTS_TO.get(state)) {
                    commit(stateMachine, each);
                }
                assertEquals(stateMachine.state(NODE), state);
                commit(stateMachine, event);
                String next = row[event.ordinal()];
                assertEquals(
                        stateMachine.state(NODE),
                        next.equals(".") ? state : DrainState.valueOf(next),
                        state + ", " + event);
            }
        }
    }

    /** A step derived from an outdated state must not apply: it could begin a second wave. */
    @Test
    public void stepBasedOnAnotherStateVersionChangesNothing() {
        DrainStateMachine stateMachine = new DrainStateMachine();
        commit(stateMachine, DrainEvent.ASKED);
        byte[] begin =
                new Step(
                                stateMachine.version(),
                                0,
                                List.of(),
                                List.of(Change.of(DrainEvent.BEGUN, 1)),
                                WaveStatus.NOTHING)
                        .encode();
        stateMachine.apply(new DrainRequest(false, List.of(8L)).encode());
        stateMachine.apply(begin);
        assertEquals(stateMachine.state(NODE), DrainState.WAITING);
    }

    @Test
    public void decodedStateEqualsEncodedState() {
        DrainStateMachine stateMachine = new DrainStateMachine();
        commit(stateMachine, DrainEvent.ASKED);
        commit(stateMachine, DrainEvent.BEGUN);
        stateMachine.apply(new DrainCommand.PolicyChunk(4, 5, 0, 2, new byte[] {1, 2}).encode());
        byte[] bytes = stateMachine.encode();
        assertEquals(DrainStateMachine.decode(bytes).encode(), bytes);
    }
}
