package cedarrudder.lab.checker;

import java.util.List;

/**
 * One thing that must hold of many replicas. It is told all that happened, in the order of time,
 * and knows nothing of the code that did it. For one history and one thread.
 */
public interface Invariant {

    /** Something happened, no sooner than all that was told before. */
    void took(HistoryEvent event);

    /**
     * The history is over.
     *
     * @param at when, on the clock of the events
     */
    default void ended(long at) {}

    /** What was broken so far, the first breach first. */
    List<Violation> breaches();
}
