package cedarrudder.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A socket to a client, which can tell more about its unread input than that there is some. */
final class ClientSocket extends NioSocketChannel {

    /**
     * The maximum number of bytes that the receive window takes in any case before it closes. Linux
     * closes the window of a socket with default buffers at over half as many more.
     */
    private static final int MAX_OPEN_WINDOW_BYTES = 48 * 1024;

    private final int maxOpenWindowBytes;

    ClientSocket(Channel parent, SocketChannel accepted) {
        super(parent, accepted);
        // Linux only enlarges the buffer later; a closed socket has no size any more.
        maxOpenWindowBytes =
                Math.min(MAX_OPEN_WINDOW_BYTES, config().getReceiveBufferSize() * 3 / 4);
    }

    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
        int read = super.doReadBytes(bytes);
        if (read < 0) {
            SocketPolling.checkAtEndOfStream(javaChannel());
        }
        return read;
    }

    /**
     * Returns whether the client's end of stream or a reset has been received, whether or not
     * unread bytes are in front of it.
     */
    boolean hasClientDisconnected() {
        return SocketPolling.hasPeerDisconnected(javaChannel());
    }

    /**
     * Returns whether the receive window has been open since the socket was last empty, so that the
     * client's own system holds nothing back; false if that is unknown. A window that was closed
     * need not open before the socket is empty again, however little is unread.
     *
     * @param readSinceEmpty the number of bytes that were read since the socket was last empty
     */
    boolean hasOpenWindow(long readSinceEmpty) {
        int unread = unreadBytes();
        return unread != SocketPolling.UNKNOWN && readSinceEmpty + unread <= maxOpenWindowBytes;
    }

    /**
     * Returns whether this many bytes since the socket was last empty may have closed the window.
     */
    boolean mayCloseWindow(long bytesSinceEmpty) {
        return bytesSinceEmpty > maxOpenWindowBytes;
    }

    /** Returns how many received bytes are unread; negative if that is unknown. */
    int unreadBytes() {
        return SocketPolling.unreadBytes(javaChannel());
    }
}
