package cedarrudder.transport;

import cedarrudder.protocol.HttpDecoder;

/**
 * The lingering close of a connection (RFC 9112, section 9.6): behind the end of our output what
 * the client still sends is read and dropped, until it ends it too or a bound is reached. Closing a
 * connection with bytes unread would reset it, and the last response would be lost.
 */
final class LingeringClose {

    /** It ends once the client was quiet for this long. */
    static final long QUIET_NANOS = 1_000_000_000L;

    /** It ends after this long in any case. */
    private static final long MAX_NANOS = 5_000_000_000L;

    /** It ends after this many bytes. */
    private static final long MAX_BYTES = HttpDecoder.MAX_FLOW;

    private long droppedBytes;
    private long endsAt = Long.MAX_VALUE;

    /** The output has ended at this instant. */
    void start(long now) {
        endsAt = now + MAX_NANOS;
    }

    /** Counts bytes that were read and dropped; whether there were too many. */
    boolean drop(int bytes) {
        droppedBytes += bytes;
        return droppedBytes > MAX_BYTES;
    }

    /** When the connection is closed if nothing more comes. */
    long dueAfter(long now) {
        return Math.min(now + QUIET_NANOS, endsAt);
    }
}
