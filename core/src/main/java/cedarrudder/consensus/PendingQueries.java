package cedarrudder.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/**
 * The queries that were sent recently, each with an ID drawn at random. A response that repeats the
 * ID was created after the query was sent, however late it arrives, and by a replica that had read
 * the query.
 */
final class PendingQueries {

    /**
     * Returned by {@link #sentAt} if the response answers no query, or one that is no longer
     * remembered.
     */
    static final long NEVER = Long.MIN_VALUE;

    /** The recipient of a query that any replica may answer. */
    static final int ANY = -1;

    private static final int MAX = 32;

    private record Query(int queryId, int recipient, long sentTime) {}

    private final RandomGenerator random;
    private final Deque<Query> queries = new ArrayDeque<>();

    PendingQueries(RandomGenerator random) {
        this.random = random;
    }

    /** Records a query to a replica; returns the ID that the response must repeat. */
    int add(long now, int recipient) {
        int queryId = random.nextInt();
        queries.add(new Query(queryId, recipient, now));
        if (queries.size() > MAX) {
            queries.remove();
        }
        return queryId;
    }

    /** Returns when the query that a replica answers was sent, or {@link #NEVER}. */
    long sentAt(int sender, int queryId) {
        for (Query each : queries) {
            if (each.queryId == queryId && (each.recipient == sender || each.recipient == ANY)) {
                return each.sentTime;
            }
        }
        return NEVER;
    }
}
