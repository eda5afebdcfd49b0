package cedarrudder.metrics;

/**
 * The request counters of a process since its start. There is one instance: pages and agents read
 * it, and none of them keeps separate counters. Owned by the event loop; not thread-safe. Reading
 * or incrementing a counter costs nanoseconds and allocates no memory.
 */
public final class RequestMetrics {

    /** How a request ended, by what its client received. */
    public enum End {
        /** An endpoint's response. */
        SERVED,
        /** 429 or 503, from an endpoint or the proxy: a retry is harmless. */
        REJECTED,
        /** Any other status, or a response that is visibly incomplete. */
        FAILED,
        /** Nothing: the client had closed its connection. */
        CLIENT_LEFT
    }

    private final long[][] ended;
    private final long[] accepted;
    private final long[] forwarded;
    private final long[] violations = new long[Violation.values().length];
    private long deadlinesMissed;
    private long openRequests;

    /**
     * Creates counters that start at 0.
     *
     * @param classes number of request classes
     */
    public RequestMetrics(int classes) {
        ended = new long[End.values().length][classes];
        accepted = new long[classes];
        forwarded = new long[classes];
    }

    /** Counts an accepted request of this class. */
    public void onAccepted(int classIndex) {
        accepted[classIndex]++;
        openRequests++;
    }

    /** Counts the end of an accepted request; call it once for each. */
    public void onEnded(int classIndex, End end) {
        ended[end.ordinal()][classIndex]++;
        openRequests--;
    }

    /** Counts a request whose deadline passed before it ended. */
    public void onDeadlineMissed() {
        deadlinesMissed++;
    }

    /** Returns the number of requests whose deadline passed before they ended. */
    public long deadlinesMissed() {
        return deadlinesMissed;
    }

    /** Counts so many requests to which this happened. */
    public void onViolation(Violation violation, int requests) {
        violations[violation.ordinal()] += requests;
    }

    /** Returns the number of requests to which this happened. */
    public long violations(Violation violation) {
        return violations[violation.ordinal()];
    }

    /** Counts an attempt of this class that was written completely to an endpoint. */
    public void onForwarded(int classIndex) {
        forwarded[classIndex]++;
    }

    /** Returns the number of request classes. */
    public int classes() {
        return accepted.length;
    }

    /** Returns the number of requests of a class with this end. */
    public long ended(int classIndex, End end) {
        return ended[end.ordinal()][classIndex];
    }

    /** Returns the number of accepted requests of a class, however they ended. */
    public long accepted(int classIndex) {
        return accepted[classIndex];
    }

    /** Returns the number of attempts of a class that were written completely. */
    public long forwarded(int classIndex) {
        return forwarded[classIndex];
    }

    /** Returns the number of accepted requests that have not ended. */
    public long openRequests() {
        return openRequests;
    }
}
