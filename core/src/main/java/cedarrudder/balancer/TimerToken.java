package cedarrudder.balancer;

/**
 * Encodes timers as numbers: the kind of a timer in the upper byte and, for a timer of one request,
 * the id of the request below it.
 */
final class TimerToken {

    /** The purpose of a timer. */
    enum Kind {
        /** Regular check of probes and connections. */
        TICK,
        /** Check of the queue. */
        QUEUE,
        /** Poll of discovery. */
        POLL,
        /** Check whether to hedge a request whose response is late. */
        HEDGE
    }

    private static final int KIND_SHIFT = 56;
    private static final long ID_MASK = (1L << KIND_SHIFT) - 1;
    private static final Kind[] KINDS = Kind.values();

    private TimerToken() {}

    static long of(Kind kind) {
        return of(kind, 0);
    }

    static long of(Kind kind, long requestId) {
        return ((long) kind.ordinal() << KIND_SHIFT) + requestId;
    }

    /** Returns the kind of a timer, or null if {@link #of} never returned this token. */
    static Kind kind(long token) {
        long ordinal = token >> KIND_SHIFT;
        return ordinal >= 0 && ordinal < KINDS.length ? KINDS[(int) ordinal] : null;
    }

    static long requestId(long token) {
        return token & ID_MASK;
    }
}
