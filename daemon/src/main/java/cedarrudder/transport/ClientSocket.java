package cedarrudder.transport;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A socket to a client, which can tell more about its unread input than that there is some. */
final class ClientSocket extends NioSocketChannel {

    /**
     * The maximum number of unread bytes with which the receive window is considered open. Linux
     * closes the window of a socket with default buffers at more than twice as many.
     */
    private static final int MAX_UNREAD_WITH_OPEN_WINDOW = 32 * 1024;

    ClientSocket(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
    }

    /**
     * Returns whether the client's end of stream or a reset has been received, whether or not
     * unread bytes are in front of it.
     */
    boolean hasClientDisconnected() {
        return SocketPolling.hasPeerDisconnected(javaChannel());
    }

    /**
     * Returns whether the receive window is open, so that the client's own system holds nothing
     * back; false if that is unknown.
     */
    boolean hasOpenWindow() {
        int unread = unreadBytes();
        return unread != SocketPolling.UNKNOWN && unread <= maxUnreadWithOpenWindow();
    }

    /** Returns whether the receive window may be closed; false if that is unknown. */
    boolean mayHaveClosedWindow() {
        return unreadBytes() > maxUnreadWithOpenWindow();
    }

    /** Returns how many received bytes are unread; negative if that is unknown. */
    int unreadBytes() {
        return SocketPolling.unreadBytes(javaChannel());
    }

    private int maxUnreadWithOpenWindow() {
        return Math.min(MAX_UNREAD_WITH_OPEN_WINDOW, config().getReceiveBufferSize() / 2);
    }
}
