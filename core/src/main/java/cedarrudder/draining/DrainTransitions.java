package cedarrudder.draining;

import static cedarrudder.draining.DrainEvent.ALARMED;
import static cedarrudder.draining.DrainEvent.ASKED;
import static cedarrudder.draining.DrainEvent.BEGUN;
import static cedarrudder.draining.DrainEvent.CANCELLED;
import static cedarrudder.draining.DrainEvent.EMPTY;
import static cedarrudder.draining.DrainEvent.GIVEN_UP;
import static cedarrudder.draining.DrainEvent.GONE;
import static cedarrudder.draining.DrainEvent.LET_GO;
import static cedarrudder.draining.DrainEvent.RESTARTED_BACK;
import static cedarrudder.draining.DrainEvent.RESTARTED_OUT;
import static cedarrudder.draining.DrainEvent.RETURNED;
import static cedarrudder.draining.DrainEvent.STOPPED;
import static cedarrudder.draining.DrainState.LEAVING;
import static cedarrudder.draining.DrainState.NONE;
import static cedarrudder.draining.DrainState.OUT;
import static cedarrudder.draining.DrainState.OVERDUE;
import static cedarrudder.draining.DrainState.RETURNING;
import static cedarrudder.draining.DrainState.RETURNING_TO_WAIT;
import static cedarrudder.draining.DrainState.WAITING;

import java.util.EnumMap;
import java.util.Map;

/**
 * The transition table of a drain by state and event, the same at all replicas. An event without a
 * row for the current state changes nothing: it is a duplicate, is late, or was overtaken by
 * another event.
 */
public final class DrainTransitions {

    /** The effect of a transition, besides the next state. */
    public enum Effect {
        /** No effect. */
        NOTHING,
        /** Replicas stop sending new requests to the node. */
        LEAVE,
        /** Replicas send requests to the node again. */
        RETURN,
        /** A log line reports that the deadline has passed. */
        ALARM,
        /** The drain ends; the event is its outcome. */
        END
    }

    /** A row of the table. */
    public record Row(DrainState next, Effect effect) {}

    private static final Map<DrainState, Map<DrainEvent, Row>> TABLE =
            new EnumMap<>(DrainState.class);

    static {
        row(NONE, ASKED, WAITING, Effect.NOTHING);

        row(WAITING, CANCELLED, NONE, Effect.END);
        row(WAITING, BEGUN, LEAVING, Effect.LEAVE);
        row(WAITING, GONE, NONE, Effect.END);

        row(LEAVING, ALARMED, OVERDUE, Effect.ALARM);
        for (DrainState open : new DrainState[] {LEAVING, OVERDUE}) {
            row(open, CANCELLED, RETURNING, Effect.RETURN);
            row(open, EMPTY, OUT, Effect.NOTHING);
            row(open, LET_GO, OUT, Effect.ALARM);
            row(open, GIVEN_UP, RETURNING, Effect.RETURN);
            row(open, STOPPED, RETURNING_TO_WAIT, Effect.RETURN);
            row(open, RESTARTED_BACK, RETURNING, Effect.RETURN);
            row(open, RESTARTED_OUT, open, Effect.NOTHING);
            row(open, GONE, NONE, Effect.END);
        }

        row(OUT, CANCELLED, RETURNING, Effect.RETURN);
        row(OUT, RESTARTED_BACK, RETURNING, Effect.RETURN);
        row(OUT, RESTARTED_OUT, OUT, Effect.NOTHING);
        row(OUT, GONE, NONE, Effect.END);

        row(RETURNING, ASKED, RETURNING_TO_WAIT, Effect.NOTHING);
        row(RETURNING, RETURNED, NONE, Effect.END);
        row(RETURNING, GONE, NONE, Effect.END);

        row(RETURNING_TO_WAIT, CANCELLED, RETURNING, Effect.NOTHING);
        row(RETURNING_TO_WAIT, RETURNED, WAITING, Effect.NOTHING);
        row(RETURNING_TO_WAIT, GONE, NONE, Effect.END);
    }

    private DrainTransitions() {}

    private static void row(DrainState from, DrainEvent event, DrainState to, Effect effect) {
        if (TABLE.computeIfAbsent(from, each -> new EnumMap<>(DrainEvent.class))
                        .put(event, new Row(to, effect))
                != null) {
            throw new IllegalStateException(from + ", " + event + ": duplicate transition");
        }
    }

    /** Returns the row of a state and an event, or null if the event changes nothing there. */
    public static Row of(DrainState state, DrainEvent event) {
        return TABLE.get(state).get(event);
    }
}
