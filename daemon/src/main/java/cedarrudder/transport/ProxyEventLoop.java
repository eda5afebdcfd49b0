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

/** The event loop, which owns the state of the whole proxy, and its clock. */
public final class ProxyEventLoop implements TimerService {

    private static final int PAGE_BYTES = 8192;
    private static final int CHUNK_ORDER = 5;
    private static final int CACHED_BUFFERS_PER_SIZE = 0;

    /**
     * The delay of a task beyond which a warning is logged: the CPU is overloaded or the process
     * was paused, and responses are delayed too.
     */
    private static final long LATE_THRESHOLD_NANOS = 20_000_000L;

    /**
     * The maximum time that {@link #stop} waits, in nanoseconds: SIGKILL follows 0.2 s after the
     * last responses.
     */
    private static final long STOP_TIMEOUT_NANOS = 100_000_000L;

    /**
     * The time for which the last measured lateness is assumed to last; only a part of a wait is
     * reduced by it.
     */
    private static final long LATENESS_MEMORY_NANOS = 5_000_000_000L;

    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));

    /**
     * One small arena of 256 KiB chunks: the defaults use megabytes for each core of the machine.
     * Without caches by size: these retain up to ten megabytes of released buffers, which can't be
     * used for other sizes, and would leave no direct memory for reads once it is exhausted.
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
     * Creates an event loop.
     *
     * @param skewedClock the clock of a test with skewed clocks; null: the machine's clock
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
     * Returns the maximum recent delay of the event loop; received bytes may have waited that long.
     */
    long lateness() {
        return now() - worstLatenessAt > LATENESS_MEMORY_NANOS ? 0 : worstLateness;
    }

    /**
     * Runs a task on the event loop; may be called from any thread. After the end of the loop, the
     * task is dropped.
     */
    public void run(Runnable task) {
        try {
            group.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException e) {
            // the state that the task would change no longer exists
        }
    }

    /**
     * Connects, and passes the result on the event loop, or at once if it is known at once. Netty
     * reports one failure on another thread, and the report is redirected to the loop: a socket
     * that can't be created for lack of a descriptor.
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
     * Ends the event loop and closes its channels; may be called from any thread but the loop's
     * own. Returns once that is done, or after {@link #STOP_TIMEOUT_NANOS}. Without the wait, the
     * classes loaded at the end of the process would depend on which thread is first: the
     * class-data archive contains the classes that one run has loaded.
     */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Returns whether the event loop has been asked to end, in which case channels that close are
     * no failures.
     */
    boolean isStopping() {
        return group.isShuttingDown();
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | VirtualMachineError | LinkageError e) {
            // A fault in one task must not end the event loop.
            log.fault("loop.task_failed", e).write();
        }
    }
}
