package cedarrudder.metrics;

/**
 * What a process has counted since its start, made once: pages and agents read it, and none counts
 * for itself. Owned by the event loop; not thread-safe. A look or a count costs nanoseconds and no
 * memory.
 */
public final class RequestMetrics {

    /** How an RPC ended, by what its caller got. */
    public enum End {
        /** A node's answer. */
        FULFILLED,
        /** 429 or 503, whoever worded it: a repeat is harmless. */
        THROTTLED,
        /** Any other status, or an answer that is visibly not whole. */
        FAULTED,
        /** Nothing: the caller had gone. */
        LEFT
    }

    private final long[][] ended;
    private final long[] taken;
    private final long[] relayed;
    private long late;
    private long open;

    /**
     * @param classes how many classes of requests there are
     */
    public RequestMetrics(int classes) {
        ended = new long[End.values().length][classes];
        taken = new long[classes];
        relayed = new long[classes];
    }

    /** An RPC of this class was taken. */
    public void taken(int kind) {
        taken[kind]++;
        open++;
    }

    /** One that was taken has ended; to be called once for each. */
    public void ended(int kind, End how) {
        ended[how.ordinal()][kind]++;
        open--;
    }

    /** The time of one was over before it had ended. */
    public void late() {
        late++;
    }

    /** RPCs whose time was over before they had ended. */
    public long allLate() {
        return late;
    }

    /** An attempt of this class was written whole to a node. */
    public void relayed(int kind) {
        relayed[kind]++;
    }

    /** How many classes there are. */
    public int classes() {
        return taken.length;
    }

    /** RPCs of a class that ended like this. */
    public long allEnded(int kind, End how) {
        return ended[how.ordinal()][kind];
    }

    /** RPCs of a class that were taken, however they ended. */
    public long allTaken(int kind) {
        return taken[kind];
    }

    /** Attempts of a class that were written whole. */
    public long allRelayed(int kind) {
        return relayed[kind];
    }

    /** RPCs that were taken and have not ended. */
    public long open() {
        return open;
    }
}
