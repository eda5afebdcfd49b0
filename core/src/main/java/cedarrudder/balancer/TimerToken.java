package cedarrudder.balancer;

/**
 * The tokens of timers, which travel as numbers: the kind of a timer in the upper byte and, for
 * those of one request, its id below.
 */
final class TimerToken {

    /** What a timer is for. */
    enum Kind {
        /** The regular look at probes and connections. */
        TICK,
        /** The queue is looked through again. */
        QUEUE,
        /** Discovery is polled. */
        POLL,
        /** A request whose answer is late may be hedged. */
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

    /** The kind of a timer; null where {@link #of} never made this token. */
    static Kind kind(long token) {
        long ordinal = token >> KIND_SHIFT;
        return ordinal >= 0 && ordinal < KINDS.length ? KINDS[(int) ordinal] : null;
    }

    static long requestId(long token) {
        return token & ID_MASK;
    }
}
