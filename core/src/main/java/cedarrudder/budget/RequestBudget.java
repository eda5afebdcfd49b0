package cedarrudder.budget;

import cedarrudder.balancer.LoadBalancer.AdmissionHint;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.budget.DownstreamFeedback.UnservedReason;

/**
 * The state of one request's budget: its further attempts at this tier and below, and the feedback
 * for its client. Maintained by {@link Budgets}.
 */
public final class RequestBudget {

    final Request request;
    final PropagatedBudget received;
    final long arrivedAt;
    final AdmissionHint admissionHint;
    final double priority;
    final boolean repeat;
    final AttemptBudget attempts;

    /** The number of attempts sent. */
    int attemptsSent;

    /** True if a response from the tier below reported that a retry is useless. */
    boolean retriesStopped;

    /** True if a further attempt was denied. */
    boolean retryDenied;

    /** The latest reason for not serving the request that a response gave or implied. */
    UnservedReason downstreamReason = UnservedReason.UNKNOWN;

    /** The path that closes a loop; empty if there is none. */
    HopPath loop;

    RequestBudget(
            Request request,
            PropagatedBudget received,
            long arrivedAt,
            AdmissionHint admissionHint,
            double priority,
            boolean repeat,
            AttemptBudget attempts,
            HopPath loop) {
        this.request = request;
        this.received = received;
        this.arrivedAt = arrivedAt;
        this.admissionHint = admissionHint;
        this.priority = priority;
        this.repeat = repeat;
        this.attempts = attempts;
        this.loop = loop;
    }

    /** Returns the hint for the balancer whether to admit the request. */
    public AdmissionHint admissionHint() {
        return admissionHint;
    }

    /**
     * Returns the priority relative to the work, from 0 to 1: the minimum of those of all tiers.
     */
    public double priority() {
        return priority;
    }

    /** Returns the feedback for a served request; null if the client sent no budget field. */
    public DownstreamFeedback servedFeedback() {
        return feedback(UnservedReason.UNKNOWN);
    }

    /** Returns the feedback for a rejected request; null if the client sent no budget field. */
    public DownstreamFeedback rejectedFeedback() {
        UnservedReason reason = rejectionReason();
        // The balancer itself rejected the request before an attempt was sent: no capacity.
        return feedback(
                reason == UnservedReason.UNKNOWN && attemptsSent == 0
                        ? UnservedReason.OVERLOAD
                        : reason);
    }

    /** Returns the feedback for a failed request; null if the client sent no budget field. */
    public DownstreamFeedback failedFeedback() {
        return feedback(rejectionReason());
    }

    private DownstreamFeedback feedback(UnservedReason reason) {
        return received.isPresent() ? new DownstreamFeedback(attempts.spent(), reason, loop) : null;
    }

    private UnservedReason rejectionReason() {
        return switch (admissionHint) {
            case LOOP -> UnservedReason.LOOP;
            case OVERLOADED -> UnservedReason.OVERLOAD;
            case DEADLINE_TOO_SHORT -> UnservedReason.TIME;
            case ADMIT ->
                    downstreamReason == UnservedReason.UNKNOWN && retryDenied
                            ? UnservedReason.TRIES
                            : downstreamReason;
        };
    }

    /** Returns the path that closes a loop, at this tier or below; empty if there is none. */
    public HopPath loop() {
        return loop;
    }
}
