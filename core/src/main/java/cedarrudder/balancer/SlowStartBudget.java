package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.SafetyRules;

/**
 * A token bucket that limits how much this replica may send to one endpoint while the endpoint
 * warms up. A token is the cost of a mean request.
 *
 * <p>The bucket is filled at the rate of load that the endpoint can bear from this replica at its
 * current capacity. At most the tokens of half an overload window accumulate. If that is less than
 * one request, a token that is not used in time expires, since all replicas that have waited would
 * otherwise send their one request at the same time. The bucket starts with a random debt of up to
 * one request, so that the first requests of many replicas are spread out at the budget's rate.
 */
final class SlowStartBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Available tokens, in mean requests. An attempt needs at least 0 and may overdraw the bucket.
     */
    private double tokens;

    private long refilledAt;

    /**
     * @param initialDebt the initial debt in mean requests, from 0 to 1
     */
    SlowStartBudget(long now, double initialDebt) {
        this.tokens = -initialDebt;
        this.refilledAt = now;
    }

    /**
     * Refills the bucket and returns whether an attempt may be sent.
     *
     * @param capacity the fraction of its full capacity that the endpoint has now
     * @param warmRate the rate at which the endpoint serves this replica once warm, in mean
     *     requests per second
     */
    boolean refillAndCheck(
            long now,
            double capacity,
            double warmRate,
            BalancerParameters parameters,
            SafetyRules safety) {
        double plannedMultiple =
                parameters.get(BalancerParameters.Parameter.SLOW_START_BUDGET_SHARE)
                        * safety.overloadMultiple();
        double rate = plannedMultiple * capacity * warmRate;
        double max = rate * safety.overloadWindowNanos() / NANOS_PER_SECOND / 2;
        double excess = tokens + rate * (now - refilledAt) / NANOS_PER_SECOND - max;
        tokens = max + (excess <= 0 ? excess : retainedExcess(excess, max));
        refilledAt = now;
        return tokens >= 0;
    }

    /**
     * Returns what is retained of an excess over the maximum: nothing, or, in a bucket of less than
     * one request, the part that counts towards the next request.
     */
    private static double retainedExcess(double excess, double max) {
        return max < 1 ? excess % 1 - 1 : 0;
    }

    void spend(double cost) {
        tokens -= cost;
    }
}
