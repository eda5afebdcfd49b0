package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * What was asked lately, each with a number drawn at random. An answer that names it was made after
 * that instant, however late it comes, and by someone who had read the question.
 */
final class PendingQueries {

    /**
     * What {@link #sentAt} says of an answer to nothing that was asked, or to what is forgotten.
     */
    static final long NEVER = Long.MIN_VALUE;

    /** Asked of anybody. */
    static final int ANY = -1;

    private static final int MAX = 32;

    private record Query(int number, int of, long at) {}

    private final RandomGenerator random;
    private final Deque<Query> queries = new ArrayDeque<>();

    PendingQueries(RandomGenerator random) {
        this.random = random;
    }

    /** Asks this replica something now; returns the number that the answer is to name. */
    int add(long now, int of) {
        int number = random.nextInt();
        queries.add(new Query(number, of, now));
        if (queries.size() > MAX) {
            queries.remove();
        }
        return number;
    }

    /** When what this one answers was asked. */
    long sentAt(int by, int number) {
        for (Query each : queries) {
            if (each.number == number && (each.of == by || each.of == ANY)) {
                return each.at;
            }
        }
        return NEVER;
    }
}
