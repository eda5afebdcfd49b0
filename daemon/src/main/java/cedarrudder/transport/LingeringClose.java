package cedarrudder.transport;

import cedarrudder.protocol.HttpDecoder;

/**
 * The lingering close of a connection (RFC 9112, section 9.6): after our output has ended, input is
 * read and dropped until the client ends it too or a limit is reached. Closing a connection with
 * unread bytes would reset it, and the last response would be lost.
 */
final class LingeringClose {

    /** The time without input after which it ends. */
    static final long QUIET_NANOS = 1_000_000_000L;

    /** The maximum duration. */
    private static final long MAX_NANOS = 5_000_000_000L;

    /** The maximum number of dropped bytes. */
    private static final long MAX_BYTES = HttpDecoder.MAX_FLOW;

    private long droppedBytes;
    private long endsAt = Long.MAX_VALUE;

    /** Records that the output has ended at this instant. */
    void start(long now) {
        endsAt = now + MAX_NANOS;
    }

    /** Counts bytes that were read and dropped; returns whether the limit is exceeded. */
    boolean drop(int bytes) {
        droppedBytes += bytes;
        return droppedBytes > MAX_BYTES;
    }

    /** Returns when the connection is closed if nothing more is received. */
    long dueAfter(long now) {
        return Math.min(now + QUIET_NANOS, endsAt);
    }
}
