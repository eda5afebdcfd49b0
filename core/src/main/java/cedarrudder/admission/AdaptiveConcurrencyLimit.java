package cedarrudder.admission;

/**
 * A limit on the calls out at once that follows what answers say: slow ones lower it, quick ones
 * raise it.
 *
 * <p>Guards against overload, in which all would be served and all too late. It is the additive
 * increase of TCP with an additive decrease, so that it rests where a set share of the answers is
 * slow.
 */
public final class AdaptiveConcurrencyLimit {

    private final double less;
    private final double more;
    private final double cut;
    private double limit = Integer.MAX_VALUE;

    /** Whether a request was turned away since the limit last grew. */
    private boolean met;

    /**
     * @param less what a slow answer takes off; 0: there is no limit
     * @param more what a quick one adds
     * @param cut a slow answer cuts the limit to this many times the recent peak of calls out at
     *     the most. Guards against turning the least worthy away on quiet days: they stop at a
     *     small part of the limit
     */
    public AdaptiveConcurrencyLimit(double less, double more, double cut) {
        this.less = less;
        this.more = more;
        this.cut = cut;
    }

    /** Whether one more call may go out, for a request that finds only this part of the limit. */
    public boolean room(int out, double part) {
        boolean room = out < 1 || out < limit * part;
        met |= !room;
        return room;
    }

    /**
     * Takes in an answer.
     *
     * @param out calls out now
     * @param maxRecent the most that were out at once lately
     * @param min the limit never falls under this: this copy's part of what endpoints may always
     *     hold. With no more out there is no queue left to shorten by turning more away. Guards
     *     against refusing for good where answers are slow for another reason: connections that
     *     come up late, endpoints that hang
     */
    public void answered(boolean slow, int out, double maxRecent, double min) {
        if (slow && less > 0) {
            limit = Math.max(Math.max(1, min), Math.min(limit, cut * maxRecent + 1) - less);
        } else if (met || out > limit / 2) {
            limit += more;
            met = false;
        }
    }
}
