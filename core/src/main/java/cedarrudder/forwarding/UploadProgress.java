package cedarrudder.forwarding;

/**
 * How much of a request's body has been received while it is streamed to an endpoint. This
 * determines from which instant the client's wait counts.
 *
 * <p>The wait counts from the last byte that the client writes. While the proxy does not read the
 * body, because the endpoint does not take it or buffers are short, the client may write the rest
 * into the buffers of the sockets. The wait then counts from the earliest instant at which the
 * client may have written the last byte.
 */
public final class UploadProgress {

    /** The declared length of a body that declares none. */
    public static final long UNKNOWN_LENGTH = -1;

    /**
     * The most that the sockets between a client and the proxy buffer: Linux's default maxima of 4
     * MiB for sending and 6 MiB for receiving.
     */
    static final long MAX_SOCKET_BUFFER_BYTES = 10L * 1024 * 1024;

    private static final long NEVER = Long.MAX_VALUE;

    private final long declaredLength;
    private long receivedBytes;

    /** The instant since which written bytes may be unread; {@link #NEVER} if none are. */
    private long unreadSince = NEVER;

    /** An earlier instant, and how many bytes had been received by then. */
    private long markedAt;

    private long markedBytes;

    /**
     * Creates the progress of a body that begins to be streamed now.
     *
     * @param declaredLength {@link #UNKNOWN_LENGTH} if its head declares none
     */
    public UploadProgress(long declaredLength, long now) {
        this.declaredLength = declaredLength;
        this.markedAt = now;
    }

    /**
     * Sets how many bytes of the body have been received by now.
     *
     * @param undecodedBytes how many bytes that were read wait to be decoded
     * @param socketEmpty whether the client had written no more than these by now
     */
    public void received(long bytes, long undecodedBytes, boolean socketEmpty, long now) {
        boolean progressed = bytes > receivedBytes;
        receivedBytes = bytes;
        boolean incomplete = undecodedBytes == 0 || bytes + undecodedBytes < declaredLength;
        if (socketEmpty && incomplete) {
            unreadSince = NEVER;
            return;
        }
        unreadSince = Math.min(unreadSince, now);
        if (progressed && declaredLength - receivedBytes > MAX_SOCKET_BUFFER_BYTES) {
            unreadSince = now; // the client can't have written the rest before
        } else if (receivedBytes - markedBytes > MAX_SOCKET_BUFFER_BYTES) {
            unreadSince = Math.max(unreadSince, markedAt); // it was still writing then
            markedAt = now;
            markedBytes = receivedBytes;
        }
    }

    /** Returns the earliest instant, up to now, at which the client may have written all. */
    public long mayBeCompleteSince(long now) {
        return Math.min(unreadSince, now);
    }
}
