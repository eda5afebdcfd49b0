package cedarrudder.lab.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One place in a tier, and the process that runs there, in {@link VirtualTime}: with a clock of its
 * own that differs and drifts, and that may stand still for a while.
 */
public abstract class SimulatedProcess {

    /** More events than this are not kept while it stands still. */
    private static final int MAX_WAITING = 2_000;

    private final VirtualTime time;
    private final long offset;
    private final double drift;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private long process;
    private long stalledUntil;
    private long ticksAt = Long.MAX_VALUE;

    /**
     * A place where nothing runs yet.
     *
     * @param offset of its clock, in nanoseconds
     * @param drift how fast its clock is
     */
    protected SimulatedProcess(VirtualTime time, double offset, double drift) {
        this.time = time;
        this.offset = (long) offset;
        this.drift = drift;
    }

    /** Whether a process runs here. */
    protected abstract boolean isRunning();

    /** When the process is to be called next, by its own clock. */
    protected abstract long nextTickAt();

    /** Has the process do what is due. */
    protected abstract void tick();

    /** After each event that the process has handled. */
    protected void onHandled() {}

    /** The number of the process that runs here, or ran last. */
    public final long process() {
        return process;
    }

    /** Whether the process stands still now. */
    public final boolean isStalled() {
        return time.now() < stalledUntil;
    }

    /** The time by this place's clock. */
    public final long ownTime() {
        return offset + (long) (time.now() * drift);
    }

    /** The instant at which this place's clock says so, with its fraction. */
    protected final double instantOf(long ownTime) {
        return (ownTime - offset) / drift;
    }

    /** The process that ran here is gone, with all that waited for it. */
    public final void end() {
        process++;
    }

    /** Another process begins here; it is to be followed by {@link #wake}. */
    protected final void begin() {
        process++;
        stalledUntil = 0;
        waiting.clear();
        ticksAt = Long.MAX_VALUE;
    }

    /** Does it now, or where the process stands still, as soon as it goes on. */
    public final void run(long of, Runnable event) {
        if (of != process || !isRunning()) {
            return;
        }
        if (isStalled()) {
            if (waiting.size() < MAX_WAITING) {
                waiting.add(event);
            }
            return;
        }
        event.run();
        onHandled();
        wake();
    }

    /** For this long it does nothing; what comes meanwhile waits. */
    public final void stall(long length) {
        stalledUntil = time.now() + length;
        long of = process;
        time.at(stalledUntil, () -> resume(of));
    }

    private void resume(long of) {
        if (of != process || !isRunning() || isStalled()) {
            return;
        }
        while (!waiting.isEmpty()) {
            waiting.remove().run();
            onHandled();
        }
        wake();
    }

    /** Schedules the next tick. */
    protected final void wake() {
        long due = nextTickAt();
        if (due == Long.MAX_VALUE) {
            return;
        }
        long at = Math.max(time.now() + 1, (long) Math.ceil(instantOf(due)) + 1);
        if (at < ticksAt || ticksAt <= time.now()) {
            ticksAt = at;
            long of = process;
            time.at(at, () -> onTick(of, at));
        }
    }

    private void onTick(long of, long at) {
        if (of == process && ticksAt == at) {
            ticksAt = Long.MAX_VALUE;
            run(of, this::tick);
        }
    }
}
