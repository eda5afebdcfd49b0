package cedarrudder.lab.consensus;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A simulated host of a tier and the process that runs on it, in {@link VirtualTime}. The host has
 * its own clock, with an offset and a drift; the process may be paused for a while.
 */
public abstract class SimulatedProcess {

    /** Maximum number of events buffered while the process is paused; further ones are dropped. */
    private static final int MAX_BUFFERED = 2_000;

    private final VirtualTime time;
    private final long offset;
    private final double drift;
    private final Deque<Runnable> buffered = new ArrayDeque<>();
    private long process;
    private long stalledUntil;
    private long ticksAt = Long.MAX_VALUE;

    /**
     * Creates a host on which nothing runs yet.
     *
     * @param offset of its clock, in nanoseconds
     * @param drift the rate of its clock relative to virtual time; 1 is exact
     */
    protected SimulatedProcess(VirtualTime time, double offset, double drift) {
        this.time = time;
        this.offset = (long) offset;
        this.drift = drift;
    }

    /** Returns whether a process runs on this host. */
    protected abstract boolean isRunning();

    /** Returns the time of the next tick, on the clock of this host. */
    protected abstract long nextTickAt();

    /** Makes the process do what is due. */
    protected abstract void tick();

    /** Called after each event that the process has handled. */
    protected void onHandled() {}

    /** Returns the number of the process that runs here, or of the last one that ran. */
    public final long process() {
        return process;
    }

    /** Returns whether the process is paused now. */
    public final boolean isStalled() {
        return time.now() < stalledUntil;
    }

    /** Returns the time on the clock of this host, in nanoseconds. */
    public final long ownTime() {
        return offset + (long) (time.now() * drift);
    }

    /**
     * Returns the instant of virtual time, with its fraction, at which the clock of this host shows
     * the given time.
     */
    protected final double instantOf(long ownTime) {
        return (ownTime - offset) / drift;
    }

    /** Ends the process, and with it all its buffered events. */
    public final void end() {
        process++;
    }

    /** Begins another process; the caller has to call {@link #wake} afterwards. */
    protected final void begin() {
        process++;
        stalledUntil = 0;
        buffered.clear();
        ticksAt = Long.MAX_VALUE;
    }

    /**
     * Runs an event of the given process now or, while that process is paused, when it resumes.
     * Does nothing if another process runs here by now, or none.
     */
    public final void run(long owner, Runnable event) {
        if (owner != process || !isRunning()) {
            return;
        }
        if (isStalled()) {
            if (buffered.size() < MAX_BUFFERED) {
                buffered.add(event);
            }
            return;
        }
        event.run();
        onHandled();
        wake();
    }

    /** Pauses the process for this many nanoseconds; events that arrive meanwhile are buffered. */
    public final void stall(long length) {
        stalledUntil = time.now() + length;
        long owner = process;
        time.at(stalledUntil, () -> resume(owner));
    }

    private void resume(long owner) {
        if (owner != process || !isRunning() || isStalled()) {
            return;
        }
        while (!buffered.isEmpty()) {
            buffered.remove().run();
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
            long owner = process;
            time.at(at, () -> onTick(owner, at));
        }
    }

    private void onTick(long owner, long at) {
        if (owner == process && ticksAt == at) {
            ticksAt = Long.MAX_VALUE;
            run(owner, this::tick);
        }
    }
}
