package cedarrudder.forwarding;

/**
 * How much of a response has been received while it streams to its client. This determines for how
 * long the response may continue after the deadline of its request.
 *
 * <p>The deadline bounds the last byte of a short response, and only the first bytes of a long one.
 * A response without a declared length may become either. Past the deadline it continues as long as
 * its bytes keep coming at a rate that makes it a long one before long; once it is a long one, it
 * may take as long as it needs.
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

    /**
     * The longest pause between two pieces past the deadline, and the time past the deadline by
     * which a pause has to end. A response that is still short then ends before it is too late for
     * any answer.
     */
    private static final long MAX_PAUSE_NANOS = 450_000_000L;

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
    private long pausedAt = NOT_PAUSED;

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
    }

    /** Returns the instant at which the first byte was received. */
    long begunAt() {
        return begunAt;
    }

    /** Sets how many bytes of the body have been received by now, from its first on. */
    public void received(long bytes, long now) {
        long added = bytes - receivedBytes;
        receivedBytes = bytes;
        long earned = added * NANOS_PER_SECOND / MIN_BYTES_PER_SECOND;
        sufficesUntil = Math.min(now + MAX_PAUSE_NANOS, Math.max(now, sufficesUntil) + earned);
    }

    /** Records whether the response is read from now on; repeating the last state has no effect. */
    public void readable(boolean reads, long now) {
        if (!reads && pausedAt == NOT_PAUSED) {
            pausedAt = now;
        } else if (reads && pausedAt != NOT_PAUSED) {
            sufficesUntil += now - pausedAt;
            pausedAt = NOT_PAUSED;
        }
    }

    /**
     * Returns the instant until which the response may continue although the deadline of its
     * request has passed, unless more of it is received by then; {@link #NO_LIMIT} if it is long.
     */
    long mayContinueUntil(long now, long deadline) {
        if (declaredLength > maxShortLength || receivedBytes > maxShortLength) {
            return NO_LIMIT;
        }
        if (declaredLength != UNKNOWN_LENGTH) {
            return now;
        }
        if (pausedAt == NOT_PAUSED) {
            return Math.max(sufficesUntil, deadline + MAX_PAUSE_NANOS);
        }
        return pausedAt >= sufficesUntil ? now : now + PAUSED_CHECK_NANOS;
    }
}
