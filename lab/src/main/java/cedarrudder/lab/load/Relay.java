package cedarrudder.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Passes bytes on between a client's connection and one of its own to a target, on one event loop,
 * and reads nothing in them: the least that any proxy on Netty can cost, to hold the daemon's
 * figures against.
 */
public final class Relay implements AutoCloseable {

    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("relay"));
    private final Channel listening;

    /**
     * Begins to listen.
     *
     * @param at port 0: one is chosen
     * @param targets connections go to them in turn
     * @throws InterruptedException if the calling thread is interrupted
     */
    public Relay(InetSocketAddress at, List<InetSocketAddress> targets)
            throws InterruptedException {
        int[] turn = new int[1];
        listening =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel caller) {
                                        InetSocketAddress to =
                                                targets.get(turn[0]++ % targets.size());
                                        Channel target =
                                                new Bootstrap()
                                                        .group(caller.eventLoop())
                                                        .channel(NioSocketChannel.class)
                                                        .option(ChannelOption.TCP_NODELAY, true)
                                                        .handler(new Onward(caller))
                                                        .connect(to)
                                                        .addListener(
                                                                connected -> {
                                                                    if (connected.isSuccess()) {
                                                                        caller.config()
                                                                                .setAutoRead(true);
                                                                    } else {
                                                                        caller.close();
                                                                    }
                                                                })
                                                        .channel();
                                        caller.pipeline().addLast(new Onward(target));
                                    }
                                })
                        .bind(at)
                        .sync()
                        .channel();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }

    private static final class Onward extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Onward(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            to.write(bytes, to.voidPromise());
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            to.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
