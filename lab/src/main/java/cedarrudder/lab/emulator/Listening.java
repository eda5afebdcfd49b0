package cedarrudder.lab.emulator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What connections find at a port: a listener, a refusal, or silence. Silence is a listener whose
 * queue of connections is full and which accepts none: the system drops what comes then (Linux), as
 * if it were lost.
 */
final class Listening {

    /** What connections find. */
    enum Mode {
        REFUSES,
        OPEN,
        SILENT
    }

    /** A queue of this length takes one more than it says; the third waits for good. */
    private static final int FILLERS = 3;

    private static final int SHORT_QUEUE = 1;
    private static final int LONG_QUEUE = 512;

    /** Until the system has let go of the listener before. */
    private static final long AGAIN_MICROS = 500;

    private static final int MAX_TRIES = 4000;

    private final EventLoop loop;
    private final Port port;
    private final Supplier<ChannelHandler> connection;
    private final Consumer<String> failed;
    private final List<SocketChannel> fillers = new ArrayList<>();
    private Mode mode = Mode.REFUSES;
    private Channel channel;
    private int changes;

    /**
     * @param connection makes what handles an accepted connection
     * @param failed takes what went wrong where no listener can be had
     */
    Listening(
            EventLoop loop,
            Port port,
            Supplier<ChannelHandler> connection,
            Consumer<String> failed) {
        this.loop = loop;
        this.port = port;
        this.connection = connection;
        this.failed = failed;
    }

    Port port() {
        return port;
    }

    /** Sets what connections find from now on; those that are up stay so. */
    void set(Mode next) {
        if (next == mode) {
            return;
        }
        mode = next;
        int change = ++changes;
        stop();
        if (next != Mode.REFUSES) {
            bind(change, 0);
        }
    }

    private void stop() {
        if (channel != null) {
            channel.close();
            channel = null;
        }
        for (SocketChannel filler : fillers) {
            try {
                filler.close();
            } catch (IOException e) {
                // it is gone in any case
            }
        }
        fillers.clear();
    }

    private void bind(int change, int tries) {
        boolean silent = mode == Mode.SILENT;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, silent ? SHORT_QUEUE : LONG_QUEUE)
                        .option(ChannelOption.AUTO_READ, !silent)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        accepted.pipeline().addLast(connection.get());
                                    }
                                })
                        .bind(port.address());
        bound.addListener(
                done -> {
                    if (change != changes) {
                        bound.channel().close();
                    } else if (done.isSuccess()) {
                        channel = bound.channel();
                        if (silent) {
                            fill();
                        }
                    } else if (tries < MAX_TRIES) {
                        loop.schedule(
                                () -> {
                                    if (change == changes) {
                                        bind(change, tries + 1);
                                    }
                                },
                                AGAIN_MICROS,
                                TimeUnit.MICROSECONDS);
                    } else {
                        failed.accept(
                                "can't listen on "
                                        + port.text()
                                        + ": "
                                        + done.cause().getMessage());
                    }
                });
    }

    private void fill() {
        try {
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(port.address());
            }
        } catch (IOException e) {
            failed.accept("can't fall silent on " + port.text() + ": " + e.getMessage());
        }
    }

    /** Lets go of the port; connections that are up stay so. */
    void close() {
        set(Mode.REFUSES);
        try {
            port.close();
        } catch (IOException e) {
            failed.accept("can't let go of " + port.text() + ": " + e.getMessage());
        }
    }
}
