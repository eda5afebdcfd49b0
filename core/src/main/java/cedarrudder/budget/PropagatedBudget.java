package cedarrudder.budget;

/**
 * The budget that a tier receives with a request. All values were bounded when they were read, and
 * none is binding: the tier's own settings bound them again.
 *
 * @param isPresent whether the client sent the budget field, so that it receives feedback
 * @param hasClientDeadline whether the client itself gave its deadline
 * @param remainingNanos how long the client waits, less the network latency, in nanoseconds; 0 if
 *     not given
 * @param attempts further attempts for this tier and all tiers below; -1 if not given
 * @param grant identifies the propagated budget, so that the requests of one endpoint share it; 0
 *     if not given
 * @param priority the priority relative to the work, from 0 to 1; NaN if not given
 * @param repeat whether this request is part of a repeat by a client or a retry of a tier above
 * @param path the tiers that the request has passed
 */
public record PropagatedBudget(
        boolean isPresent,
        boolean hasClientDeadline,
        long remainingNanos,
        int attempts,
        long grant,
        double priority,
        boolean repeat,
        HopPath path) {

    /** The budget of a request without budget fields whose client gave its deadline. */
    public static final PropagatedBudget NOTHING =
            new PropagatedBudget(false, true, 0, -1, 0, Double.NaN, false, HopPath.EMPTY);

    /** Returns this budget with the remaining time reduced by this many nanoseconds. */
    public PropagatedBudget after(long elapsed) {
        return new PropagatedBudget(
                isPresent,
                hasClientDeadline,
                Math.max(1, remainingNanos - elapsed),
                attempts,
                grant,
                priority,
                repeat,
                path);
    }

    /** Returns this budget with the information whether the client gave its deadline. */
    public PropagatedBudget withClientDeadline(boolean isGiven) {
        return isGiven == hasClientDeadline
                ? this
                : new PropagatedBudget(
                        isPresent,
                        isGiven,
                        remainingNanos,
                        attempts,
                        grant,
                        priority,
                        repeat,
                        path);
    }
}
