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
 * Applies administrative overrides to the endpoint list of discovery: endpoints that operators have
 * disabled, and endpoints that all replicas drain. The balancer sees such an endpoint as draining,
 * so that every rule on drains applies to it and no other code handles disabled endpoints.
 *
 * <p>An endpoint that is enabled again counts as started at that time. Otherwise one that was
 * restarted meanwhile would get the load of a warm endpoint until discovery reports its new start.
 * Performs no I/O and reads no clock. Not thread-safe.
 */
public final class AdminOverrides {

    /**
     * The maximum number of remembered ids that are no longer listed; the latest are retained. The
     * limit bounds memory only: a request for an older id is treated as for one never listed.
     */
    private static final int MAX_FORMER_IDS = 4096;

    /** An endpoint and the id that operators use for it. */
    public record NamedEndpoint(String name, Endpoint endpoint) {}

    private final Map<String, Endpoint> listed = new HashMap<>();
    private final Map<String, Long> reenabledAt = new HashMap<>();
    private final Set<String> former = new LinkedHashSet<>();
    private final Set<String> disabled = new HashSet<>();
    private Set<Long> draining = Set.of();

    /** Applies an update of discovery and returns its endpoints with the overrides applied. */
    public List<Endpoint> updateListed(EndpointListKind kind, List<NamedEndpoint> entries) {
        if (kind != EndpointListKind.DELTA) {
            Set<String> names = new HashSet<>();
            entries.forEach(entry -> names.add(entry.name()));
            List.copyOf(listed.keySet()).stream()
                    .filter(name -> !names.contains(name))
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
        reenabledAt.remove(name);
        if (listed.remove(name) != null) {
            former.add(name);
            for (Iterator<String> oldest = former.iterator(); former.size() > MAX_FORMER_IDS; ) {
                oldest.next();
                oldest.remove();
            }
        }
    }

    /** Returns a listed endpoint with the overrides applied, or null if it is not listed. */
    public Endpoint effectiveEndpoint(String name) {
        Endpoint entry = listed.get(name);
        if (entry == null) {
            return null;
        }
        EndpointStatus status =
                disabled.contains(name) || draining.contains(entry.id())
                        ? EndpointStatus.DRAINING
                        : entry.status();
        long startedAt =
                Math.max(entry.startedAt(), reenabledAt.getOrDefault(name, entry.startedAt()));
        return new Endpoint(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                status,
                entry.weight(),
                startedAt);
    }

    /** Returns whether an endpoint with this id is remembered as listed or disabled. */
    public boolean isKnown(String name) {
        return listed.containsKey(name) || former.contains(name) || disabled.contains(name);
    }

    /** Disables an endpoint, whatever discovery lists. */
    public void disable(String name) {
        disabled.add(name);
    }

    /**
     * Enables an endpoint, so that its status is the one that discovery lists. It counts as started
     * at {@code now}.
     */
    public void enable(String name, long now) {
        if (disabled.remove(name)) {
            reenabledAt.put(name, now);
            if (!listed.containsKey(name)) {
                reenabledAt.remove(name);
                former.add(name);
            }
        }
    }

    /**
     * Sets the endpoints that all replicas drain. They are overridden like disabled ones; an
     * endpoint that is both serves again only when it is neither.
     *
     * @param nodes the numbers of the endpoints in the balancer
     * @return the ids of the listed endpoints whose status may have changed
     */
    public Set<String> setDraining(Set<Long> nodes, long now) {
        Set<String> changed = new HashSet<>();
        listed.forEach(
                (name, entry) -> {
                    if (draining.contains(entry.id()) != nodes.contains(entry.id())) {
                        if (!nodes.contains(entry.id()) && !disabled.contains(name)) {
                            reenabledAt.put(name, now);
                        }
                        changed.add(name);
                    }
                });
        draining = Set.copyOf(nodes);
        return changed;
    }

    /** Returns the ids of the disabled endpoints. */
    public Set<String> disabled() {
        return Set.copyOf(disabled);
    }

    /** Returns the id of the listed endpoint with a number, or null if there is none. */
    public String name(long node) {
        return listed.entrySet().stream()
                .filter(entry -> entry.getValue().id() == node)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    /** Returns the endpoints that discovery lists by id, without overrides. */
    public Map<String, Endpoint> listed() {
        return Collections.unmodifiableMap(listed);
    }

    /** Returns the number of endpoints that discovery lists. */
    public int size() {
        return listed.size();
    }
}
