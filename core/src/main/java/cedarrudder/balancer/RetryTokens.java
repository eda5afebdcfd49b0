package cedarrudder.balancer;

/**
 * The retry budget, for retries and hedged requests alike: each admitted request adds a fraction of
 * a token, so that further attempts remain a small part of the load.
 */
final class RetryTokens {

    private final double perRequest;
    private final double max;
    private double tokens;

    /**
     * @param perRequest the tokens that an admitted request adds
     * @param max the maximum number of tokens, half of which are available initially
     */
    RetryTokens(double perRequest, double max) {
        this.perRequest = perRequest;
        this.max = max;
        this.tokens = max / 2;
    }

    void onRequest() {
        tokens = Math.min(max, tokens + perRequest);
    }

    boolean isAvailable() {
        return tokens >= 1;
    }

    void spend() {
        tokens--;
    }
}
