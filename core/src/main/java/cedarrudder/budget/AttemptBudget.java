package cedarrudder.budget;

/**
 * What one call, or the calls of one endpoint under one grant, may still spend on further attempts,
 * here and below.
 *
 * <p>At any time what is left, what was spent here and what was handed down and not given back add
 * up to what it started with. So the further attempts of this tier and of all below are never more
 * than that, as long as nobody below spends more than it was handed.
 */
final class AttemptBudget {

    private final int start;
    private int left;

    AttemptBudget(int start) {
        this.start = Math.max(0, start);
        this.left = this.start;
    }

    /** Whether a further attempt may go out here. */
    boolean covers() {
        return left > 0;
    }

    /** Pays for a further attempt made here. */
    void spend() {
        left--;
    }

    /**
     * What an attempt may hand down if this many are kept; it counts as spent until it is given
     * back.
     */
    int propagate(int keep) {
        int handed = Math.max(0, left - keep);
        left -= handed;
        return handed;
    }

    /**
     * Takes back what an attempt was handed and has not used. This avoids an answer that claims to
     * have spent more than was handed down, which would cost the other attempts theirs.
     */
    void giveBack(int handed, int spentBelow) {
        left += Math.max(0, handed - spentBelow);
    }

    /** What the client that gave this has to count as used. */
    int spent() {
        return start - left;
    }
}
