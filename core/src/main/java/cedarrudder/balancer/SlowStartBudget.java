package cedarrudder.balancer;

import cedarrudder.balancer.BalancerSettings.SafetyRules;

/**
 * How much this replica may send to one endpoint while it warms up: a token bucket in mean
 * requests.
 *
 * <p>It fills with the load that the endpoint can bear from this replica at its present capacity.
 * At most half a window's part is saved up; where that is under one request, a turn that is not
 * used expires, since all replicas that have waited would otherwise send their one request at once.
 * It begins in debt by up to one request, drawn at random, so that the first requests of many
 * replicas come spread out at the budget's rate.
 */
final class SlowStartBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    /** An attempt needs it to be at least 0 and may overdraw it. */
    private double tokens;

    private long refilledAt;

    /**
     * @param initialDebt where it begins, in mean requests, from 0 to 1
     */
    SlowStartBudget(long now, double initialDebt) {
        this.tokens = -initialDebt;
        this.refilledAt = now;
    }

    /**
     * Refills the bucket and tells whether it has room for an attempt.
     *
     * @param capacity the share of its whole capacity that the endpoint has now
     * @param warmRate what it does for this replica once warm, in mean requests a second
     */
    boolean tryRefill(
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
        tokens = max + (excess <= 0 ? excess : expiredExcess(excess, max));
        refilledAt = now;
        return tokens >= 0;
    }

    /**
     * What is left of an excess: nothing, or of a bucket under one request, the next turn's part.
     */
    private static double expiredExcess(double excess, double max) {
        return max < 1 ? excess % 1 - 1 : 0;
    }

    void spend(double cost) {
        tokens -= cost;
    }
}
