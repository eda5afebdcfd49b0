package cedarrudder.transport;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket to an endpoint that can tell, between two requests, whether nothing came on it. */
final class EndpointSocket extends NioSocketChannel {

    /** Takes what comes where nothing should. Off the heap, so that a read needs no replica. */
    private static final ByteBuffer SURPLUS = ByteBuffer.allocateDirect(1);

    /**
     * Whether the connection stands and nothing has come on it that was not read yet. The endpoint
     * may have closed it, or bytes may be left over from the last answer, which would be taken for
     * the answer to the next request: the loop may not have got round to either.
     */
    boolean isQuiet() {
        try {
            return isActive() && javaChannel().read(SURPLUS.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
