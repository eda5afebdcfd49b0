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

    /**
     * How long after a closed receive window the client's system may still hold something back: it
     * sends that only once it has learnt that the window is open again.
     */
    private static final long REOPENING_NANOS = 10_000_000L;

    private final ClientSocket socket;
    private final LongSupplier clock;

    /** Whether reading alone detects a disconnect: the socket is read until it is empty. */
    private boolean readsAll = true;

    /** Unless {@link #readsAll}: the last instant at which the client was known to be connected. */
    private long connectedAt;

    /** Unless {@link #readsAll}: the instant since which bytes may be unread. */
    private long unreadSince;

    /** Whether the last read, with reading still on, has left no bytes unread. */
    private boolean lastReadLeftNothing;

    /** Whether the socket was empty after the last read; its window may still have been closed. */
    private boolean wasEmptied;

    /** Whether and since when the reads of the event loop leave bytes unread. */
    private boolean hasBacklog;

    private long backlogSince;

    /** The number of bytes that were read since the socket was last empty. */
    private long readSinceEmpty;

    /** Whether and until when something may be held back by a window that was closed. */
    private boolean reopening;

    private long reopenedAt;

    DisconnectDetector(ClientSocket socket, LongSupplier clock) {
        this.socket = socket;
        this.clock = clock;
    }

    /** Called before each check, and before the socket is read for it. */
    void beforeCheck() {
        if (mayHaveClosedWindow()) {
            onWindowClosed();
        }
    }

    /** Returns whether the client's system may hold back what the window does not take. */
    boolean mayHaveClosedWindow() {
        return socket.mayCloseWindow(readSinceEmpty + socket.unreadBytes());
    }

    private void onWindowClosed() {
        reopening = true;
        reopenedAt = clock.getAsLong() + REOPENING_NANOS;
    }

    /** Returns whether the client's system may still hold back what it sends. */
    boolean isReopening() {
        reopening = reopening && clock.getAsLong() - reopenedAt < 0;
        return reopening;
    }

    /** Records that a read found the socket empty, without an end of stream. */
    void onSocketEmpty() {
        readSinceEmpty = 0;
        if (isReopening()) {
            onUnread();
        } else {
            readsAll = true;
            hasBacklog = false;
        }
        wasEmptied = true;
    }

    /**
     * Records a read of the event loop, which reads a part of what there is in each turn.
     *
     * @param bytes the number of bytes read
     * @param allBytesRead whether it has read all bytes that had been received
     */
    void onRead(int bytes, boolean allBytesRead) {
        readSinceEmpty += bytes;
        if (socket.mayCloseWindow(readSinceEmpty)) {
            onWindowClosed();
        }
        if (allBytesRead) {
            readSinceEmpty = 0;
        }
        lastReadLeftNothing = allBytesRead;
        wasEmptied = allBytesRead;
        if (!allBytesRead && !hasBacklog) {
            hasBacklog = true;
            backlogSince = clock.getAsLong();
        }
    }

    /** Records that the event loop goes on reading, and so will read an end of stream. */
    void onReadingOn() {
        if (lastReadLeftNothing && !isReopening()) {
            readsAll = true;
            hasBacklog = false;
        }
    }

    /** Records that the socket is not read until it is empty from now on. */
    void onUnread() {
        lastReadLeftNothing = false;
        wasEmptied = false;
        if (readsAll) {
            readsAll = false;
            unreadSince = hasBacklog ? backlogSince : clock.getAsLong();
            connectedAt = unreadSince;
        }
    }

    /** Returns the instant since which bytes that are read now may have waited for it. */
    long arrivedSince() {
        if (!readsAll && !(wasEmptied && !isReopening())) {
            return unreadSince;
        }
        return readsAll && hasBacklog ? backlogSince : clock.getAsLong();
    }

    /** Asks the kernel, and returns whether the client has disconnected. */
    boolean hasDisconnected() {
        if (socket.hasClientDisconnected()) {
            return true;
        }
        boolean wouldHaveBeenReceived =
                SocketPolling.isAvailable()
                        && !isReopening()
                        && socket.hasOpenWindow(readSinceEmpty);
        if (!readsAll && wouldHaveBeenReceived) {
            connectedAt = clock.getAsLong();
        }
        return false;
    }

    /** Returns for how long the client has not been known to be connected, in nanoseconds. */
    long nanosWithoutSign() {
        return readsAll ? 0 : clock.getAsLong() - connectedAt;
    }

    /** Returns whether a disconnect up to now, or just before, would have been detected. */
    boolean canDetect() {
        return readsAll || clock.getAsLong() - connectedAt < MAX_UNKNOWN_NANOS;
    }
}
