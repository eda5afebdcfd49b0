package cedarrudder.transport;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket to a node that can be asked, between two requests, whether all is quiet on it. */
final class EndpointSocket extends NioSocketChannel {

    /**
     * What comes where nothing should; nobody looks at it. Off the heap, so that a read needs no
     * copy.
     */
    private static final ByteBuffer SURPLUS = ByteBuffer.allocateDirect(1);

    /**
     * Whether the connection stands and nothing has come on it that was not read yet. Guards
     * against a request being written to a connection that its node has closed, and against bytes
     * left over from the last answer being taken for the answer to the next request: the loop may
     * not have got round to either.
     */
    boolean quiet() {
        try {
            return isActive() && javaChannel().read(SURPLUS.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}
