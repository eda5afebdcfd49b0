package cedarrudder.transport;

import io.netty.channel.DefaultChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that can be closed without losing the connections that wait to be accepted.
 */
final class HandoverSocket extends NioServerSocketChannel {

    private final ProxyEventLoop loop;

    /**
     * Creates a socket that is not bound yet.
     *
     * @param loop provides the log for failures of the socket
     */
    HandoverSocket(ProxyEventLoop loop) {
        this.loop = loop;
    }

    /**
     * Creates a pipeline that logs failures to accept a connection to the proxy's own log. Netty's
     * logger opens files for its first line, which fails without a free descriptor, and that error
     * would end the event loop.
     */
    @Override
    protected DefaultChannelPipeline newChannelPipeline() {
        return new DefaultChannelPipeline(this) {
            @Override
            protected void onUnhandledInboundException(Throwable cause) {
                loop.log().warn("listener.accept_failed").with("why", cause).write();
            }
        };
    }

    /**
     * Accepts all waiting connections and closes the socket right after the last. The kernel resets
     * the connections that are in the queue of a socket when it is closed.
     *
     * <p>The socket is removed from the selector first, which takes one or two turns of the event
     * loop. Otherwise the virtual machine would delay the close until the selector has released the
     * socket, while further connections arrive.
     *
     * @param then runs once the socket is closed
     */
    void closeAfterAcceptingAll(Runnable then) {
        EventLoop turns = eventLoop();
        deregister().addListener(left -> closeOnceDeregistered(turns, then));
    }

    private void closeOnceDeregistered(EventLoop turns, Runnable then) {
        if (javaChannel().isRegistered()) {
            turns.execute(() -> closeOnceDeregistered(turns, then));
            return;
        }
        List<SocketChannel> waiting = new ArrayList<>();
        try {
            for (SocketChannel next = javaChannel().accept();
                    next != null;
                    next = javaChannel().accept()) {
                waiting.add(next);
            }
        } catch (IOException e) {
            // For example, no descriptor is left: waiting connections are reset, as they would be
            // if none were accepted here.
        }
        try {
            javaChannel().close();
        } catch (IOException e) {
            // the channel closes it once more below
        }
        for (SocketChannel accepted : waiting) {
            pipeline().fireChannelRead(new NioSocketChannel(this, accepted));
        }
        pipeline().fireChannelReadComplete();
        close();
        then.run();
    }
}
