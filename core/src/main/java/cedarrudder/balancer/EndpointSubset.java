package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import cedarrudder.routetable.RouteTable;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Selects the endpoints that this replica probes and sends to, by deterministic subsetting.
 *
 * <p>All ready endpoints form a ring, in an order that is the same at every replica and depends on
 * nothing else. The subset is a segment of the ring that starts at a position given by this
 * replica's number. Thus the subsets of all replicas cover the ring evenly, a change of the
 * endpoint list moves each subset by one endpoint at most, and the number of connections does not
 * grow as replicas times endpoints, which would exceed the capacity of endpoints that accept few
 * connections.
 */
final class EndpointSubset {

    /**
     * For this many endpoints of the own zone one of other zones is probed, as a fallback when the
     * own zone is overloaded.
     */
    private static final int OWN_PER_OTHER_ZONE = 3;

    /**
     * The subset shrinks only if the required size is below this fraction of the current one, so
     * that the size does not follow single requests.
     */
    private static final double SHRINK_BELOW = 0.75;

    private static final Comparator<EndpointState> RING_ORDER =
            (a, b) ->
                    a.ringOrder() != b.ringOrder()
                            ? Long.compareUnsigned(a.ringOrder(), b.ringOrder())
                            : Long.compareUnsigned(a.id(), b.id());

    private final BalancerSettings settings;
    private final BalancerParameters parameters;
    private final Consumer<EndpointState> onRemoved;
    private final List<EndpointState> ring = new ArrayList<>();
    private final List<EndpointState> members = new ArrayList<>();

    /** The zones that may be sent to, with their shares; empty if all zones may be. */
    private List<ZoneTrafficShare> zoneShares = List.of();

    private int targetSize;
    private boolean stale = true;

    /**
     * @param onRemoved called for each endpoint that is removed from the subset
     */
    EndpointSubset(
            BalancerSettings settings,
            BalancerParameters parameters,
            Consumer<EndpointState> onRemoved) {
        this.settings = settings;
        this.parameters = parameters;
        this.onRemoved = onRemoved;
        this.targetSize = (int) parameters.get(Parameter.SUBSET_MIN_SIZE);
    }

    /** Returns all ready endpoints, in ring order. */
    List<EndpointState> ring() {
        return ring;
    }

    /**
     * Adds an endpoint to the ring if the endpoint list says that it is ready, and removes it
     * otherwise.
     */
    void update(EndpointState endpoint, boolean ready) {
        endpoint.setInOtherZone(endpoint.zone() != settings.zone());
        int index = Collections.binarySearch(ring, endpoint, RING_ORDER);
        boolean present = index >= 0;
        if (ready && !present) {
            ring.add(-index - 1, endpoint);
        } else if (!ready && present) {
            ring.remove(index);
        }
        stale |= ready != present;
    }

    /**
     * Restricts the subset to the given zones, each with members according to its share; if the
     * list is empty, all zones have members.
     */
    void setZoneShares(List<ZoneTrafficShare> shares) {
        zoneShares = List.copyOf(shares);
        stale = true;
    }

    /**
     * Adapts the size of the subset to this replica's average number of attempts in flight: a
     * replica that sends much needs more endpoints.
     */
    void resize(double averageInFlight) {
        double sizeForCoverage =
                parameters.get(Parameter.SUBSET_COVERAGE)
                        * ring.size()
                        / Math.max(1, settings.replicas());
        double sizeForLoad = parameters.get(Parameter.SUBSET_PER_REQUEST) * averageInFlight;
        double min = parameters.get(Parameter.SUBSET_MIN_SIZE);
        int requiredSize = (int) Math.ceil(Math.max(min, Math.max(sizeForCoverage, sizeForLoad)));
        if (requiredSize > targetSize || requiredSize < (int) (targetSize * SHRINK_BELOW)) {
            targetSize = requiredSize;
            stale = true;
        }
    }

    /** Returns the members, after an update if one is due. */
    List<EndpointState> members() {
        if (stale) {
            stale = false;
            rebuild();
        }
        return members;
    }

    private void rebuild() {
        members.forEach(endpoint -> endpoint.setInSubset(false));
        List<EndpointState> formerMembers = new ArrayList<>(members);
        members.clear();
        for (ZoneTrafficShare share : zoneShares) {
            addSegment(endpoint -> endpoint.zone() == share.zone(), sizeFor(share));
        }
        if (members.isEmpty()) {
            int inOwnZone = addSegment(endpoint -> !endpoint.isInOtherZone(), targetSize);
            boolean fewInOwnZone = inOwnZone < parameters.get(Parameter.SUBSET_MIN_SIZE);
            addSegment(
                    EndpointState::isInOtherZone,
                    fewInOwnZone ? targetSize : targetSize / OWN_PER_OTHER_ZONE);
        }
        formerMembers.removeIf(EndpointState::isInSubset);
        formerMembers.forEach(onRemoved);
    }

    private int sizeFor(ZoneTrafficShare share) {
        double part = (double) share.parts() / RouteTable.TOTAL_WEIGHT;
        return (int) Math.ceil(targetSize * (part + (1 - part) / OWN_PER_OTHER_ZONE));
    }

    /** Adds a segment of the matching endpoints of the ring; returns how many endpoints match. */
    private int addSegment(Predicate<EndpointState> matches, int max) {
        List<EndpointState> candidates = ring.stream().filter(matches).toList();
        int count = Math.min(max, candidates.size());
        long start = (long) settings.self() * candidates.size() / Math.max(1, settings.replicas());
        for (int i = 0; i < count; i++) {
            EndpointState endpoint = candidates.get((int) ((start + i) % candidates.size()));
            endpoint.setInSubset(true);
            members.add(endpoint);
        }
        return candidates.size();
    }
}
