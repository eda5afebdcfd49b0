package cedarrudder.admission;

/**
 * A limit on the number of attempts of one replica that are in flight at once. It adapts to the
 * latency of responses: slow responses lower it, quick ones raise it.
 *
 * <p>Without a limit, every request would be served under overload, but each too late. The limit
 * uses the additive increase of TCP with an additive decrease, so it settles where a set fraction
 * of the responses is slow.
 */
public final class AdaptiveConcurrencyLimit {

    private final double decrease;
    private final double increase;
    private final double cutFactor;
    private double limit = Integer.MAX_VALUE;

    /** True if a request was rejected since the limit was last raised. */
    private boolean reached;

    /**
     * Creates a limit that is unbounded until the first slow response.
     *
     * @param decrease how much a slow response subtracts; 0: there is no limit
     * @param increase how much a quick response adds
     * @param cutFactor a slow response cuts the limit to at most this many times the recent peak of
     *     attempts in flight. Requests of low priority are rejected at a small fraction of the
     *     limit, so a smaller factor would reject them under low load
     */
    public AdaptiveConcurrencyLimit(double decrease, double increase, double cutFactor) {
        this.decrease = decrease;
        this.increase = increase;
        this.cutFactor = cutFactor;
    }

    /**
     * Returns whether one more request may be admitted, and records a rejection.
     *
     * @param inFlight attempts in flight now
     * @param share the fraction of the limit that this request may use, from 0 to 1
     */
    public boolean tryAdmit(int inFlight, double share) {
        boolean admitted = inFlight < 1 || inFlight < limit * share;
        reached |= !admitted;
        return admitted;
    }

    /**
     * Adapts the limit to a response.
     *
     * @param inFlight attempts in flight now
     * @param recentPeak the maximum number in flight at once in the recent past
     * @param min the minimum limit: the replica's part of the requests that endpoints may always
     *     have in flight. With no more in flight, no queue is left that rejecting could shorten,
     *     and responses are slow for another reason, such as late connections or endpoints that
     *     hang
     */
    public void onResponse(boolean slow, int inFlight, double recentPeak, double min) {
        if (slow && decrease > 0) {
            double cut = Math.min(limit, cutFactor * recentPeak + 1);
            limit = Math.max(Math.max(1, min), cut - decrease);
        } else if (reached || inFlight > limit / 2) {
            limit += increase;
            reached = false;
        }
    }
}
