package cedarrudder.lab.load;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Nodes that answer every request at once with the same bytes, and the discovery service that lists
 * them: what stands behind a daemon, or a relay, whose own cost is to be measured.
 */
public final class StandIn implements AutoCloseable {

    /** The list is written again this often, so that a watch doesn't count as silent. */
    private static final long ALIVE_SECONDS = 2;

    private final NioEventLoopGroup group;
    private final List<InetSocketAddress> nodes = new ArrayList<>();
    private final Channel discovery;
    private final byte[] answer;
    private final byte[] report;
    private String list = "";

    /**
     * Begins to listen, nodes and discovery each on a port of their own.
     *
     * @param host the address to listen on
     * @throws InterruptedException if the calling thread is interrupted
     */
    public StandIn(String host, int nodeCount, int bodyBytes, int threads)
            throws InterruptedException {
        group = new NioEventLoopGroup(threads, new DefaultThreadFactory("stand-in"));
        answer = ok("y".repeat(bodyBytes));
        report = ok("TEXT latency_ms=1, inflight=0, util=0.1");
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < nodeCount; i++) {
            InetSocketAddress at = (InetSocketAddress) listen(host, new Node()).localAddress();
            nodes.add(at);
            entries.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"n")
                    .append(i)
                    .append("\",\"addr\":\"")
                    .append(host)
                    .append(':')
                    .append(at.getPort())
                    .append("\",\"zone\":\"room\",\"kind\":\"standard\",")
                    .append("\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}");
        }
        list = "{\"version\":1,\"full\":true,\"servers\":[" + entries + "]}\n";
        discovery = listen(host, new Lists());
    }

    private static byte[] ok(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private Channel listen(String host, Served served) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(new Connection(served));
                            }
                        })
                .bind(host, 0)
                .sync()
                .channel();
    }

    /** Where the nodes listen. */
    public List<InetSocketAddress> nodes() {
        return List.copyOf(nodes);
    }

    /** Where discovery listens. */
    public InetSocketAddress discovery() {
        return (InetSocketAddress) discovery.localAddress();
    }

    /** What discovery tells of the nodes: one JSON object. */
    public String list() {
        return list.strip();
    }

    @Override
    public void close() {
        group.shutdownGracefully();
    }

    /** What answers a request. */
    private interface Served {
        void answer(ChannelHandlerContext context, HttpMessage request);
    }

    private final class Node implements Served {
        @Override
        public void answer(ChannelHandlerContext context, HttpMessage request) {
            boolean asks = request.head().target().equals("/_load");
            context.writeAndFlush(
                    Unpooled.wrappedBuffer(asks ? report : answer), context.voidPromise());
        }
    }

    private final class Lists implements Served {
        @Override
        public void answer(ChannelHandlerContext context, HttpMessage request) {
            if (!request.head().target().contains("follow=1")) {
                context.writeAndFlush(Unpooled.wrappedBuffer(ok(list)));
                return;
            }
            write(context, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list));
            context.executor()
                    .scheduleAtFixedRate(
                            () -> write(context, chunk("\n")),
                            ALIVE_SECONDS,
                            ALIVE_SECONDS,
                            TimeUnit.SECONDS);
        }

        private String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        private void write(ChannelHandlerContext context, String text) {
            context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }

    private static final class Connection extends ChannelInboundHandlerAdapter {
        private final HttpDecoder decoder =
                HttpDecoder.ofRequests(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        private final Served served;

        Connection(Served served) {
            this.served = served;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            try {
                for (HttpMessage next = decoder.decode(in);
                        next != null;
                        next = decoder.decode(in)) {
                    served.answer(context, next);
                }
            } catch (MalformedMessageException e) {
                context.close();
            } finally {
                in.release();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
