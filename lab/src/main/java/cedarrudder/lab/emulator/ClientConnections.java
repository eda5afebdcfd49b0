package cedarrudder.lab.emulator;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** Connections of clients to one proxy: kept, and one more opened where all are busy. */
final class ClientConnections {

    private static final int CONNECT_MILLIS = 1000;

    private final Emulation emulation;
    private final InetSocketAddress address;
    private final Bootstrap bootstrap;
    private final Deque<Link> idle = new ArrayDeque<>();

    ClientConnections(Emulation emulation, InetSocketAddress address) {
        this.emulation = emulation;
        this.address = address;
        this.bootstrap =
                new Bootstrap()
                        .group(emulation.loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    void send(WireRequest what) {
        Link link = idle.pollLast();
        if (link != null) {
            link.send(what);
        } else {
            sendAnew(what);
        }
    }

    /** Sends on a new connection. */
    void sendAnew(WireRequest what) {
        Link link = new Link();
        bootstrap
                .clone()
                .handler(link)
                .connect(address)
                .addListener(
                        connected ->
                                emulation.time.turn(
                                        () -> {
                                            if (!connected.isSuccess()) {
                                                what.unreachable();
                                            } else if (what.wanted()) {
                                                link.send(what);
                                            } else {
                                                idle.add(link);
                                            }
                                        }));
    }

    /** A connection, which carries one try at a time. */
    final class Link extends ChannelInboundHandlerAdapter {
        private final HttpDecoder decoder =
                HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        private Channel channel;
        private WireRequest current;
        private boolean used;
        private boolean heard;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        private void send(WireRequest what) {
            current = what;
            heard = false;
            channel.writeAndFlush(what.bytes(this));
        }

        /** The client goes away. */
        void hangUp() {
            current = null;
            channel.close();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            emulation.time.turn(() -> read(in));
            in.release();
        }

        private void read(ByteBuf in) {
            heard = true;
            try {
                HttpMessage answer = decoder.decode(in);
                if (answer == null) {
                    return;
                }
                WireRequest what = current;
                current = null;
                used = true;
                if (what == null || in.isReadable() || !answer.head().keepsAlive()) {
                    channel.close();
                } else {
                    idle.add(this);
                }
                if (what != null) {
                    what.answered(answer);
                }
            } catch (MalformedMessageException e) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            emulation.time.turn(
                    () -> {
                        idle.remove(this);
                        WireRequest what = current;
                        current = null;
                        if (what == null) {
                            return;
                        }
                        HttpMessage whole = decoder.atEnd();
                        if (whole != null) {
                            what.answered(whole);
                        } else if (used && !heard) {
                            what.crossed();
                        } else {
                            what.broke();
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset is told to channelInactive as an end.
            channel.close();
        }
    }
}
