package cedarrudder.consensus;

/**
 * A rate limit on the bytes that are sent to other replicas. The budget grows by the given number
 * of bytes per second, up to the bytes of one second.
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
     * Takes a message's bytes from the budget if any of it is left, and returns whether it was. One
     * message may exceed the budget; the next ones wait until the excess is made up.
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
