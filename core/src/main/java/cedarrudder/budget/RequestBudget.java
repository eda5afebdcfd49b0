package cedarrudder.budget;

import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback.Why;

/**
 * What one request may still cost at this tier and below, and what became of it. {@link Budgets}
 * keeps it.
 */
public final class RequestBudget {

    final Request request;
    final PropagatedBudget received;
    final long arrivedAt;
    final AdmissionHint standing;
    final double priority;
    final boolean repeat;
    final AttemptBudget attempts;

    /** Attempts that went out. */
    int sent;

    /** Whether an answer from below said that trying again is useless. */
    boolean closed;

    /** Whether a further attempt was denied. */
    boolean denied;

    /** What answers said of why it wasn't served. */
    Why requestedDeadline = Why.UNKNOWN;

    /** The path that closes a loop; empty where there is none. */
    HopPath loop;

    RequestBudget(
            Request request,
            PropagatedBudget received,
            long arrivedAt,
            AdmissionHint standing,
            double priority,
            boolean repeat,
            AttemptBudget attempts,
            HopPath loop) {
        this.request = request;
        this.received = received;
        this.arrivedAt = arrivedAt;
        this.standing = standing;
        this.priority = priority;
        this.repeat = repeat;
        this.attempts = attempts;
        this.loop = loop;
    }

    /** What the balancer learns of it. */
    public AdmissionHint standing() {
        return standing;
    }

    /** The worth for its work, from 0 to 1, by the least of what any tier says. */
    public double priority() {
        return priority;
    }

    /**
     * What goes up with the answer that serves it; null where the client doesn't speak these
     * fields.
     */
    public DownstreamFeedback servedFeedback() {
        return feedback(Why.UNKNOWN);
    }

    /** What goes up with a refusal; null where the client doesn't speak these fields. */
    public DownstreamFeedback rejectedFeedback() {
        Why why = why();
        // Rejected by the balancer itself before anything was sent: there was no room for it.
        return feedback(why == Why.UNKNOWN && sent == 0 ? Why.OVERLOAD : why);
    }

    /** What goes up with a failure; null where the client doesn't speak these fields. */
    public DownstreamFeedback failedFeedback() {
        return feedback(why());
    }

    private DownstreamFeedback feedback(Why why) {
        return received.isPresent() ? new DownstreamFeedback(attempts.spent(), why, loop) : null;
    }

    private Why why() {
        return switch (standing) {
            case LOOP -> Why.LOOP;
            case OVERLOADED -> Why.OVERLOAD;
            case DEADLINE_TOO_SHORT -> Why.TIME;
            case ADMIT ->
                    requestedDeadline == Why.UNKNOWN && denied ? Why.TRIES : requestedDeadline;
        };
    }

    /** The path that closes a loop, here or further down; empty where there is none. */
    public HopPath loop() {
        return loop;
    }
}
