package cedarrudder.consensus;

/**
 * How many bytes may still be spent on others: this many a second, and at most those of one second
 * at once.
 */
final class ByteRateLimiter {

    private static final double SECOND = 1e9;

    private final int perSecond;
    private double tokens;
    private long refilledAt;

    ByteRateLimiter(int perSecond, long now) {
        this.perSecond = perSecond;
        this.tokens = perSecond;
        this.refilledAt = now;
    }

    /**
     * Spends them, if anything is left: one message may go beyond, and is paid for before the next.
     */
    boolean tryAcquire(long now, int bytes) {
        tokens = Math.min(perSecond, tokens + (now - refilledAt) * (perSecond / SECOND));
        refilledAt = now;
        if (tokens <= 0) {
            return false;
        }
        tokens -= bytes;
        return true;
    }
}
