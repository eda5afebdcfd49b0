package cedarrudder.lab.cluster;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Stands between each two replicas. A replica tells its peers apart by the address that a datagram
 * comes from, so each replica has a socket here for each of the others: to it, that socket is the
 * other. What copy 2 sends to its socket "5" goes by a {@link Link} and leaves by the socket that
 * is "2" to copy 5. One thread owns all of it.
 */
final class Relay {

    private static final int MAX_BYTES = 2_048;

    /** Forged datagrams between two looks at what else there is to do. */
    private static final int AT_ONCE = 100;

    /** What one replica takes another for. */
    private final class Door extends SimpleChannelInboundHandler<DatagramPacket> {
        final int of;
        final int other;
        final Link link;
        final MessageCorruption forger;
        Channel channel;

        Door(int of, int other, SplittableRandom random) {
            this.of = of;
            this.other = other;
            link = new Link(random.split());
            forger = new MessageCorruption(random.split());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (!packet.sender().equals(replicas.get(of))) {
                return; // This avoids a stranger on this machine.
            }
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            Door to = doors[other][of];
            to.forger.saw(bytes);
            for (Link.Delivery delivery : link.sent(System.nanoTime(), bytes, weather)) {
                group.schedule(
                        () -> {
                            if (link.arrived()) {
                                to.hand(delivery.datagram());
                            }
                        },
                        delivery.at() - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
            }
        }

        /** Hands a datagram to the replica whose door this is, as if from the other. */
        void hand(byte[] bytes) {
            channel.writeAndFlush(
                    new DatagramPacket(Unpooled.wrappedBuffer(bytes), replicas.get(of)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // a replica that is gone: its port is closed
        }
    }

    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("relay", true));
    private final List<InetSocketAddress> replicas;
    private final Door[][] doors;
    private final SplittableRandom random;
    private NetworkConditions weather = NetworkConditions.CALM;

    /**
     * @param replicas where each replica hears its peers
     */
    Relay(List<InetSocketAddress> replicas, long seed) throws IOException, InterruptedException {
        this.replicas = List.copyOf(replicas);
        this.random = new SplittableRandom(seed);
        this.doors = new Door[replicas.size()][replicas.size()];
        for (int of = 0; of < doors.length; of++) {
            for (int other = 0; other < doors.length; other++) {
                if (of != other) {
                    open(new Door(of, other, random));
                }
            }
        }
    }

    private void open(Door door) throws IOException, InterruptedException {
        ChannelFuture bound =
                new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .option(
                                ChannelOption.RCVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAX_BYTES))
                        .handler(door)
                        .bind(new InetSocketAddress("127.0.0.1", 0))
                        .await();
        if (!bound.isSuccess()) {
            end();
            throw new IOException(
                    "the relay has no socket for copies " + door.of + " and " + door.other,
                    bound.cause());
        }
        door.channel = bound.channel();
        doors[door.of][door.other] = door;
    }

    /** What copy {@code of} is told that the other's address is. */
    InetSocketAddress address(int of, int other) {
        return (InetSocketAddress) doors[of][other].channel.localAddress();
    }

    void weather(NetworkConditions next) {
        group.execute(() -> weather = next);
    }

    /** Whether what one sends the other arrives; also what is under way now. */
    void cut(int from, int to, boolean cut) {
        group.execute(() -> doors[from][to].link.cut(cut));
    }

    /** Gives a replica forged datagrams, as if from all others, as fast as can be until then. */
    void flood(int replica, long until) {
        group.execute(
                () -> {
                    for (int i = 0; i < AT_ONCE && replicas.size() > 1; i++) {
                        int other = random.nextInt(replicas.size() - 1);
                        Door door = doors[replica][other < replica ? other : other + 1];
                        door.hand(door.forger.next());
                    }
                    if (System.nanoTime() < until) {
                        flood(replica, until);
                    }
                });
    }

    /** Ends it with all its sockets. */
    void end() throws InterruptedException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
    }
}
