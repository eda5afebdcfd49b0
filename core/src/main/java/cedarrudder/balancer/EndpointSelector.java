package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Which endpoint an attempt goes to: the hot-cold rule over the probe pool, else a random endpoint
 * of the subset, else any at random.
 *
 * <p>Where zones have shares of the traffic, first the assigned zone is tried, then those that
 * stand in for it. While the subset has a sound endpoint in a zone that serves, however busy, only
 * such zones are sent to, so that overload does not spread. Where it has none, the shares are
 * behind what this replica sees, and any zone may serve.
 */
final class EndpointSelector {

    /** Random endpoints that are looked at before a request is queued. */
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

    /** Whether an endpoint fails or is unresponsive. */
    boolean isSuspect(long now, EndpointState endpoint) {
        return endpoint.isFailing(now)
                || endpoint.isUnresponsive(now, serviceTimes.unresponsiveAfterNanos());
    }

    /** The endpoint for the next attempt of a request; null where none may take it now. */
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
        boolean zonesAreSound = hasSoundServingEndpoint(now, request);
        chosen =
                draw(
                        subset.ring(),
                        endpoint ->
                                admission.isServing(endpoint.zone()) == zonesAreSound
                                        && !isSuspect(now, endpoint)
                                        && eligible.test(endpoint));
        return chosen != null || zonesAreSound ? chosen : drawFromRing(request, eligible);
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
     * The hot-cold rule, else a random one of these that is not suspect.
     *
     * @param suspect whether an endpoint counts as hot whatever its load
     */
    private EndpointState selectAmong(
            long now,
            Predicate<EndpointState> eligible,
            Predicate<EndpointState> suspect,
            List<EndpointState> members) {
        subset.members(); // brought up to date first: a change of it takes entries off the pool
        double meanLatency = Math.max(MIN_MEAN_LATENCY_NANOS, serviceTimes.overallMean());
        double turnover = parameters.get(Parameter.TURNOVER_LATENCIES) * meanLatency;
        EndpointState picked = pool.pick(now, turnover, eligible, suspect);
        return picked != null ? picked : draw(members, eligible.and(suspect.negate()));
    }

    /** Whether the subset has an endpoint in a zone that serves which only lacks capacity. */
    private boolean hasSoundServingEndpoint(long now, RequestState request) {
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
     * A random eligible endpoint of all. A retry that is bound to a zone or cell may find none by
     * random draws, so it draws among the eligible ones alone.
     */
    private EndpointState drawFromRing(RequestState request, Predicate<EndpointState> eligible) {
        boolean bound =
                request.attemptCount() > 0 && request.requestClass().keyScope() != KeyScope.ALL;
        List<EndpointState> candidates =
                bound ? subset.ring().stream().filter(eligible).toList() : subset.ring();
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

    /** Whether an attempt of this request may go to an endpoint. */
    private boolean isEligible(long now, RequestState request, EndpointState endpoint) {
        return maySendTo(now, endpoint)
                && retries.mayAttempt(now, request, endpoint)
                && !request.hasTried(endpoint)
                && admission.zoneHasCapacity(now, endpoint.zone(), request);
    }

    /**
     * Whether anything new may be sent to an endpoint at all: it is listed as ready, holds no more
     * than it can, has taken connections, and is not pushed over while it warms up.
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
