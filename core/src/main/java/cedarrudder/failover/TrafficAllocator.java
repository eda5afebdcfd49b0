package cedarrudder.failover;

import cedarrudder.failover.ZoneHealthSnapshot.ZoneHealth;
import cedarrudder.routetable.RouteTable;
import java.util.Arrays;

/**
 * Allocates the requests that zones can't serve themselves to the nearest zones with spare
 * capacity. An instance is used for one plan.
 */
final class TrafficAllocator {

    /**
     * Number of rounds in which spare capacity is allocated, so that zones that compete for it all
     * get a part.
     */
    private static final int ROUNDS = 20;

    /**
     * A zone whose endpoints don't report load may be allocated this many times the rate that it
     * serves, each time it was healthy.
     */
    private static final double UNREPORTED_GROWTH = 1.25;

    /** Requests per second below which a zone's requests are not moved. */
    static final double MIN_DEMAND = 0.5;

    /** Rates that differ by less are equal. */
    private static final double EPSILON = 1e-9;

    private final FailoverSettings settings;
    private final int[][] ranks;
    private final ZoneCeiling[] ceilings;
    private final ZoneLoads loads;
    private final TrafficSplit current;
    private final ZoneHealthSnapshot health;
    private final int zones;

    /**
     * Creates an allocator for one plan.
     *
     * @param ranks how far each zone is from each
     * @param current the split in use
     */
    TrafficAllocator(
            FailoverSettings settings,
            int[][] ranks,
            ZoneCeiling[] ceilings,
            ZoneLoads loads,
            TrafficSplit current,
            ZoneHealthSnapshot health) {
        this.settings = settings;
        this.ranks = ranks;
        this.ceilings = ceilings;
        this.loads = loads;
        this.current = current;
        this.health = health;
        this.zones = ranks.length;
    }

    /**
     * The state of an allocation: the rates allocated so far, and the excess and the spare capacity
     * of each zone.
     */
    private static final class Allocation {
        final double[][] rates;
        final double[] excess;
        final double[] spare;

        Allocation(int zones) {
            rates = new double[zones][zones];
            excess = new double[zones];
            spare = new double[zones];
        }
    }

    /** Returns the next split, in which the rows of zones that don't move are the current ones. */
    TrafficSplit allocate(boolean[] moving) {
        Allocation allocation = start(moving);
        allocateExcess(allocation);
        addReserve(allocation);
        allocateExcess(allocation);
        int[] senders = countSenders(allocation, moving);
        TrafficSplit next = new TrafficSplit(zones);
        for (int zone = 0; zone < zones; zone++) {
            if (moving[zone] && zone(zone).demand() >= MIN_DEMAND) {
                writeRow(next, allocation, senders, zone);
            } else {
                next.copyRow(zone, current);
            }
            ensureProbed(next, zone);
        }
        return next;
    }

    private ZoneHealth zone(int number) {
        return health.zones().get(number);
    }

    private Allocation start(boolean[] moving) {
        Allocation allocation = new Allocation(zones);
        for (int zone = 0; zone < zones; zone++) {
            double own = ceilings[zone].ownRate(zone(zone));
            allocation.rates[zone][zone] = own;
            allocation.excess[zone] = moving[zone] ? zone(zone).demand() - own : 0;
            allocation.spare[zone] = spareCapacity(zone);
        }
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones && !moving[from]; to++) {
                if (to != from) {
                    allocation.spare[to] -= ZoneLoads.rate(current, health, from, to);
                }
            }
        }
        return allocation;
    }

    private double spareCapacity(int number) {
        ZoneHealth zone = zone(number);
        ZoneCeiling ceiling = ceilings[number];
        if (!ceiling.acceptsOtherZones(zone)) {
            return 0;
        }
        double max = settings.targetShare() * zone.capacity();
        if (zone.lacksLoadReports() && ceiling.isHealthy()) {
            max = Math.max(max, UNREPORTED_GROWTH * zone.served());
        }
        return max - zone.demand() - loads.unreportedRate(health, number);
    }

    /**
     * Adds the reserve: requests of a lost zone that found no capacity may use other zones up to
     * the limit for those zones' own requests, since they would otherwise be rejected.
     */
    private void addReserve(Allocation allocation) {
        double reserve = settings.nearShare() - settings.targetShare();
        for (int zone = 0; zone < zones && reserve > 0; zone++) {
            ZoneHealth zoneHealth = zone(zone);
            boolean hasReserve =
                    ceilings[zone].acceptsOtherZones(zoneHealth) && !zoneHealth.lacksLoadReports();
            allocation.spare[zone] += hasReserve ? reserve * zoneHealth.capacity() : 0;
            allocation.excess[zone] = ceilings[zone].isFailedOver() ? allocation.excess[zone] : 0;
        }
    }

    /** Allocates all excess to other zones, the nearest first. */
    private void allocateExcess(Allocation allocation) {
        int farthest = Arrays.stream(ranks).flatMapToInt(Arrays::stream).max().orElse(0);
        for (int rank = 1; rank <= farthest; rank++) {
            double[] excess = allocation.excess.clone();
            for (int round = 0; round < ROUNDS; round++) {
                for (int from = 0; from < zones; from++) {
                    allocateRound(allocation, from, rank, excess[from] / ROUNDS);
                }
            }
        }
    }

    /**
     * Allocates some of one zone's excess to the zones of a rank, in proportion to their spare
     * capacity.
     */
    private void allocateRound(Allocation allocation, int from, int rank, double max) {
        double wanted = Math.min(max, allocation.excess[from]);
        double spare = 0;
        for (int to = 0; to < zones; to++) {
            spare += isTarget(from, to, rank) ? Math.max(0, allocation.spare[to]) : 0;
        }
        if (spare <= 0 || wanted <= 0) {
            return;
        }
        double part = Math.min(1, wanted / spare);
        for (int to = 0; to < zones; to++) {
            if (isTarget(from, to, rank) && allocation.spare[to] > 0) {
                double amount = part * allocation.spare[to];
                allocation.rates[from][to] += amount;
                allocation.spare[to] -= amount;
                allocation.excess[from] -= amount;
            }
        }
    }

    private boolean isTarget(int from, int to, int rank) {
        return ranks[from][to] == rank && zone(to).mayServe(from);
    }

    /** Returns for each zone how many other zones send requests to it. */
    private int[] countSenders(Allocation allocation, boolean[] moving) {
        int[] senders = new int[zones];
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones; to++) {
                boolean sends =
                        moving[from]
                                ? allocation.rates[from][to] > 0
                                : current.weights[from][to] > TrafficSplitPlanner.MIN_MOVE;
                senders[to] += to != from && sends ? 1 : 0;
            }
        }
        return senders;
    }

    private void writeRow(TrafficSplit next, Allocation allocation, int[] senders, int zone) {
        ZoneHealth zoneHealth = zone(zone);
        ZoneCeiling ceiling = ceilings[zone];
        double ownRate = ownRate(allocation, zone);
        next.isVacated[zone] = ceiling.isMoved() || ceiling.isEvacuated();
        long moved = 0;
        for (int to = 0; to < zones; to++) {
            double rate = to == zone ? ownRate : allocation.rates[zone][to];
            int weight = (int) (RouteTable.TOTAL_WEIGHT * rate / zoneHealth.demand());
            next.weights[zone][to] = Math.min(RouteTable.TOTAL_WEIGHT, weight);
            if (to != zone && weight > 0) {
                // The limit includes the target's remaining spare capacity, for requests beyond
                // those observed now.
                double spare = Math.max(0, allocation.spare[to]) / Math.max(1, senders[to]);
                next.maxPerSecond[zone][to] = (int) Math.max(1, rate + spare);
                moved += weight;
            }
        }
        double stayingRate =
                zoneHealth.demand() - moved * zoneHealth.demand() / RouteTable.TOTAL_WEIGHT;
        if (!ceiling.isFailedOver() || ownRate + EPSILON >= stayingRate) {
            // A healthy zone rejects nothing because of this plan, and no weight is lost by
            // rounding.
            next.weights[zone][zone] = (int) (RouteTable.TOTAL_WEIGHT - moved);
        }
    }

    /**
     * Returns the rate that the zone serves itself: while it recovers, this includes requests that
     * found no capacity elsewhere.
     */
    private double ownRate(Allocation allocation, int zone) {
        double rate = allocation.rates[zone][zone];
        ZoneCeiling ceiling = ceilings[zone];
        if (ceiling.isFailedOver() && ceiling.value() > 0) {
            double max = settings.nearShare() * zone(zone).capacity();
            return Math.max(rate, Math.min(rate + allocation.excess[zone], max));
        }
        return rate;
    }

    /**
     * Ensures that some requests of a zone go to every other zone, and to the zone itself even if
     * it is lost: nothing is known of a zone that gets no requests.
     */
    private void ensureProbed(TrafficSplit next, int zone) {
        int probeWeight = settings.probeWeight();
        if (probeWeight == 0 || zones == 1) {
            return;
        }
        int[] row = next.weights[zone];
        int weightOfOther = Math.max(1, probeWeight / (zones - 1));
        for (int to = 0; to < zones; to++) {
            int min = to == zone ? probeWeight : weightOfOther;
            if (row[to] < min) {
                raise(next, zone, to, min);
            }
        }
    }

    /**
     * Raises a weight to a minimum, at the expense of the unserved weight and of the largest weight
     * of the row.
     */
    private static void raise(TrafficSplit next, int zone, int to, int min) {
        int[] row = next.weights[zone];
        int largest = 0;
        for (int other = 0; other < row.length; other++) {
            largest = row[other] > row[largest] ? other : largest;
        }
        int unserved = next.unservedWeight(zone);
        int missing = Math.min(min - row[to], unserved + Math.max(0, row[largest] - min));
        row[largest] -= Math.max(0, missing - unserved);
        row[to] += missing;
    }
}
