package cedarrudder.balancer;

import java.util.List;

/**
 * All that a balancer is given when it starts.
 *
 * @param replicas how many replicas send to this tier
 * @param self the number of this replica among them, from 0
 * @param zone the zone of this replica
 * @param tier the tier that this replica sends to, from 0
 * @param tierCount how many tiers there are
 * @param pollsEndpoints whether discovery has to be polled; else it pushes lists
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

    /** Whether the requests of a class may be retried once one attempt may have run. */
    public enum Idempotency {
        /** Always: a repeat has no effect. */
        SAFE,
        /** With the same idempotency key, where endpoints remember it. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** Which endpoints recognize an idempotency key. */
    public enum KeyScope {
        /** All of them. */
        ALL,
        /** Those of the zone that got the key first. */
        ZONE,
        /** Those of the cell that got the key first. */
        CELL
    }

    /**
     * One class of requests.
     *
     * @param latencyObjectiveNanos answers within this time of arrival have the full weight
     * @param deadlineNanos the longest that a client waits, over all its tries
     * @param priorityWeight the weight of one served request in the site's goal
     * @param lateWeight the share of the weight that a later answer still has
     * @param keyWindowNanos how long endpoints remember an idempotency key, from the first attempt
     *     that may have run
     * @param streaming whether answers are streamed
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
     * One tenant.
     *
     * @param quotaShare its share of the service
     * @param quotaPerSecond that share in requests a second over all replicas; 0: none
     */
    public record Tenant(String name, double quotaShare, double quotaPerSecond) {}

    /**
     * What the site permits.
     *
     * @param probing whether endpoints may be probed
     * @param cancellation whether attempts in flight may be cancelled
     * @param hedging whether a request may have several attempts in flight
     * @param retryAfterAdvice whether rejections may carry advice when to retry
     * @param maxAttempts all attempts of one request
     * @param connectionIdleNanos endpoints close connections that are idle for this long; 0: never
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
     * The parameters of the rules that keep endpoints from harm.
     *
     * @param drainGraceNanos nothing is sent to a draining or removed endpoint this long after that
     *     is known
     * @param coldCapacityShare an endpoint starts with at least this share of its capacity
     * @param slowStartNanos and is warm within this time
     * @param overloadMultiple sent more than this multiple of what it can do ...
     * @param overloadWindowNanos ... for this long, an endpoint that warms up fails
     * @param pollIntervalNanos where discovery is polled: the longest between two polls
     */
    public record SafetyRules(
            long drainGraceNanos,
            double coldCapacityShare,
            long slowStartNanos,
            double overloadMultiple,
            long overloadWindowNanos,
            long pollIntervalNanos) {}

    /**
     * The site's goal, as a weighted sum of shares of weight that are served.
     *
     * @param overallWeight of all that is served
     * @param worstWindowWeight of the worst span of time
     * @param worstClassWeight of the class that is served worst
     * @param worstTenantWeight of the tenant that is served worst
     * @param overQuotaWeight the share of its weight that a request over its tenant's quota has
     * @param weightByWork whether a request's weight is its class's for each unit of its work, and
     *     not the same for all requests of the class
     */
    public record ServiceGoal(
            double overallWeight,
            double worstWindowWeight,
            double worstClassWeight,
            double worstTenantWeight,
            double overQuotaWeight,
            boolean weightByWork) {

        /** A goal in which requests of a class have the same weight, whatever their work. */
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
     * What the site charges, in parts of the goal and for each request that has come in.
     *
     * @param probe for a probe
     * @param handshake for a new connection
     */
    public record ServicePrices(double probe, double handshake) {}
}
