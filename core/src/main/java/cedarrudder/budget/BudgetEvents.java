package cedarrudder.budget;

/** What is logged of budgets. {@link Budgets} bounds how often. */
public interface BudgetEvents {

    /** Nothing is logged. */
    BudgetEvents NONE =
            new BudgetEvents() {
                @Override
                public void loopRejected(HopPath path, long more) {}

                @Override
                public void summarized(MinuteSummary figures) {}
            };

    /**
     * A loop was refused; at most one a minute for each loop, and 64 loops.
     *
     * @param path the tiers, the last of which is this one
     * @param more how many further refusals of this loop there were since it was last logged
     */
    void loopRejected(HopPath path, long more);

    /** What was denied since the last time, if anything was; at most once a minute. */
    void summarized(MinuteSummary figures);

    /**
     * Counts since the last time.
     *
     * @param requests that came, loops aside
     * @param deniedByTree further attempts that the budget of their tree denied
     * @param deniedByShare further attempts that the share of first tries denied
     * @param overload requests rejected since the tier below has too much work
     * @param noTime requests rejected since their time couldn't suffice
     * @param admittedPercent the part of requests that is let in now
     */
    record MinuteSummary(
            long requests,
            long deniedByTree,
            long deniedByShare,
            long overload,
            long noTime,
            long admittedPercent) {}
}
