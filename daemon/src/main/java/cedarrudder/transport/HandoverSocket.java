package cedarrudder.transport;

import io.netty.channel.ChannelException;
import io.netty.channel.DefaultChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket that can be closed without losing the connections that wait to be accepted,
 * and that goes on accepting after a failure.
 */
final class HandoverSocket extends NioServerSocketChannel {

    /**
     * The number of failures in a row after which accepting pauses: not one aborted connection, but
     * a shortage, of which the selector would report the same connection without end.
     */
    private static final int MAX_FAILURES_IN_A_ROW = 8;

    private static final long SHORTAGE_PAUSE_NANOS = 20_000_000L;

    private final ProxyEventLoop loop;
    private boolean accepting = true;
    private boolean paused;
    private int failuresInARow;

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

    /** Sets whether connections are accepted from now on; others wait in the queue. */
    void setAccepting(boolean accepts) {
        accepting = accepts;
        config().setAutoRead(accepting && !paused);
    }

    /**
     * Accepts one connection. A failure is not passed on, for which Netty would accept no further
     * connection for a second.
     */
    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        try {
            SocketChannel next = javaChannel().accept();
            if (next != null) {
                accepted.add(new ClientSocket(this, next));
            }
            failuresInARow = 0;
            return next == null ? 0 : 1;
        } catch (IOException | ChannelException e) {
            if (!isOpen()) {
                throw e;
            }
            onAcceptFailed(e);
            return 0;
        }
    }

    private void onAcceptFailed(Exception cause) {
        loop.log().warn("listener.accept_failed").with("why", cause).write();
        failuresInARow++;
        if (failuresInARow >= MAX_FAILURES_IN_A_ROW) {
            failuresInARow = 0;
            paused = true;
            setAccepting(accepting);
            loop.at(loop.now() + SHORTAGE_PAUSE_NANOS, this::endPause);
        }
    }

    private void endPause() {
        paused = false;
        if (isOpen()) {
            setAccepting(accepting);
        }
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
        for (int failures = 0; failures < MAX_FAILURES_IN_A_ROW; failures++) {
            if (acceptWaiting(waiting)) {
                break;
            }
        }
        try {
            javaChannel().close();
        } catch (IOException e) {
            // the channel closes it once more below
        }
        for (SocketChannel accepted : waiting) {
            pipeline().fireChannelRead(new ClientSocket(this, accepted));
        }
        pipeline().fireChannelReadComplete();
        close();
        then.run();
    }

    /**
     * Accepts until the queue is empty; returns false if that fails before. If it keeps failing,
     * the waiting connections are reset, as they would be if none were accepted here.
     */
    private boolean acceptWaiting(List<SocketChannel> waiting) {
        try {
            for (SocketChannel next = javaChannel().accept();
                    next != null;
                    next = javaChannel().accept()) {
                waiting.add(next);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
