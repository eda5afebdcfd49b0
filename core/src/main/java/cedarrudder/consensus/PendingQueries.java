package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * What was asked lately, each with a number drawn at random. An answer that names it was made after
 * that instant, however late it comes, and by someone who had read the question.
 */
final class PendingQueries {

    /** What {@link #at} says of an answer to nothing that was asked, or to what is forgotten. */
    static final long NEVER = Long.MIN_VALUE;

    /** Asked of anybody. */
    static final int ANY = -1;

    private static final int MAX = 32;

    private record Asked(int number, int of, long at) {}

    private final RandomGenerator random;
    private final Deque<Asked> asked = new ArrayDeque<>();

    PendingQueries(RandomGenerator random) {
        this.random = random;
    }

    /** Asks this replica something now; returns the number that the answer is to name. */
    int ask(long now, int of) {
        int number = random.nextInt();
        asked.add(new Asked(number, of, now));
        if (asked.size() > MAX) {
            asked.remove();
        }
        return number;
    }

    /** When what this one answers was asked. */
    long at(int by, int number) {
        for (Asked each : asked) {
            if (each.number == number && (each.of == by || each.of == ANY)) {
                return each.at;
            }
        }
        return NEVER;
    }
}
