package cedarrudder.balancer;

/**
 * A budget of further attempts, retries and hedged requests alike: each admitted request adds a
 * part of a token, so that they stay a small part of the load.
 */
final class RetryTokens {

    private final double perRequest;
    private final double max;
    private double tokens;

    /**
     * @param perRequest tokens that an admitted request adds
     * @param max tokens that may be saved up, half of which are there at first
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
