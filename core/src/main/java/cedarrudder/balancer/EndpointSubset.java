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
 * Deterministic subsetting: the endpoints that this replica probes and sends to.
 *
 * <p>All ready endpoints stand in a ring, in an order that every replica agrees on and that has to
 * do with nothing else. The subset is a run of the ring that starts where this replica's number
 * puts it. So the subsets of all replicas cover the ring evenly, a change of the list moves each by
 * one endpoint at most, and the number of connections does not grow as replicas times endpoints,
 * which endpoints with few connections could not bear.
 */
final class EndpointSubset {

    /**
     * One endpoint of other zones is probed for this many of the own: a way out when the own zone
     * is overloaded.
     */
    private static final int OWN_PER_OTHER_ZONE = 3;

    /**
     * The subset shrinks only below this share of its size, so that it follows no single request.
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

    /** The zones that may be sent to, each with its share; empty: all may. */
    private List<ZoneTrafficShare> zoneShares = List.of();

    private int targetSize;
    private boolean stale = true;

    /**
     * @param onRemoved called for each endpoint that leaves the subset while it stays listed
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

    /** All ready endpoints, in ring order. */
    List<EndpointState> ring() {
        return ring;
    }

    /** Adds an endpoint to the ring or removes it, as the list says whether it is ready. */
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

    /** From now on only the named zones have members, each by its share; none named: all have. */
    void setZoneShares(List<ZoneTrafficShare> shares) {
        zoneShares = List.copyOf(shares);
        stale = true;
    }

    /**
     * Fits the size to the attempts that this replica has in flight on average: one with much to
     * send needs more endpoints.
     */
    void resize(double averageInFlight) {
        double covering =
                parameters.get(Parameter.SUBSET_COVERAGE)
                        * ring.size()
                        / Math.max(1, settings.replicas());
        double bearing = parameters.get(Parameter.SUBSET_PER_REQUEST) * averageInFlight;
        double min = parameters.get(Parameter.SUBSET_MIN_SIZE);
        int wanted = (int) Math.ceil(Math.max(min, Math.max(covering, bearing)));
        if (wanted > targetSize || wanted < (int) (targetSize * SHRINK_BELOW)) {
            targetSize = wanted;
            stale = true;
        }
    }

    /** The members, brought up to date. */
    List<EndpointState> members() {
        if (stale) {
            stale = false;
            rebuild();
        }
        return members;
    }

    private void rebuild() {
        members.forEach(endpoint -> endpoint.setInSubset(false));
        List<EndpointState> former = new ArrayList<>(members);
        members.clear();
        for (ZoneTrafficShare share : zoneShares) {
            addRun(endpoint -> endpoint.zone() == share.zone(), sizeFor(share));
        }
        if (members.isEmpty()) {
            int inOwnZone = addRun(endpoint -> !endpoint.isInOtherZone(), targetSize);
            boolean fewInOwnZone = inOwnZone < parameters.get(Parameter.SUBSET_MIN_SIZE);
            addRun(
                    EndpointState::isInOtherZone,
                    fewInOwnZone ? targetSize : targetSize / OWN_PER_OTHER_ZONE);
        }
        former.removeIf(EndpointState::isInSubset);
        former.forEach(onRemoved);
    }

    private int sizeFor(ZoneTrafficShare share) {
        double part = (double) share.parts() / RouteTable.TOTAL_WEIGHT;
        return (int) Math.ceil(targetSize * (part + (1 - part) / OWN_PER_OTHER_ZONE));
    }

    /** Adds a run of those in the ring that match; returns how many match. */
    private int addRun(Predicate<EndpointState> matches, int max) {
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
