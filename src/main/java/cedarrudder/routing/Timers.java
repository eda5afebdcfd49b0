package cedarrudder.routing;

/** The program's one clock, and tasks by it. */
public interface Timers {

    /** An instant of the clock, in nanoseconds; it never goes back. */
    long now();

    /** Runs a task at an instant or soon after, never at once. */
    void at(long instant, Runnable task);
}
