package cedarrudder.transport;

import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Offers bytes that wait for a socket to it again, at regular intervals.
 *
 * <p>The kernel reports a socket as writable only once a third of its send buffer is free. For a
 * peer that reads slowly that takes much longer than any timeout, although the socket accepts bytes
 * all the time. Only an attempt to write tells a peer that reads slowly from one that has stopped.
 */
final class WriteRetry {

    /** The interval between two attempts. */
    static final long INTERVAL_NANOS = 100_000_000L;

    private final NioSocketChannel channel;
    private long nextAt;

    WriteRetry(NioSocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Writes as much of the flushed bytes as the socket accepts, unless it was tried within the
     * last interval. The channel's own events report the progress.
     */
    void run(long now) {
        if (now >= nextAt) {
            nextAt = now + INTERVAL_NANOS;
            channel.unsafe().forceFlush();
        }
    }
}
