package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The listed endpoints, with one {@link EndpointState} per incarnation. An endpoint that is not
 * ready is removed from the probe pool and the subset immediately.
 */
final class EndpointDirectory {

    private final BalancerParameters parameters;
    private final RandomGenerator random;
    private final EndpointSubset subset;
    private final ProbePool pool;
    private final Map<Long, EndpointState> endpoints = new HashMap<>();

    EndpointDirectory(
            BalancerParameters parameters,
            RandomGenerator random,
            EndpointSubset subset,
            ProbePool pool) {
        this.parameters = parameters;
        this.random = random;
        this.subset = subset;
        this.pool = pool;
    }

    /** Returns the current incarnation of an endpoint, or null if it is not listed. */
    EndpointState get(long id) {
        return endpoints.get(id);
    }

    /** Returns whether this incarnation is listed and ready. */
    boolean isCurrent(EndpointState endpoint) {
        return endpoint.isReady() && endpoints.get(endpoint.id()) == endpoint;
    }

    int count(Predicate<EndpointState> matches) {
        return (int) endpoints.values().stream().filter(matches).count();
    }

    /**
     * Applies a list or changes to it; endpoints that are missing from a complete list are removed.
     */
    void update(long now, EndpointListKind kind, List<Endpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<Long> listedIds = new HashSet<>();
            entries.forEach(entry -> listedIds.add(entry.id()));
            endpoints.values().stream()
                    .filter(endpoint -> !listedIds.contains(endpoint.id()))
                    .toList()
                    .forEach(this::remove);
        }
        entries.forEach(entry -> update(now, entry));
    }

    private void update(long now, Endpoint entry) {
        EndpointState known = endpoints.get(entry.id());
        boolean removed = entry.status() == EndpointStatus.REMOVED;
        if (known != null && (removed || isOtherIncarnation(known.endpoint(), entry))) {
            remove(known);
        }
        if (removed) {
            return;
        }
        EndpointState endpoint = endpoints.computeIfAbsent(entry.id(), id -> newState(now, entry));
        endpoint.setEndpoint(entry);
        updateReadiness(endpoint, endpoint.isReady());
    }

    /**
     * Returns whether an entry describes another incarnation than the known one, in which case
     * nothing that is known of the former applies.
     */
    private static boolean isOtherIncarnation(Endpoint known, Endpoint entry) {
        return known.startedAt() != entry.startedAt()
                || known.zone() != entry.zone()
                || known.cell() != entry.cell();
    }

    private EndpointState newState(long now, Endpoint entry) {
        return new EndpointState(
                entry, now, parameters.get(Parameter.INITIAL_ENDPOINT_LIMIT), random.nextDouble());
    }

    private void remove(EndpointState endpoint) {
        updateReadiness(endpoint, false);
        endpoints.remove(endpoint.id());
    }

    private void updateReadiness(EndpointState endpoint, boolean ready) {
        subset.update(endpoint, ready);
        if (!ready) {
            pool.remove(endpoint);
        }
    }
}
