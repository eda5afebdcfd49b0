package cedarrudder.lab.model;

import cedarrudder.budget.DownstreamFeedback;

/** Who makes a call through a proxy: a client, or a request at a node. */
public interface Caller {

    /** How a try ended for its caller. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        RESET,
        UNREACHABLE
    }

    /** The answer that comes next says this of budgets. */
    default void told(DownstreamFeedback below) {
        // A client makes nothing of it.
    }

    /**
     * The answer has come, or the connection's end.
     *
     * @param retryAfter of a refusal, in nanoseconds; 0: no advice
     * @param servedBy what made the answer; null where it was not served
     */
    void answered(End how, long retryAfter, Job servedBy);
}
