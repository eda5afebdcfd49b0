package cedarrudder.budget;

/**
 * What comes down to a tier with a call. All of it has been bounded when it was read, and none of
 * it is more than a wish: what a tier's own settings allow bounds it again.
 *
 * @param isPresent whether the client speaks these fields, so that it learns what became of its
 *     budget
 * @param hasClientDeadline whether the client itself said how long it waits
 * @param remainingNanos how long the client waits, less the way, in nanoseconds; 0 where not said
 * @param attempts further attempts for this tier and all below; -1 where not said
 * @param grant names the hand-down, so that calls of one endpoint share it; 0 where not said
 * @param priority the worth for its work, from 0 to 1; NaN where not said
 * @param repeat whether this is part of what a client or a tier above sends again
 * @param path the tiers passed
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

    /** What is known of a call whose client speaks none of this and said how long it waits. */
    public static final PropagatedBudget NOTHING =
            new PropagatedBudget(false, true, 0, -1, 0, Double.NaN, false, HopPath.EMPTY);

    /** The same, some nanoseconds later. */
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

    /** The same of a client that said, or didn't say, how long it waits. */
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
