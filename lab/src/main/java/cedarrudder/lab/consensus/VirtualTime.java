package cedarrudder.lab.consensus;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that advances from one scheduled event to the next, in nanoseconds. */
public final class VirtualTime {

    private static final long START = 1_000_000_000_000L;

    /** A scheduled action; of those at one instant, the one scheduled first runs first. */
    private record Event(long at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now = START;
    private long scheduled;

    /** Returns the current instant. */
    public long now() {
        return now;
    }

    /** Schedules an action for an instant. */
    public void at(long instant, Runnable action) {
        events.add(new Event(instant, scheduled++, action));
    }

    /**
     * Runs the events of the next {@code length} nanoseconds, and advances the clock by as much.
     */
    public void play(long length) {
        long until = now + length;
        while (!events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
        now = until;
    }
}
