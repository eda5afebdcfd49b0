package cedarrudder.forwarding;

/** The program's one clock, and tasks by it. */
public interface TimerService {

    /** An instant of the clock, in nanoseconds; it never goes back. */
    long now();

    /** A task that waits for its time. */
    interface Timer {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }

    /** Runs a task at an instant or soon after, never at once. */
    Timer at(long instant, Runnable task);
}
