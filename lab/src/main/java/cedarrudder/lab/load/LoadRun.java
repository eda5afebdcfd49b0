package cedarrudder.lab.load;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.HdrHistogram.Histogram;

/**
 * Sends requests to an address that speaks the clients' protocol and counts what comes of them. The
 * loop is open: a request is sent at its time, whether or not earlier ones are answered, and its
 * latency counts from that time, so a server that stalls is charged for all that it kept waiting
 * (no coordinated omission, Tene 2013).
 */
public final class LoadRun {

    private static final RandomGeneratorFactory<RandomGenerator> ALGORITHM =
            RandomGeneratorFactory.of("L64X128MixRandom");

    /** The first send comes this long after the start: until then threads and classes are there. */
    private static final long LEAD = 200_000_000L;

    private final Options options;
    private final Consumer<String> live;
    private final Counts all;
    private IntervalLog log;

    /**
     * @param live takes a line a second about how it goes
     */
    public LoadRun(Options options, Consumer<String> live) {
        this.options = options;
        this.live = live;
        this.all = new Counts(options.traffic().kinds().size());
    }

    /**
     * Sends all and waits for the last end.
     *
     * @param hlog where latencies by second go, or null
     * @throws IOException if the log can't be written
     * @throws InterruptedException if the calling thread is interrupted; what is open is closed
     */
    public LoadResult play(Path hlog) throws IOException, InterruptedException {
        NioEventLoopGroup group =
                new NioEventLoopGroup(options.threads(), new DefaultThreadFactory("load"));
        try {
            long startMillis = System.currentTimeMillis() + LEAD / 1_000_000;
            log = hlog == null ? null : new IntervalLog(hlog, startMillis);
            play(group, System.nanoTime() + LEAD);
        } finally {
            if (log != null) {
                log.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        return LoadResult.of(options, all);
    }

    private void play(NioEventLoopGroup group, long start) throws InterruptedException {
        CountDownLatch running = new CountDownLatch(options.threads());
        List<Engine> engines = new ArrayList<>();
        List<EventExecutor> loops = new ArrayList<>();
        group.forEach(loops::add);
        for (int i = 0; i < options.threads(); i++) {
            RandomGenerator gaps = options.poisson() ? ALGORITHM.create(options.seed()) : null;
            Engine engine =
                    new Engine(
                            (EventLoop) loops.get(i),
                            options,
                            ALGORITHM.create(options.seed() + i + 1),
                            new Schedule(options.rate(), gaps),
                            i,
                            options.threads(),
                            start,
                            running::countDown);
            engines.add(engine);
            loops.get(i).execute(engine::begin);
        }
        try {
            boolean done = false;
            for (int second = 1; !done; second++) {
                long until = start + second * 1_000_000_000L;
                done = running.await(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
                interval(engines, loops, second);
            }
        } finally {
            for (int i = 0; i < engines.size(); i++) {
                loops.get(i).execute(engines.get(i)::close);
            }
        }
    }

    private void interval(List<Engine> engines, List<EventExecutor> loops, int second)
            throws InterruptedException {
        Counts interval = new Counts(options.traffic().kinds().size());
        for (int i = 0; i < engines.size(); i++) {
            try {
                interval.add(loops.get(i).submit(engines.get(i)::take).get());
            } catch (ExecutionException e) {
                throw new IllegalStateException("a load loop failed", e.getCause());
            }
        }
        all.add(interval);
        Histogram latency = interval.latency();
        if (log != null) {
            log.write(latency, second - 1, second);
        }
        live.accept(
                String.format(
                        Locale.ROOT,
                        "%4d s  intended %6d  served %6d  refused %5d  other %5d  "
                                + "p50 %8.2f  p99 %8.2f ms  own error p99 %6.2f ms",
                        second,
                        interval.intended,
                        interval.ends(End.SERVED),
                        interval.ends(End.REFUSED),
                        others(interval),
                        latency.getValueAtPercentile(50) / 1000.0,
                        latency.getValueAtPercentile(99) / 1000.0,
                        interval.turned.getValueAtPercentile(99) / 1000.0));
    }

    private static long others(Counts counts) {
        long sum = 0;
        for (End end : End.values()) {
            sum += end == End.SERVED || end == End.REFUSED ? 0 : counts.ends(end);
        }
        return sum;
    }
}
