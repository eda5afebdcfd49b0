package cedarrudder.lab.consensus;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from one scheduled event to the next, in nanoseconds. */
public final class VirtualTime {

    private static final long START = 1_000_000_000_000L;

    /** What happens at an instant; of those at one instant the one made first comes first. */
    private record Event(long at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long now = START;
    private long scheduled;

    /** The present instant. */
    public long now() {
        return now;
    }

    /** Runs this at an instant. */
    public void at(long instant, Runnable action) {
        events.add(new Event(instant, scheduled++, action));
    }

    /** Plays on for this long, in nanoseconds. */
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
