package cedarrudder.transport;

import cedarrudder.forwarding.TimerService;
import cedarrudder.logging.Logger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The one event loop, which owns all that runs, and its clock. */
public final class ProxyEventLoop implements TimerService {

    private static final int PAGE_BYTES = 8192;
    private static final int CHUNK_ORDER = 5;
    private static final int CACHED_BUFFERS_PER_SIZE = 0;

    /**
     * A task that runs so late tells of a core that is short, or of a pause: answers then come late
     * too.
     */
    private static final long LATE_THRESHOLD_NANOS = 20_000_000L;

    /**
     * Its end is waited for no longer, in nanoseconds: SIGKILL comes 0.2 s behind the last answers.
     */
    private static final long STOP_TIMEOUT_NANOS = 100_000_000L;

    /**
     * For how long the latest known lateness is taken to last; of a wait only a part comes off for
     * it.
     */
    private static final long LATENESS_MEMORY_NANOS = 5_000_000_000L;

    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));

    /**
     * One small arena of 256 KiB chunks: the defaults take megabytes for each core of the machine.
     * Without caches by size: these hold up to ten megabytes of buffers that were released, which
     * serve no other size, and would leave no direct memory for reads once it has run out.
     */
    private final ByteBufAllocator buffers =
            new PooledByteBufAllocator(
                    true,
                    0,
                    1,
                    PAGE_BYTES,
                    CHUNK_ORDER,
                    CACHED_BUFFERS_PER_SIZE,
                    CACHED_BUFFERS_PER_SIZE,
                    false);

    private final Logger log;
    private final SkewedClock skewedClock;
    private long worstLateness;
    private long worstLatenessAt;

    public ProxyEventLoop(Logger log) {
        this(log, null);
    }

    /**
     * @param skewedClock what the clock of a trial makes of the machine's; null: the clock is the
     *     machine's
     */
    public ProxyEventLoop(Logger log, SkewedClock skewedClock) {
        this.log = log;
        this.skewedClock = skewedClock;
    }

    EventLoopGroup group() {
        return group;
    }

    ByteBufAllocator buffers() {
        return buffers;
    }

    Logger log() {
        return log;
    }

    @Override
    public long now() {
        return skewedClock == null ? System.nanoTime() : skewedClock.now();
    }

    @Override
    public Timer at(long instant, Runnable action) {
        ScheduledFuture<?> task =
                group.schedule(
                        () -> {
                            long late = now() - instant;
                            if (late >= worstLateness
                                    || now() - worstLatenessAt > LATENESS_MEMORY_NANOS) {
                                worstLateness = late;
                                worstLatenessAt = now();
                            }
                            if (late > LATE_THRESHOLD_NANOS) {
                                log.warn("loop.delayed").with("ms", late / 1_000_000).write();
                            }
                            runGuarded(action);
                        },
                        Math.max(
                                1,
                                skewedClock == null
                                        ? instant - now()
                                        : skewedClock.toMachineNanos(instant - now())),
                        TimeUnit.NANOSECONDS);
        return () -> task.cancel(false);
    }

    /**
     * How late the loop has lately been at its worst; bytes that it reads may have waited that
     * long.
     */
    long lateness() {
        return now() - worstLatenessAt > LATENESS_MEMORY_NANOS ? 0 : worstLateness;
    }

    /** Runs a task on the loop, from any thread; one that comes after its end is dropped. */
    public void run(Runnable task) {
        try {
            group.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            // what it was to change is gone
        }
    }

    /**
     * Connects, and tells on the loop what came of it, or at once where it is known at once. Guards
     * against the one case that Netty tells on a thread of its own: a socket that can't be made,
     * for want of a descriptor.
     */
    void connect(Bootstrap bootstrap, InetSocketAddress to, Consumer<Future<? super Void>> then) {
        bootstrap
                .connect(to)
                .addListener(
                        done -> {
                            if (group.next().inEventLoop()) {
                                then.accept(done);
                            } else {
                                run(() -> then.accept(done));
                            }
                        });
    }

    /**
     * Ends the loop, from any thread but its own: what it still owns is closed. Returns once that
     * is done, or after {@link #STOP_TIMEOUT_NANOS}. This avoids a process whose last moments load
     * other classes each time, by who is first: the class-data archive is made of what one run
     * loaded.
     */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Whether it has been asked to end: what it owns is being closed, which is nobody's failure.
     */
    boolean isStopping() {
        return group.isShuttingDown();
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            // This avoids a fault in one task ending what the loop does for all others.
            log.fault("loop.task_failed", e).write();
        }
    }
}
