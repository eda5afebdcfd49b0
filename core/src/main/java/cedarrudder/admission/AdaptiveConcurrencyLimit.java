package cedarrudder.admission;

/**
 * A limit on the attempts of one replica that are in flight at once. It follows the latency of
 * answers: slow ones lower it, quick ones raise it.
 *
 * <p>Without it overload would serve every request, and each too late. It is the additive increase
 * of TCP with an additive decrease, so that it rests where a set share of the answers is slow.
 */
public final class AdaptiveConcurrencyLimit {

    private final double decrease;
    private final double increase;
    private final double cutFactor;
    private double limit = Integer.MAX_VALUE;

    /** Whether a request was rejected since the limit last grew. */
    private boolean reached;

    /**
     * A limit that begins without a bound.
     *
     * @param decrease what a slow answer takes off; 0: there is no limit
     * @param increase what a quick one adds
     * @param cutFactor a slow answer cuts the limit to at most this many times the recent peak of
     *     attempts in flight. Requests of low priority are rejected at a small part of the limit,
     *     so a smaller factor would reject them on quiet days
     */
    public AdaptiveConcurrencyLimit(double decrease, double increase, double cutFactor) {
        this.decrease = decrease;
        this.increase = increase;
        this.cutFactor = cutFactor;
    }

    /**
     * Whether one more request may be let in.
     *
     * @param inFlight attempts in flight now
     * @param share the part of the limit that is open to this request, from 0 to 1
     */
    public boolean tryAdmit(int inFlight, double share) {
        boolean admitted = inFlight < 1 || inFlight < limit * share;
        reached |= !admitted;
        return admitted;
    }

    /**
     * Adapts the limit to an answer.
     *
     * @param inFlight attempts in flight now
     * @param recentPeak the most that were in flight at once in the recent past
     * @param min the limit never falls below this: the replica's part of what endpoints may always
     *     hold. With no more in flight there is no queue left to shorten by rejecting, and answers
     *     are slow for another reason, such as late connections or endpoints that hang
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
