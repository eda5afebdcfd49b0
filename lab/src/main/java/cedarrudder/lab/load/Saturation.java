package cedarrudder.lab.load;

import cedarrudder.protocol.HttpDecoder;
import cedarrudder.protocol.HttpMessage;
import cedarrudder.protocol.MalformedMessageException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The greatest rate that an address answers at: each connection sends its next request as soon as
 * an answer is there. A closed loop tells a rate and nothing about latencies.
 */
public final class Saturation {

    /** What was answered in the time that was measured, and how much of it was no 200. */
    public record Reached(double perSecond, long others) {}

    private static final long WAIT_MILLIS = 10_000;

    private final Options options;
    private final LongAdder served = new LongAdder();
    private final LongAdder others = new LongAdder();

    /**
     * @param options whose rate is not read
     */
    public Saturation(Options options) {
        this.options = options;
    }

    /**
     * Sends for a while without counting, and then for a while.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public Reached reach(double warmSeconds, double seconds) throws InterruptedException {
        NioEventLoopGroup group =
                new NioEventLoopGroup(options.threads(), new DefaultThreadFactory("load"));
        RandomGenerator seeds =
                RandomGeneratorFactory.of("L64X128MixRandom").create(options.seed());
        try {
            for (int i = 0; i < options.connections(); i++) {
                RandomGenerator own =
                        RandomGeneratorFactory.of("L64X128MixRandom").create(seeds.nextLong());
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(new Busy(own))
                        .connect(options.targets().get(i % options.targets().size()));
            }
            TimeUnit.NANOSECONDS.sleep((long) (warmSeconds * 1e9));
            long before = served.sum();
            long othersBefore = others.sum();
            long start = System.nanoTime();
            TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
            double took = (System.nanoTime() - start) / 1e9;
            return new Reached((served.sum() - before) / took, others.sum() - othersBefore);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
        }
    }

    private final class Busy extends ChannelInboundHandlerAdapter {
        private final HttpDecoder decoder =
                HttpDecoder.ofAnswers(HttpDecoder.MAX_HEAD, HttpDecoder.MAX_BODY);
        private final Request.Writer writer = new Request.Writer(options);
        private final RandomGenerator random;

        Busy(RandomGenerator random) {
            this.random = random;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            send(context);
        }

        private void send(ChannelHandlerContext context) {
            Traffic traffic = options.traffic();
            Request request =
                    new Request(
                            traffic.kind(random),
                            traffic.tenant(random),
                            random.nextLong(),
                            0,
                            0,
                            false);
            ByteBuf out = context.alloc().buffer(512);
            writer.write(request, WAIT_MILLIS, out);
            context.writeAndFlush(out, context.voidPromise());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ByteBuf in = (ByteBuf) bytes;
            try {
                HttpMessage answer = decoder.decode(in);
                if (answer != null) {
                    (answer.head().status() == 200 ? served : others).increment();
                    send(context);
                }
            } catch (MalformedMessageException e) {
                others.increment();
                context.close();
            } finally {
                in.release();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            others.increment();
            context.close();
        }
    }
}
