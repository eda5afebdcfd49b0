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
 * The table of states and events, walked whole by commands. Detects an event that comes twice, late
 * or overtaken by another doing what nobody asked for.
 */
public class DrainTransitionsTest {

    private static final int FIRST_SLOT = 1;

    private static final long NODE = 7;

    /**
     * Where each state goes at each event; a dot: nothing changes. Columns as the events are
     * declared.
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
    private static final Map<DrainState, List<DrainEvent>> WAYS =
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

    private static void happens(DrainStateMachine agreed, DrainEvent event) {
        Drain drain = agreed.drainInSlot(FIRST_SLOT);
        agreed.apply(
                event == DrainEvent.ASKED || event == DrainEvent.CANCELLED
                        ? new DrainRequest(event == DrainEvent.CANCELLED, List.of(NODE)).encode()
                        : new Step(
                                        agreed.version(),
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
    public void eachEventDoesInEachStateWhatTheTableSays() {
        for (DrainState state : DrainState.values()) {
            String[] row = EXPECTED.get(state).split(" ");
            assertEquals(row.length, DrainEvent.values().length);
            for (DrainEvent event : DrainEvent.values()) {
                DrainStateMachine agreed = new DrainStateMachine();
                for (DrainEvent each : WAYS.get(state)) {
                    happens(agreed, each);
                }
                assertEquals(agreed.state(NODE), state);
                happens(agreed, event);
                String next = row[event.ordinal()];
                assertEquals(
                        agreed.state(NODE),
                        next.equals(".") ? state : DrainState.valueOf(next),
                        state + ", " + event);
            }
        }
    }

    /** Detects what a leader found out before others did counting after it: two waves at once. */
    @Test
    public void aStepThatSawAnotherStateChangesNothing() {
        DrainStateMachine agreed = new DrainStateMachine();
        happens(agreed, DrainEvent.ASKED);
        byte[] begin =
                new Step(
                                agreed.version(),
                                0,
                                List.of(),
                                List.of(Change.of(DrainEvent.BEGUN, 1)),
                                WaveStatus.NOTHING)
                        .encode();
        agreed.apply(new DrainRequest(false, List.of(8L)).encode());
        agreed.apply(begin);
        assertEquals(agreed.state(NODE), DrainState.WAITING);
    }

    @Test
    public void aStateIsTheSameOnceItWasWrittenAndRead() {
        DrainStateMachine agreed = new DrainStateMachine();
        happens(agreed, DrainEvent.ASKED);
        happens(agreed, DrainEvent.BEGUN);
        agreed.apply(new DrainCommand.PolicyChunk(4, 5, 0, 2, new byte[] {1, 2}).encode());
        byte[] bytes = agreed.encode();
        assertEquals(DrainStateMachine.decode(bytes).encode(), bytes);
    }
}
