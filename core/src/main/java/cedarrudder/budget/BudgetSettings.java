package cedarrudder.budget;

/**
 * The operator's settings for budgets. Ranges are checked where the operator's file is read.
 *
 * @param hop the name of this proxy's tier in paths, a {@linkplain HopPath#isHop hop id}; empty:
 *     not set
 * @param tries the maximum number of further attempts of one request at this tier and all tiers
 *     below
 * @param triesWithoutFields the same for a request without budget fields, at any tier but the first
 * @param keep how many further attempts of a request are reserved for this tier and not propagated
 * @param share further attempts as a fraction of first attempts, over the window
 * @param minPerSecond further attempts a second that are allowed however few first attempts there
 *     are
 * @param window the time over which the fraction is counted, in nanoseconds
 * @param maxHops the number of tiers in a path from which on a request is rejected
 * @param minAdmitted the fraction of requests that is admitted however overloaded the tier below is
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

    /** Returns these settings, with a hop id made from this name if none is set. */
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

    /** Returns the default settings for a tier with this hop id. */
    public static BudgetSettings of(String hop) {
        return new BudgetSettings(hop, 3, 1, 1, 0.2, 0.5, 10_000_000_000L, 8, 0.1);
    }
}
