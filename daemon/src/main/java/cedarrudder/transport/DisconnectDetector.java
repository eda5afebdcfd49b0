package cedarrudder.transport;

import java.util.function.LongSupplier;

/**
 * Determines whether a client that sends more than is read is still connected.
 *
 * <p>An end of stream follows the bytes that the client has sent. It is detected by reading as long
 * as the socket is read until it is empty. Otherwise the kernel is asked: it knows an end of stream
 * that it has received behind unread bytes. It does not know one that the client's own system holds
 * back because the receive window is closed; then the client is unknown to be connected.
 */
final class DisconnectDetector {

    /**
     * How long a client that was connected is considered to be. Half of the time within which an
     * attempt may still start after its client's end of stream.
     */
    private static final long MAX_UNKNOWN_NANOS = 50_000_000L;

    private final ClientSocket socket;
    private final LongSupplier clock;

    /** Whether reading alone detects a disconnect: the socket is read until it is empty. */
    private boolean readsAll = true;

    /** Unless {@link #readsAll}: the last instant at which the client was known to be connected. */
    private long connectedAt;

    DisconnectDetector(ClientSocket socket, LongSupplier clock) {
        this.socket = socket;
        this.clock = clock;
    }

    /** Records that a read found the socket empty, without an end of stream. */
    void onSocketEmpty() {
        readsAll = true;
    }

    /** Records that the socket is not read until it is empty from now on. */
    void onUnread() {
        if (readsAll) {
            readsAll = false;
            connectedAt = clock.getAsLong();
        }
    }

    /** Asks the kernel, and returns whether the client has disconnected. */
    boolean hasDisconnected() {
        if (socket.hasClientDisconnected()) {
            return true;
        }
        if (!readsAll && socket.wouldReceiveDisconnect()) {
            connectedAt = clock.getAsLong();
        }
        return false;
    }

    /** Returns whether a disconnect up to now, or just before, would have been detected. */
    boolean canDetect() {
        return readsAll || clock.getAsLong() - connectedAt < MAX_UNKNOWN_NANOS;
    }
}
