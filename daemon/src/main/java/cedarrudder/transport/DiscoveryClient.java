package cedarrudder.transport;

import cedarrudder.protocol.BadMessageException;
import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpEncoder;
import cedarrudder.protocol.JsonObject;
import cedarrudder.protocol.Message;
import cedarrudder.protocol.ResolverResult;
import cedarrudder.protocol.ResolverResultReader;
import cedarrudder.routing.Resolver;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** The connections to discovery: the watch on changes, and calls for the whole list. */
public final class DiscoveryClient implements Resolver {

    private static final String LIST = "/catalog/members";
    private static final int CONNECT_MILLIS = 1000;

    /** The largest list that is read. */
    private static final int MOST_LIST = 4 * 1024 * 1024;

    private final Loop loop;
    private final ResolverResultReader reader;
    private final Consumer<ResolverResult> results;
    private final Runnable failures;
    private final Bootstrap bootstrap;
    private DiscoveryLimits limits;
    private InetSocketAddress address;
    private Call watch;

    /** The watch at the address used before, until the one at the new address has told its first. */
    private Call former;
    private long version;

    /** @param known the version of the list that the proxy starts with */
    public DiscoveryClient(Loop loop, InetSocketAddress address, DiscoveryLimits limits,
            ResolverResultReader reader, long known, Consumer<ResolverResult> results, Runnable failures) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.reader = reader;
        this.version = known;
        this.results = results;
        this.failures = failures;
        this.bootstrap = new Bootstrap().group(loop.group()).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, loop.buffers())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
    }

    /** These limits count from now on; a wait that has begun may last for as long as it was to. */
    public void apply(DiscoveryLimits next) {
        limits = next;
    }

    @Override
    public void subscribe(boolean on) {
        if (watch != null) {
            watch.drop();
            watch = null;
        }
        if (on) {
            watch = new Call(true);
            watch.open(LIST + "?follow=1&since=" + version);
        } else {
            endFormer();
        }
    }

    /**
     * Discovery has moved: calls go to its new address from now on, and so does the watch. Guards against a
     * gap in the list: the watch at the old address goes on telling until the new one does.
     */
    public void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        if (watch != null) {
            endFormer();
            former = watch;
            watch = null;
            subscribe(true);
        }
    }

    private void endFormer() {
        if (former != null) {
            former.drop();
            former = null;
        }
    }

    @Override
    public void fetch() {
        new Call(false).open(LIST);
    }

    /** One call to discovery, on a connection of its own. It fails once at the most. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final boolean follows;
        private final Lines lines = new Lines(this::line);
        private final HttpDecoder decoder = HttpDecoder.ofStreams(lines);
        private final InetSocketAddress to = address;
        private Channel channel;
        private boolean over;
        private boolean answered;
        private long heardAt;

        Call(boolean follows) {
            this.follows = follows;
        }

        void open(String target) {
            heardAt = loop.now();
            watchOver();
            loop.connect(bootstrap.clone().handler(this), to, connected -> {
                if (connected.isSuccess() && !over) {
                    channel.writeAndFlush(HttpEncoder.get(loop.buffers(), target,
                            to.getAddress().getHostAddress() + ":" + to.getPort()));
                } else {
                    fail("can't connect");
                }
            });
        }

        private void watchOver() {
            long patience = answered ? limits.watchPatience() : limits.callPatience();
            if (over) {
                return;
            }
            if (loop.now() - heardAt >= patience) {
                fail("silent");
            } else {
                loop.at(heardAt + patience, this::watchOver);
            }
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf in) {
            heardAt = loop.now();
            try {
                Message end = decoder.decode(in);
                if (end != null && end.head().status() == 200) {
                    lines.end();
                }
                if (end != null || decoder.head() != null && decoder.head().status() != 200) {
                    end(end == null ? decoder.head().status() : end.head().status());
                }
            } catch (BadMessageException | IllegalArgumentException | IOException e) {
                fail(e.getMessage());
            }
        }

        private void end(int status) {
            if (follows || status != 200 || !answered) {
                fail("ended with status " + status);
            } else {
                drop();
            }
        }

        /** One line of the answer. An empty one only says that the watch is alive. */
        private void line(String text) {
            if (over || text.isBlank()) {
                return;
            }
            if (decoder.head() != null && decoder.head().status() != 200) {
                return;
            }
            JsonObject told = JsonObject.parse(text);
            boolean outdated = told.whole("version") < version && !(follows && told.flag("full", false));
            // Not read: guards against what is outdated undoing what is known of nodes.
            ResolverResult result = outdated ? null : reader.read(told);
            answered = true;
            if (this == watch) {
                endFormer();
            }
            if (outdated && !follows) {
                // Guards against a late answer taking back what the watch has told since.
                fail("older than what is known");
            }
            if (outdated) {
                return; // a change that the watch at the former address has told already
            }
            version = result.version();
            loop.log().debug("discovery.told").with("version", version)
                    .with("list", result.full() ? "full" : "changes").with("nodes", result.nodes().size())
                    .write();
            results.accept(result);
        }

        private void fail(String why) {
            if (!over) {
                loop.log().warn("discovery.failed").with("call", follows ? "watch" : "list").with("at", to)
                        .with("why", why).write();
                drop();
                if (former == this) {
                    former = null; // it was to end; the watch that takes its place reports for both
                    return;
                }
                if (watch == this) {
                    watch = null;
                }
                if (follows || watch == null) {
                    failures.run(); // else the watch stands, and tells what the call would have
                }
            }
        }

        void drop() {
            over = true;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            decoder.atEnd();
            if (answered && !follows) {
                over = true;
            }
            fail("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause.toString());
            context.close();
        }
    }

    /** Cuts a stream of bytes into lines. */
    private static final class Lines extends OutputStream {
        private final Consumer<String> lines;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();

        Lines(Consumer<String> lines) {
            this.lines = lines;
        }

        /** What is left is a line too: a whole list need not end in a line feed. */
        void end() throws IOException {
            if (line.size() > 0) {
                write('\n');
            }
        }

        @Override
        public void write(int next) throws IOException {
            if (next != '\n') {
                if (line.size() >= MOST_LIST) {
                    throw new IOException("too long a list");
                }
                line.write(next);
                return;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            lines.accept(text);
        }
    }
}
