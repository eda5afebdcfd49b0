package cedarrudder.forwarding;

/**
 * How much of a response has been received while it streams to its client. This determines for how
 * long the response may continue after the deadline of its request.
 *
 * <p>The deadline bounds the last byte of a short response, and only the first bytes of a long one.
 * A response without a declared length may become either. Past the deadline it continues as long as
 * its bytes come, in the mean, at a rate that makes it a long one before long, and pauses no longer
 * than what has come so far accounts for; once it is a long one, it may take as long as it needs.
 * If it ends as a short one long after the deadline, its last byte is too late.
 *
 * <p>The time during which the proxy itself does not read the response, because the client does not
 * take it or buffers are short, does not count against the endpoint.
 */
public final class StreamedResponse {

    /** The declared length of a response that declares none. */
    public static final long UNKNOWN_LENGTH = -1;

    /** The instant until which a long response may continue. */
    static final long NO_LIMIT = Long.MAX_VALUE;

    /** The rate below which a response of unknown length counts as short past its deadline. */
    private static final long MIN_BYTES_PER_SECOND = 8_000;

    /** The longest pause past the deadline, after bytes that came at a sufficient rate. */
    private static final long MAX_PAUSE_NANOS = 2_000_000_000L;

    /**
     * The time past the deadline by which the last byte of a short response is still an answer; and
     * the longest pause after bytes that came too slowly.
     */
    private static final long GRACE_NANOS = 450_000_000L;

    /** The shortest time over which a rate is determined: bytes arrive in pieces of any size. */
    private static final long RATE_INTERVAL_NANOS = 100_000_000L;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The interval at which the limit of a response that is not read at present is checked. */
    private static final long PAUSED_CHECK_NANOS = 10_000_000L;

    private static final long NOT_PAUSED = Long.MAX_VALUE;

    private final long declaredLength;
    private final long maxShortLength;
    private final long begunAt;

    /** The instant until which what was received so far suffices. */
    private long sufficesUntil;

    private long receivedBytes;
    private long intervalStart;
    private long intervalBytes;
    private long pausedAt = NOT_PAUSED;

    /** The total time during which the response was not read. */
    private long pausedNanos;

    /**
     * Creates the state of a response that begins to stream.
     *
     * @param declaredLength {@link #UNKNOWN_LENGTH} if its head declares none
     * @param maxShortLength the maximum length of a short response, in bytes
     * @param begunAt the instant at which its first byte was received
     */
    public StreamedResponse(long declaredLength, long maxShortLength, long begunAt) {
        this.declaredLength = declaredLength;
        this.maxShortLength = maxShortLength;
        this.begunAt = begunAt;
        this.sufficesUntil = begunAt;
        this.intervalStart = begunAt;
    }

    /** Returns the instant at which the first byte was received. */
    long begunAt() {
        return begunAt;
    }

    /** Sets how many bytes of the body have been received by now, from its first on. */
    public void received(long bytes, long now) {
        long added = bytes - receivedBytes;
        receivedBytes = bytes;
        sufficesUntil =
                Math.min(
                        now + MAX_PAUSE_NANOS,
                        Math.max(now, sufficesUntil) + nanosAtMinRate(added));
        if (isTooSlow(added, now)) {
            sufficesUntil = Math.min(sufficesUntil, now + GRACE_NANOS);
        }
    }

    /** Adds bytes of the body that have been received by now. */
    public void receivedMore(long bytes, long now) {
        received(receivedBytes + bytes, now);
    }

    /** Adds bytes to the present interval, and returns whether it ends with too low a rate. */
    private boolean isTooSlow(long added, long now) {
        intervalBytes += added;
        long elapsed = now - intervalStart;
        if (elapsed < RATE_INTERVAL_NANOS) {
            return false;
        }
        boolean tooSlow = nanosAtMinRate(intervalBytes) < elapsed;
        intervalStart = now;
        intervalBytes = 0;
        return tooSlow;
    }

    private static long nanosAtMinRate(long bytes) {
        return bytes * NANOS_PER_SECOND / MIN_BYTES_PER_SECOND;
    }

    /** Records whether the response is read from now on; repeating the last state has no effect. */
    public void readable(boolean reads, long now) {
        if (!reads && pausedAt == NOT_PAUSED) {
            pausedAt = now;
        } else if (reads && pausedAt != NOT_PAUSED) {
            long paused = now - pausedAt;
            sufficesUntil += paused;
            intervalStart += paused;
            pausedNanos += paused;
            pausedAt = NOT_PAUSED;
        }
    }

    /**
     * Returns the instant until which the response may continue although the deadline of its
     * request has passed, and at which this is to be asked again; not later than now if it has to
     * end, {@link #NO_LIMIT} if it is long.
     */
    long mayContinueUntil(long now, long deadline) {
        if (isLong()) {
            return NO_LIMIT;
        }
        if (declaredLength != UNKNOWN_LENGTH) {
            return now;
        }
        if (pausedAt == NOT_PAUSED) {
            // Bytes that come too slowly from now on leave it that much time at least.
            long atLeast = Math.min(sufficesUntil, now + GRACE_NANOS);
            return Math.max(atLeast, deadline + GRACE_NANOS);
        }
        return pausedAt >= sufficesUntil ? now : now + PAUSED_CHECK_NANOS;
    }

    /**
     * Returns whether the response, which ends now, is a short one whose last byte is too late for
     * any answer.
     */
    boolean endsTooLate(long now, long deadline) {
        return !isLong() && now - pausedNanos > deadline + GRACE_NANOS;
    }

    private boolean isLong() {
        return declaredLength > maxShortLength || receivedBytes > maxShortLength;
    }
}
