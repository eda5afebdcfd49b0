package cedarrudder.balancer;

import java.util.List;

/**
 * The settings with which a balancer is started.
 *
 * @param replicas the number of replicas that send to this tier
 * @param self the number of this replica among them, from 0
 * @param zone the zone of this replica
 * @param tier the tier that this replica sends to, from 0
 * @param tierCount the number of tiers
 * @param pollsEndpoints whether discovery has to be polled; otherwise it pushes endpoint lists
 */
public record BalancerSettings(
        int replicas,
        int self,
        int zone,
        int tier,
        int tierCount,
        boolean pollsEndpoints,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        SafetyRules safety,
        ServiceGoal goal,
        ServicePrices prices) {

    /** The rule by which requests of a class may be retried once an attempt may have run. */
    public enum Idempotency {
        /** Always retried: a repeat has no effect. */
        SAFE,
        /** Retried with the same idempotency key, where endpoints remember that key. */
        KEYED,
        /** Never retried. */
        UNSAFE
    }

    /** The endpoints that recognize an idempotency key. */
    public enum KeyScope {
        /** All endpoints. */
        ALL,
        /** The endpoints of the zone that received the key first. */
        ZONE,
        /** The endpoints of the cell that received the key first. */
        CELL
    }

    /**
     * A class of requests.
     *
     * @param latencyObjectiveNanos responses within this time after arrival have the full weight
     * @param deadlineNanos the maximum time that a client waits, over its first try and all retries
     * @param priorityWeight the weight of one served request in the site's goal
     * @param lateWeight the fraction of the weight that a later response still has
     * @param keyWindowNanos how long endpoints remember an idempotency key, from the first attempt
     *     that may have run
     * @param streaming whether responses are streamed
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            KeyScope keyScope,
            long latencyObjectiveNanos,
            long deadlineNanos,
            double priorityWeight,
            double lateWeight,
            long keyWindowNanos,
            boolean streaming) {}

    /**
     * A tenant.
     *
     * @param quotaShare the tenant's quota as a share of the service
     * @param quotaPerSecond that quota in requests per second over all replicas; 0: none
     */
    public record Tenant(String name, double quotaShare, double quotaPerSecond) {}

    /**
     * The limits that the site sets on probes, attempts, retry advice and connections.
     *
     * @param probing whether endpoints may be probed
     * @param cancellation whether attempts in flight may be cancelled
     * @param hedging whether a request may have several attempts in flight
     * @param retryAfterAdvice whether rejections may carry advice when to retry
     * @param maxAttempts the maximum number of attempts of one request, the first one included
     * @param connectionIdleNanos the time after which endpoints close idle connections; 0: never
     */
    public record Limits(
            boolean probing,
            boolean cancellation,
            boolean hedging,
            boolean retryAfterAdvice,
            int maxAttempts,
            long maxRetryAfterNanos,
            long connectTimeoutNanos,
            long connectionIdleNanos) {}

    /**
     * The parameters of the rules that protect endpoints.
     *
     * @param drainGraceNanos nothing is sent to a draining or removed endpoint from this long after
     *     its status is known
     * @param coldCapacityShare the minimum fraction of its capacity with which an endpoint starts
     * @param slowStartNanos the time within which a started endpoint is warm
     * @param overloadMultiple an endpoint that warms up fails if it is sent more than this multiple
     *     of what it can serve, for the time of {@code overloadWindowNanos}
     * @param overloadWindowNanos the time for which an endpoint that warms up bears such an
     *     overload
     * @param pollIntervalNanos if discovery is polled: the maximum time between two polls
     */
    public record SafetyRules(
            long drainGraceNanos,
            double coldCapacityShare,
            long slowStartNanos,
            double overloadMultiple,
            long overloadWindowNanos,
            long pollIntervalNanos) {}

    /**
     * The site's goal, as a weighted sum of served fractions of weight.
     *
     * @param overallWeight the weight of the fraction of all requests
     * @param worstWindowWeight the weight of the fraction in the worst time window
     * @param worstClassWeight the weight of the fraction of the class that is served worst
     * @param worstTenantWeight the weight of the fraction of the tenant that is served worst
     * @param overQuotaWeight the fraction of its weight that a request over its tenant's quota has
     * @param weightByWork whether a request's weight is that of its class for each unit of work;
     *     otherwise all requests of a class have the same weight
     */
    public record ServiceGoal(
            double overallWeight,
            double worstWindowWeight,
            double worstClassWeight,
            double worstTenantWeight,
            double overQuotaWeight,
            boolean weightByWork) {

        /**
         * Creates a goal in which requests of a class have the same weight, whatever their work.
         */
        public ServiceGoal(
                double overallWeight,
                double worstWindowWeight,
                double worstClassWeight,
                double worstTenantWeight,
                double overQuotaWeight) {
            this(
                    overallWeight,
                    worstWindowWeight,
                    worstClassWeight,
                    worstTenantWeight,
                    overQuotaWeight,
                    false);
        }
    }

    /**
     * The prices that the site charges, as fractions of the goal and for each request that has
     * arrived.
     *
     * @param probe the price of a probe
     * @param handshake the price of a new connection
     */
    public record ServicePrices(double probe, double handshake) {}
}
