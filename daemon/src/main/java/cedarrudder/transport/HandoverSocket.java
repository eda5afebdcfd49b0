package cedarrudder.transport;

import io.netty.channel.DefaultChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket that can be closed without losing who waits at it. */
final class HandoverSocket extends NioServerSocketChannel {

    private final ProxyEventLoop loop;

    /**
     * @param loop hears what went wrong at it
     */
    HandoverSocket(ProxyEventLoop loop) {
        this.loop = loop;
    }

    /**
     * Tells by the project's log that a connection could not be accepted. This avoids the library's
     * own, which opens files for its first line: with no descriptor left that is an error that ends
     * the loop.
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
     * Takes all connections that wait and closes the socket right behind the last. This avoids
     * connections that the kernel has accepted being reset: it resets what is in the queue of a
     * socket that is closed.
     *
     * <p>The socket leaves the selector first, which takes a turn of the loop or two. Guards
     * against the virtual machine putting the close off until the selector has let go of it, with
     * connections coming meanwhile.
     *
     * @param then runs once it is closed
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
            // such as no descriptor left: who waits is reset, as it would be without this
        }
        try {
            javaChannel().close();
        } catch (IOException e) {
            // it is closed below once more, by its channel
        }
        for (SocketChannel accepted : waiting) {
            pipeline().fireChannelRead(new NioSocketChannel(this, accepted));
        }
        pipeline().fireChannelReadComplete();
        close();
        then.run();
    }
}
