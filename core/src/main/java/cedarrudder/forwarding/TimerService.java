package cedarrudder.forwarding;

/** The program's only clock, and a scheduler of tasks by that clock. */
public interface TimerService {

    /** Returns the current instant of the monotonic clock, in nanoseconds. */
    long now();

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it has run. */
        void cancel();
    }

    /** Schedules a task for an instant or soon after; never runs it within this call. */
    Timer at(long instant, Runnable task);
}
