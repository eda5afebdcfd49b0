package cedarrudder.drainage;

import static cedarrudder.drainage.DrainEvent.ALARMED;
import static cedarrudder.drainage.DrainEvent.ASKED;
import static cedarrudder.drainage.DrainEvent.BEGUN;
import static cedarrudder.drainage.DrainEvent.CANCELLED;
import static cedarrudder.drainage.DrainEvent.EMPTY;
import static cedarrudder.drainage.DrainEvent.GIVEN_UP;
import static cedarrudder.drainage.DrainEvent.GONE;
import static cedarrudder.drainage.DrainEvent.LET_GO;
import static cedarrudder.drainage.DrainEvent.RESTARTED_BACK;
import static cedarrudder.drainage.DrainEvent.RESTARTED_OUT;
import static cedarrudder.drainage.DrainEvent.RETURNED;
import static cedarrudder.drainage.DrainEvent.STOPPED;
import static cedarrudder.drainage.DrainState.LEAVING;
import static cedarrudder.drainage.DrainState.NONE;
import static cedarrudder.drainage.DrainState.OUT;
import static cedarrudder.drainage.DrainState.OVERDUE;
import static cedarrudder.drainage.DrainState.RETURNING;
import static cedarrudder.drainage.DrainState.RETURNING_TO_WAIT;
import static cedarrudder.drainage.DrainState.WAITING;

import java.util.EnumMap;
import java.util.Map;

/**
 * What becomes of a drain: one table of states and events, which all copies apply alike. An event
 * that has no row in a state changes nothing there: it came twice, too late, or was overtaken by
 * another.
 */
public final class Transitions {

    /** What follows, beside the next state. */
    public enum Effect {
        /** Nothing. */
        NOTHING,
        /** Copies are to send it nothing new. */
        LEAVE,
        /** Copies are to send to it again. */
        RETURN,
        /** The log says that its time is up. */
        ALARM,
        /** The drain is over; the event says how. */
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

    private Transitions() {}

    private static void row(DrainState from, DrainEvent event, DrainState to, Effect effect) {
        if (TABLE.computeIfAbsent(from, each -> new EnumMap<>(DrainEvent.class))
                        .put(event, new Row(to, effect))
                != null) {
            throw new IllegalStateException(from + ", " + event + " twice");
        }
    }

    /** The row of a state and an event; null where that changes nothing. */
    public static Row of(DrainState state, DrainEvent event) {
        return TABLE.get(state).get(event);
    }
}
