package cedarrudder.budget;

/** Receives the events of budgets that are logged. {@link Budgets} bounds how often. */
public interface BudgetEvents {

    /** Ignores all events. */
    BudgetEvents NONE =
            new BudgetEvents() {
                @Override
                public void loopRejected(HopPath path, long more) {}

                @Override
                public void summarized(MinuteSummary figures) {}
            };

    /**
     * Reports a request that was rejected because of a loop; at most once a minute for each loop,
     * and for 64 loops.
     *
     * @param path the tiers that the request has passed; the last one is this tier
     * @param more the number of further rejections of this loop since it was last logged
     */
    void loopRejected(HopPath path, long more);

    /** Reports what was denied since the last summary, if anything was; at most once a minute. */
    void summarized(MinuteSummary figures);

    /**
     * Counts since the last summary.
     *
     * @param requests received requests, except those rejected because of a loop
     * @param deniedByTree further attempts denied by the budget of their request, which covers all
     *     tiers
     * @param deniedByShare further attempts denied by the retry budget over all requests, which is
     *     a fraction of the first attempts
     * @param overload requests rejected because the tier below is overloaded
     * @param noTime requests rejected because too little time was left to serve them
     * @param admittedPercent the percentage of requests that is admitted now
     */
    record MinuteSummary(
            long requests,
            long deniedByTree,
            long deniedByShare,
            long overload,
            long noTime,
            long admittedPercent) {}
}
