package cedarrudder.budget;

/**
 * The bound on further attempts over all requests: a share of the first tries of a sliding window
 * and a least rate, after Finagle's RetryBudget. Calls that come as part of a repeat further up
 * count as spent, so that the share holds for all tiers together.
 *
 * <p>The window has ten slots; a slot leaves it as a whole.
 */
final class RetryBudget {

    private static final int SLOTS = 10;

    private final double share;
    private final double min;
    private final long slotLength;
    private final long[] first = new long[SLOTS];
    private final long[] spent = new long[SLOTS];
    private long slot;
    private long firstInAll;
    private long spentInAll;

    RetryBudget(double share, double minPerSecond, long window) {
        this.share = share;
        this.min = minPerSecond * window / 1e9;
        this.slotLength = Math.max(1, window / SLOTS);
    }

    /** A first try has come. */
    void first(long now) {
        first[at(now)]++;
        firstInAll++;
    }

    /** A further attempt goes out, or a call has come that is part of a repeat. */
    void spend(long now) {
        spent[at(now)]++;
        spentInAll++;
    }

    /** Whether a further attempt may go out. */
    boolean covers(long now) {
        at(now);
        return share * firstInAll + min - spentInAll >= 1;
    }

    private int at(long now) {
        long current = Math.floorDiv(now, slotLength);
        if (current - slot >= SLOTS) {
            slot = current - SLOTS;
        }
        while (slot < current) {
            slot++;
            int leaving = Math.floorMod(slot, SLOTS);
            firstInAll -= first[leaving];
            spentInAll -= spent[leaving];
            first[leaving] = 0;
            spent[leaving] = 0;
        }
        return Math.floorMod(slot, SLOTS);
    }
}
