package cedarrudder.budget;

/**
 * The bound on further attempts over all requests, after Finagle's RetryBudget: a fraction of the
 * first attempts in a sliding window, plus a minimum rate. Requests that are received as part of a
 * repeat of a tier above count as spent, so that the fraction holds for all tiers together.
 *
 * <p>The window has ten slots, which expire as a whole.
 */
final class RetryBudget {

    private static final int SLOTS = 10;

    private final double fraction;
    private final double minAttempts;
    private final long slotLength;
    private final long[] firstAttempts = new long[SLOTS];
    private final long[] spentAttempts = new long[SLOTS];
    private long slot;
    private long totalFirst;
    private long totalSpent;

    RetryBudget(double fraction, double minPerSecond, long window) {
        this.fraction = fraction;
        this.minAttempts = minPerSecond * window / 1e9;
        this.slotLength = Math.max(1, window / SLOTS);
    }

    /** Records a first attempt. */
    void recordFirstAttempt(long now) {
        firstAttempts[slotIndex(now)]++;
        totalFirst++;
    }

    /** Records a further attempt, or a received request that is part of a repeat. */
    void spend(long now) {
        spentAttempts[slotIndex(now)]++;
        totalSpent++;
    }

    /** Returns whether a further attempt may be sent. */
    boolean hasRemaining(long now) {
        slotIndex(now);
        return fraction * totalFirst + minAttempts - totalSpent >= 1;
    }

    private int slotIndex(long now) {
        long current = Math.floorDiv(now, slotLength);
        if (current - slot >= SLOTS) {
            slot = current - SLOTS;
        }
        while (slot < current) {
            slot++;
            int expired = Math.floorMod(slot, SLOTS);
            totalFirst -= firstAttempts[expired];
            totalSpent -= spentAttempts[expired];
            firstAttempts[expired] = 0;
            spentAttempts[expired] = 0;
        }
        return Math.floorMod(slot, SLOTS);
    }
}
