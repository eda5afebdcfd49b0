package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Selects the endpoint for an attempt: by the hot-cold rule over the probe pool, otherwise at
 * random from the subset, otherwise at random from all ready endpoints.
 *
 * <p>If zones have shares of the traffic, the assigned zone is tried first, then the zones that
 * substitute for it. As long as the subset has a healthy endpoint in a serving zone, however busy,
 * attempts are sent only to serving zones, so that overload does not spread. If it has none, the
 * shares lag behind what this replica observes, and any zone may serve.
 */
final class EndpointSelector {

    /** Number of random endpoints that are checked before a request is queued. */
    private static final int RANDOM_DRAWS = 16;

    private static final double MIN_MEAN_LATENCY_NANOS = 1e6;

    private final BalancerSettings settings;
    private final BalancerParameters parameters;
    private final RandomGenerator random;
    private final EndpointSubset subset;
    private final ProbePool pool;
    private final ServiceTimes serviceTimes;
    private final TrafficStatistics traffic;
    private final AdmissionControl admission;
    private final RetryPolicy retries;

    EndpointSelector(
            BalancerSettings settings,
            BalancerParameters parameters,
            RandomGenerator random,
            EndpointSubset subset,
            ProbePool pool,
            ServiceTimes serviceTimes,
            TrafficStatistics traffic,
            AdmissionControl admission,
            RetryPolicy retries) {
        this.settings = settings;
        this.parameters = parameters;
        this.random = random;
        this.subset = subset;
        this.pool = pool;
        this.serviceTimes = serviceTimes;
        this.traffic = traffic;
        this.admission = admission;
        this.retries = retries;
    }

    /** Returns whether an endpoint is failing or unresponsive. */
    boolean isSuspect(long now, EndpointState endpoint) {
        return endpoint.isFailing(now)
                || endpoint.isUnresponsive(now, serviceTimes.unresponsiveAfterNanos());
    }

    /**
     * Returns the endpoint for the next attempt of a request, or null if no endpoint may receive it
     * now.
     */
    EndpointState select(long now, RequestState request) {
        Predicate<EndpointState> eligible = endpoint -> isEligible(now, request, endpoint);
        if (!admission.hasZoneShares()) {
            EndpointState chosen =
                    selectAmong(
                            now, eligible, endpoint -> isSuspect(now, endpoint), subset.members());
            return chosen != null ? chosen : drawFromRing(request, eligible);
        }
        EndpointState chosen = selectByZone(now, request, eligible);
        if (chosen != null) {
            return chosen;
        }
        boolean servingZonesHealthy = hasHealthyServingEndpoint(now, request);
        chosen =
                draw(
                        subset.ring(),
                        endpoint ->
                                admission.isServing(endpoint.zone()) == servingZonesHealthy
                                        && !isSuspect(now, endpoint)
                                        && eligible.test(endpoint));
        return chosen != null || servingZonesHealthy ? chosen : drawFromRing(request, eligible);
    }

    private EndpointState selectByZone(
            long now, RequestState request, Predicate<EndpointState> eligible) {
        for (int zone : admission.candidateZones(now, request)) {
            Predicate<EndpointState> avoided =
                    endpoint ->
                            endpoint.zone() != zone
                                    || isSuspect(now, endpoint)
                                    || endpoint.probe().lastFailed();
            List<EndpointState> inZone =
                    subset.members().stream().filter(endpoint -> endpoint.zone() == zone).toList();
            EndpointState chosen =
                    selectAmong(now, avoided.negate().and(eligible), avoided, inZone);
            if (chosen != null) {
                return chosen;
            }
        }
        return null;
    }

    /**
     * Selects an endpoint by the hot-cold rule, otherwise a random member that is not suspect.
     *
     * @param suspect the endpoints that count as hot whatever their load
     */
    private EndpointState selectAmong(
            long now,
            Predicate<EndpointState> eligible,
            Predicate<EndpointState> suspect,
            List<EndpointState> members) {
        subset.members(); // updates the subset first, which may remove entries from the pool
        double meanLatency = Math.max(MIN_MEAN_LATENCY_NANOS, serviceTimes.overallMean());
        double turnover = parameters.get(Parameter.TURNOVER_LATENCIES) * meanLatency;
        EndpointState picked = pool.pick(now, turnover, eligible, suspect);
        return picked != null ? picked : draw(members, eligible.and(suspect.negate()));
    }

    /**
     * Returns whether the subset has an endpoint in a serving zone that lacks nothing but capacity.
     */
    private boolean hasHealthyServingEndpoint(long now, RequestState request) {
        for (EndpointState endpoint : subset.members()) {
            if (admission.isServing(endpoint.zone())
                    && !endpoint.isOutOfConnections(now)
                    && !isSuspect(now, endpoint)
                    && !endpoint.probe().lastFailed()
                    && retries.mayAttempt(now, request, endpoint)
                    && !request.hasTried(endpoint)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns a random eligible endpoint of all ready ones. For a retry that is restricted to a
     * zone or cell, random draws from all may find no eligible endpoint, so only the eligible ones
     * are drawn from.
     */
    private EndpointState drawFromRing(RequestState request, Predicate<EndpointState> eligible) {
        boolean restricted =
                request.attemptCount() > 0 && request.requestClass().keyScope() != KeyScope.ALL;
        List<EndpointState> candidates =
                restricted ? subset.ring().stream().filter(eligible).toList() : subset.ring();
        return draw(candidates, eligible);
    }

    private EndpointState draw(List<EndpointState> from, Predicate<EndpointState> eligible) {
        for (int i = 0; i < RANDOM_DRAWS && !from.isEmpty(); i++) {
            EndpointState endpoint = from.get(random.nextInt(from.size()));
            if (eligible.test(endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /** Returns whether an attempt of this request may be sent to an endpoint. */
    private boolean isEligible(long now, RequestState request, EndpointState endpoint) {
        return maySendTo(now, endpoint)
                && retries.mayAttempt(now, request, endpoint)
                && !request.hasTried(endpoint)
                && admission.zoneHasCapacity(now, endpoint.zone(), request);
    }

    /**
     * Returns whether any new attempt may be sent to an endpoint: the endpoint is listed as ready,
     * is below its concurrency limit, has not run out of connections, and is not overloaded while
     * it warms up.
     */
    private boolean maySendTo(long now, EndpointState endpoint) {
        return endpoint.isReady()
                && endpoint.hasCapacity(now, settings.replicas())
                && !endpoint.isOutOfConnections(now)
                && (!endpoint.isWarmingUp(now, settings.safety())
                        || endpoint.withinSlowStartBudget(
                                now, warmRate(now, endpoint), parameters, settings.safety()));
    }

    private double warmRate(long now, EndpointState endpoint) {
        return traffic.warmRate(
                now,
                endpoint.isInSubset(),
                serviceTimes.coreTimeMean(),
                subset.members().size(),
                subset.ring().size());
    }
}
