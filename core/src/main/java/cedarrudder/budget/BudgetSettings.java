package cedarrudder.budget;

/**
 * What the operator sets of the budgets. Ranges are checked where the operator's file is read.
 *
 * @param hop the name of this proxy's tier in paths, a {@linkplain HopPath#isHop hop id}; empty:
 *     not set
 * @param tries further attempts that one first request may cost at this tier and all below it
 * @param triesWithoutFields the same for a call that says nothing, at any tier but the first
 * @param keep of a call's further attempts this many are not handed down
 * @param share further attempts as a share of first tries, over the window
 * @param minPerSecond further attempts a second that are allowed however few first tries there are
 * @param window the time over which the share is counted, in nanoseconds
 * @param maxHops a path of this many tiers may not grow
 * @param minAdmitted the share of requests that is let in however much the tier below rejects
 */
public record BudgetSettings(
        String hop,
        int tries,
        int triesWithoutFields,
        int keep,
        double share,
        double minPerSecond,
        long window,
        int maxHops,
        double minAdmitted) {

    /** The same with this name for the tier, where none is set. */
    public BudgetSettings withDefaultHop(String name) {
        return !hop.isEmpty()
                ? this
                : new BudgetSettings(
                        HopPath.hopOf(name),
                        tries,
                        triesWithoutFields,
                        keep,
                        share,
                        minPerSecond,
                        window,
                        maxHops,
                        minAdmitted);
    }

    /** The defaults, for a tier of this name. */
    public static BudgetSettings of(String hop) {
        return new BudgetSettings(hop, 3, 1, 1, 0.2, 0.5, 10_000_000_000L, 8, 0.1);
    }
}
