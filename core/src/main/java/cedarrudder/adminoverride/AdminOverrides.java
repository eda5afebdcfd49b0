package cedarrudder.adminoverride;

import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointListKind;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which listed endpoints operators have disabled, and which are being removed in common: laid over
 * what discovery lists. The balancer sees such an endpoint as one that drains, so that every rule
 * on drains holds for it, and nothing else knows of disabling.
 *
 * <p>An endpoint that is enabled again counts as started then. This avoids an endpoint that was
 * restarted meanwhile being sent the load of a warm one, before discovery tells of its new start.
 * Pure; not thread-safe.
 */
public final class AdminOverrides {

    /**
     * Ids are kept this many at most beyond those that are listed, the latest. It bounds memory
     * alone: what operators ask for an older one is answered as for one that was never listed.
     */
    private static final int MAX_FORMER = 4096;

    /** An endpoint under the id that operators know it by. */
    public record NamedEndpoint(String name, Endpoint endpoint) {}

    private final Map<String, Endpoint> listed = new HashMap<>();
    private final Map<String, Long> returnedAt = new HashMap<>();
    private final Set<String> former = new LinkedHashSet<>();
    private final Set<String> disabled = new HashSet<>();
    private Set<Long> draining = Set.of();

    /** Takes in what discovery says, and returns it as the balancer is to see it. */
    public List<Endpoint> updateListed(EndpointListKind kind, List<NamedEndpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<String> named = new HashSet<>();
            entries.forEach(entry -> named.add(entry.name()));
            List.copyOf(listed.keySet()).stream()
                    .filter(name -> !named.contains(name))
                    .forEach(this::remove);
        }
        List<Endpoint> effectiveEndpoints = new ArrayList<>(entries.size());
        for (NamedEndpoint entry : entries) {
            if (entry.endpoint().status() == EndpointStatus.REMOVED) {
                remove(entry.name());
                effectiveEndpoints.add(entry.endpoint());
            } else {
                former.remove(entry.name());
                listed.put(entry.name(), entry.endpoint());
                effectiveEndpoints.add(effectiveEndpoint(entry.name()));
            }
        }
        return effectiveEndpoints;
    }

    private void remove(String name) {
        returnedAt.remove(name);
        if (listed.remove(name) != null) {
            former.add(name);
            for (Iterator<String> oldest = former.iterator(); former.size() > MAX_FORMER; ) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** A listed endpoint as the balancer is to see it now; null where it is not listed. */
    public Endpoint effectiveEndpoint(String name) {
        Endpoint entry = listed.get(name);
        if (entry == null) {
            return null;
        }
        EndpointStatus state =
                disabled.contains(name) || draining.contains(entry.id())
                        ? EndpointStatus.DRAINING
                        : entry.status();
        long startedAt =
                Math.max(entry.startedAt(), returnedAt.getOrDefault(name, entry.startedAt()));
        return new Endpoint(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                state,
                entry.weight(),
                startedAt);
    }

    /** Whether an endpoint of this id was ever listed, as far as is remembered. */
    public boolean isKnown(String name) {
        return listed.containsKey(name) || former.contains(name) || disabled.contains(name);
    }

    /** From now on the endpoint is left out, whatever discovery lists. */
    public void disable(String name) {
        disabled.add(name);
    }

    /**
     * From now on the endpoint is what discovery lists, and as if it had started at {@code now}.
     */
    public void enable(String name, long now) {
        if (disabled.remove(name)) {
            returnedAt.put(name, now);
            if (!listed.containsKey(name)) {
                returnedAt.remove(name);
                former.add(name);
            }
        }
    }

    /**
     * These endpoints, by the numbers of the balancer, are being removed in common: they are left
     * out as disabled ones are, and neither of the two puts back an endpoint that the other leaves
     * out.
     *
     * @return listed endpoints that the balancer is to see anew
     */
    public Set<String> setDraining(Set<Long> nodes, long now) {
        Set<String> changed = new HashSet<>();
        listed.forEach(
                (name, entry) -> {
                    if (draining.contains(entry.id()) != nodes.contains(entry.id())) {
                        if (!nodes.contains(entry.id()) && !disabled.contains(name)) {
                            returnedAt.put(name, now);
                        }
                        changed.add(name);
                    }
                });
        draining = Set.copyOf(nodes);
        return changed;
    }

    /** The endpoints that are disabled now. */
    public Set<String> disabled() {
        return Set.copyOf(disabled);
    }

    /** The id of a listed endpoint by its number; null where there is none. */
    public String name(long node) {
        return listed.entrySet().stream()
                .filter(entry -> entry.getValue().id() == node)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    /** What discovery lists, by id, whatever operators or replicas leave out. */
    public Map<String, Endpoint> listed() {
        return Collections.unmodifiableMap(listed);
    }

    /** How many endpoints discovery lists. */
    public int size() {
        return listed.size();
    }
}
