package cedarrudder.transport;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A socket to an endpoint that can check, between two requests, that no input has been received.
 */
final class EndpointSocket extends NioSocketChannel {

    /** Receives an unexpected byte. Off the heap, so that a read needs no copy. */
    private static final ByteBuffer UNEXPECTED_BYTE = ByteBuffer.allocateDirect(1);

    /**
     * Returns whether the connection is open and has no unread input. The endpoint may have closed
     * it, or bytes may be left over from the last response, which would be read as the response to
     * the next request; the event loop may not have processed either yet.
     */
    boolean isQuiet() {
        try {
            return isActive() && javaChannel().read(UNEXPECTED_BYTE.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
