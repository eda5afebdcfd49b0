package cedarrudder.forwarding;

/**
 * How much of a request's body has been received while it is streamed to an endpoint. This
 * determines from which instant the client's wait counts.
 *
 * <p>The wait counts from the last byte that the client writes. While the proxy does not read the
 * body, because the endpoint does not take it or buffers are short, the client may write the rest
 * into the buffers of the sockets. The wait then counts from the earliest instant at which the
 * client may have written the last byte: until then more was missing than these buffers hold.
 */
public final class UploadProgress {

    /** The declared length of a body that declares none. */
    public static final long UNKNOWN_LENGTH = -1;

    /** Into how many steps the bytes that the buffers hold are divided to remember their times. */
    private static final int STEPS = 32;

    /**
     * The time for which a socket has to be empty while it is read until its client has nothing
     * left to send: longer than the network takes to deliver what the client's socket holds.
     */
    static final long MIN_QUIET_NANOS = 5_000_000L;

    private static final long NEVER = Long.MAX_VALUE;

    private final long declaredLength;
    private long receivedBytes;

    /** The instant since which written bytes may be unread; {@link #NEVER} if none are. */
    private long unreadSince = NEVER;

    /** The instant since which the socket has been empty; {@link #NEVER} if it may not be. */
    private long emptySince = NEVER;

    /** Earlier instants, and how many bytes had been received by then; a ring, oldest first. */
    private final long[] stepAt = new long[STEPS];

    private final long[] stepBytes = new long[STEPS];
    private int firstStep;
    private int steps;

    /**
     * Creates the progress of a body of which nothing is received yet.
     *
     * @param declaredLength {@link #UNKNOWN_LENGTH} if its head declares none
     */
    public UploadProgress(long declaredLength) {
        this.declaredLength = declaredLength;
    }

    /** Records that the socket is read and was found empty. */
    public void foundEmpty(long now) {
        if (emptySince == NEVER) {
            emptySince = now;
        } else if (now - emptySince >= MIN_QUIET_NANOS) {
            unreadSince = NEVER;
            steps = 0;
        }
    }

    /** Records that the socket is not read from now on. */
    public void stopped(long now) {
        unreadSince = Math.min(unreadSince, now);
        emptySince = NEVER;
    }

    /**
     * Records how many bytes of the body have been received by now.
     *
     * @param socketBufferBytes how many bytes the sockets between the client and the proxy hold
     * @param socketEmpty whether these were all that the socket had received
     */
    public void received(long bytes, long socketBufferBytes, boolean socketEmpty, long now) {
        if (emptySince != NEVER) {
            foundEmpty(now); // until these bytes
        }
        emptySince = socketEmpty ? now : NEVER;
        boolean progressed = bytes > receivedBytes;
        receivedBytes = bytes;
        if (unreadSince == NEVER) {
            return;
        }
        if (progressed && declaredLength - bytes > socketBufferBytes) {
            unreadSince = now;
        }
        while (steps > 0 && bytes - stepBytes[firstStep] > socketBufferBytes) {
            unreadSince = Math.max(unreadSince, stepAt[firstStep]);
            firstStep = (firstStep + 1) % STEPS;
            steps--;
        }
        int last = (firstStep + steps + STEPS - 1) % STEPS;
        boolean nextStep = steps == 0 || bytes - stepBytes[last] > socketBufferBytes / (STEPS - 2);
        if (nextStep && steps < STEPS) {
            int next = (firstStep + steps) % STEPS;
            stepAt[next] = now;
            stepBytes[next] = bytes;
            steps++;
        }
    }

    /** Returns the earliest instant, up to now, at which the client may have written all. */
    public long mayBeCompleteSince(long now) {
        return Math.min(unreadSince, now);
    }
}
