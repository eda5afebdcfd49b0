package cedarrudder.consensus;

/**
 * How many bytes may still be spent on others: this many a second, and at most those of one second
 * at once.
 */
final class ByteRateLimiter {

    private static final double SECOND = 1e9;

    private final int perSecond;
    private double left;
    private long at;

    ByteRateLimiter(int perSecond, long now) {
        this.perSecond = perSecond;
        this.left = perSecond;
        this.at = now;
    }

    /**
     * Spends them, if anything is left: one message may go beyond, and is paid for before the next.
     */
    boolean spend(long now, int bytes) {
        left = Math.min(perSecond, left + (now - at) * (perSecond / SECOND));
        at = now;
        if (left <= 0) {
            return false;
        }
        left -= bytes;
        return true;
    }
}
