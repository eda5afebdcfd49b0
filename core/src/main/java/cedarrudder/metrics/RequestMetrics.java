package cedarrudder.metrics;

/**
 * What a process has counted since its start, made once: pages and agents read it, and none counts
 * for itself. Owned by the event loop; not thread-safe. A look or a count costs nanoseconds and no
 * memory.
 */
public final class RequestMetrics {

    /** How a request ended, by what its client got. */
    public enum End {
        /** An endpoint's answer. */
        SERVED,
        /** 429 or 503, whoever worded it: a repeat is harmless. */
        REJECTED,
        /** Any other status, or an answer that is visibly not whole. */
        FAILED,
        /** Nothing: the client had gone. */
        CLIENT_LEFT
    }

    private final long[][] ended;
    private final long[] accepted;
    private final long[] forwarded;
    private long deadlinesMissed;
    private long openRequests;

    /**
     * @param classes how many classes of requests there are
     */
    public RequestMetrics(int classes) {
        ended = new long[End.values().length][classes];
        accepted = new long[classes];
        forwarded = new long[classes];
    }

    /** A request of this class was taken. */
    public void onAccepted(int kind) {
        accepted[kind]++;
        openRequests++;
    }

    /** One that was taken has ended; to be called once for each. */
    public void onEnded(int kind, End how) {
        ended[how.ordinal()][kind]++;
        openRequests--;
    }

    /** The time of one was over before it had ended. */
    public void onDeadlineMissed() {
        deadlinesMissed++;
    }

    /** requests whose time was over before they had ended. */
    public long deadlinesMissed() {
        return deadlinesMissed;
    }

    /** An attempt of this class was written whole to an endpoint. */
    public void onForwarded(int kind) {
        forwarded[kind]++;
    }

    /** How many classes there are. */
    public int classes() {
        return accepted.length;
    }

    /** requests of a class that ended like this. */
    public long ended(int kind, End how) {
        return ended[how.ordinal()][kind];
    }

    /** requests of a class that were taken, however they ended. */
    public long accepted(int kind) {
        return accepted[kind];
    }

    /** Attempts of a class that were written whole. */
    public long forwarded(int kind) {
        return forwarded[kind];
    }

    /** requests that were taken and have not ended. */
    public long openRequests() {
        return openRequests;
    }
}
