package cedarrudder.transport;

import cedarrudder.forwarding.PeerTransport;
import cedarrudder.forwarding.RequestForwarder;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The socket for the datagrams that the proxies of one tier exchange. */
public final class PeerSocket implements PeerTransport {

    /** The maximum size of a message; a longer one violates the protocol. */
    private static final int MAX_MESSAGE_BYTES = 256;

    /** Receives a message from another proxy, which is given by its number. */
    interface MessageHandler {
        void onMessage(int from, byte[] message);
    }

    private final ProxyEventLoop loop;
    private final List<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Map<Byte, MessageHandler> handlersByFirstByte = new HashMap<>();
    private MessageHandler defaultHandler;
    private Channel channel;

    /**
     * Creates a socket that is not open yet.
     *
     * @param peers the address of each proxy of the tier, by its number
     * @param broadcastAddress an address that reaches all proxies, or null if there is none
     */
    public PeerSocket(
            ProxyEventLoop loop,
            RequestForwarder<?, ?> forwarder,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress) {
        this.loop = loop;
        this.defaultHandler = forwarder::peerMessage;
        this.peers = peers;
        this.broadcastAddress = broadcastAddress;
    }

    /**
     * Listens at an address; blocks until the socket is bound.
     *
     * @param shared whether another process of this proxy may listen there too
     */
    public void listen(InetSocketAddress address, boolean shared)
            throws IOException, InterruptedException {
        ChannelFuture bound = bind(address, shared).await();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + address + ": " + bound.cause().getMessage());
        }
        channel = bound.channel();
    }

    /**
     * Listens at an address at which another process of this proxy has listened; called on the
     * event loop.
     */
    public void takeOver(InetSocketAddress address, Runnable then) {
        ChannelFuture begun = bind(address, true);
        // Set at once, since close() may be called before the socket is bound.
        channel = begun.channel();
        begun.addListener(
                (ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        then.run();
                    } else {
                        loop.log().warn("peer.socket_failed").with("error", bound.cause()).write();
                    }
                });
    }

    private ChannelFuture bind(InetSocketAddress address, boolean shared) {
        return new Bootstrap()
                .group(loop.group())
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, loop.buffers())
                .option(HttpServer.REUSE_PORT, shared)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_MESSAGE_BYTES + 1))
                .handler(new InboundHandler())
                .bind(address);
    }

    /**
     * Closes the socket, so that further datagrams of peers go to another process; called on the
     * event loop.
     */
    void close() {
        channel.close();
    }

    /** Sets the handler of messages that begin with this byte; called on the event loop. */
    void setHandler(byte first, MessageHandler next) {
        handlersByFirstByte.put(first, next);
    }

    /**
     * Sets the handler of all other messages, in place of the forwarder; called on the event loop.
     */
    void setHandler(MessageHandler next) {
        defaultHandler = next;
    }

    @Override
    public void send(int replica, byte[] message) {
        InetSocketAddress to =
                replica < 0 ? broadcastAddress : replica < peers.size() ? peers.get(replica) : null;
        if (channel == null || to == null || message.length > MAX_MESSAGE_BYTES) {
            loop.log()
                    .warn("peer.send_failed")
                    .with("replica", replica)
                    .with("bytes", message.length)
                    .write();
            return;
        }
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), to));
    }

    private final class InboundHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            int from = peers.indexOf(packet.sender());
            if (from < 0 || packet.content().readableBytes() > MAX_MESSAGE_BYTES) {
                loop.log()
                        .warn("peer.datagram_rejected")
                        .with("from", packet.sender())
                        .with("bytes", packet.content().readableBytes())
                        .write();
                return;
            }
            byte[] message = ByteBufUtil.getBytes(packet.content());
            (message.length == 0
                            ? defaultHandler
                            : handlersByFirstByte.getOrDefault(message[0], defaultHandler))
                    .onMessage(from, message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The socket stays open, since the cause may be just the closed port of a peer.
            loop.log().warn("peer.socket_failed").with("error", cause).write();
        }
    }
}
