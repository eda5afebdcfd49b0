package cedarrudder.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Splits requests over zones by their parts of the traffic, bounds the rate of each zone, and
 * determines which requests no zone may receive.
 *
 * <p>Each request moves a point by the golden ratio around a circle that is divided among the zones
 * by their parts (a low-discrepancy sequence, Weyl 1916). So in any run of requests each zone gets
 * its part to within a request or two, while random draws would deviate by the square root of their
 * number; no state is needed when parts change; and replicas whose points start at random don't
 * send to the same zone at the same time.
 *
 * <p>If the parts sum to less than the whole, each request adds the fraction that they sum to as
 * tokens, and each request that is sent takes one token. A request with a share of 1 may use all
 * tokens; for one of lower priority some of them are reserved, as in {@link
 * AdaptiveConcurrencyLimit}, so that requests of the lowest priority are shed first. The rates of
 * zones work in the same way, with tokens added over time.
 */
public final class ZoneTrafficSplit {

    /** The result if no zone may receive the request. */
    public static final int NO_ZONE = -1;

    /** The capacity of a zone's bucket, in seconds of its rate; at least one request. */
    private static final double BURST_SECONDS = 0.5;

    /** The maximum number of tokens from unsent requests: enough to distinguish priorities. */
    private static final double MAX_TOKENS = 20;

    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * The part of the traffic that a zone may get.
     *
     * @param zone the number of the zone
     * @param parts how many parts of the whole; over 0
     * @param maxPerSecond the maximum rate in requests a second; 0: unlimited
     */
    public record Part(int zone, int parts, int maxPerSecond) {}

    /** One zone, with a token bucket that bounds its rate. */
    private static final class Zone {
        private final int number;
        private int parts;
        private int maxPerSecond;
        private double tokens = Double.POSITIVE_INFINITY;
        private long refilledAt;

        private Zone(int number) {
            this.number = number;
        }

        private boolean hasCapacity(long now, double share) {
            if (parts == 0 || maxPerSecond == 0) {
                return true;
            }
            double max = Math.max(1, BURST_SECONDS * maxPerSecond);
            double refilled = tokens + maxPerSecond * (now - refilledAt) / NANOS_PER_SECOND;
            tokens = Math.min(max, refilled);
            refilledAt = now;
            return isOpen(tokens, max, share);
        }
    }

    private final int ownZone;
    private final int totalWeight;
    private final RandomGenerator random;

    /** All zones that ever had a part, by number; they keep their tokens when parts change. */
    private final Map<Integer, Zone> known = new HashMap<>();

    /** The zones that have a part, in the order in which they substitute for one another. */
    private Zone[] zones = new Zone[0];

    private double sumOfParts;
    private double tokens = MAX_TOKENS;

    /** The point on the circle, from 0 to 1; NaN before the first update. */
    private double point = Double.NaN;

    /**
     * Creates a split without parts.
     *
     * @param ownZone the zone that is the first substitute for all others
     * @param totalWeight the whole: the sum of all parts if no request is to be shed
     * @param random used once, for the point to start at
     */
    public ZoneTrafficSplit(int ownZone, int totalWeight, RandomGenerator random) {
        this.ownZone = ownZone;
        this.totalWeight = totalWeight;
        this.random = random;
    }

    /**
     * Replaces the parts of the zones.
     *
     * @param parts at least one
     * @throws IllegalArgumentException if a zone occurs twice, or the parts sum to more than the
     *     whole; nothing changes then
     */
    public void update(List<Part> parts) {
        long sum = parts.stream().mapToLong(Part::parts).sum();
        List<Integer> numbers = parts.stream().map(Part::zone).toList();
        if (numbers.stream().distinct().count() < numbers.size()) {
            throw new IllegalArgumentException(
                    "shares: found zones " + numbers + "; allowed: each once");
        }
        if (sum > totalWeight) {
            throw new IllegalArgumentException(
                    "shares: found " + sum + " parts in all; allowed: up to " + totalWeight);
        }
        if (Double.isNaN(point)) {
            point = random.nextDouble();
        }
        sumOfParts = sum;
        if (sum == totalWeight) {
            tokens = MAX_TOKENS;
        }
        known.values().forEach(zone -> zone.parts = 0);
        for (Part part : parts) {
            Zone zone = known.computeIfAbsent(part.zone(), Zone::new);
            zone.parts = part.parts();
            zone.maxPerSecond = part.maxPerSecond();
        }
        zones =
                numbers.stream()
                        .sorted(Comparator.comparing(number -> number != ownZone))
                        .map(known::get)
                        .toArray(Zone[]::new);
    }

    /** Returns whether a zone has a part. */
    public boolean isServing(int zone) {
        Zone found = known.get(zone);
        return found != null && found.parts > 0;
    }

    /**
     * Returns the zone for a request that has arrived: the one at the point, or its first
     * substitute if its rate is exhausted. Called once for each request.
     *
     * @param share the fraction of the tokens that this request may use, from 0 to 1
     * @param admitted whether the request is sent at all; otherwise its token is left to others
     * @return {@link #NO_ZONE} if no zone may receive the request
     */
    public int assignZone(long now, double share, boolean admitted) {
        tokens = Math.min(MAX_TOKENS, tokens + sumOfParts / totalWeight);
        if (!admitted || !isOpen(tokens, MAX_TOKENS, share)) {
            return NO_ZONE;
        }
        point = (point + GOLDEN_RATIO) % 1;
        int[] candidates = candidates(now, zoneAtPoint(), share);
        if (candidates.length == 0) {
            return NO_ZONE;
        }
        tokens--;
        return candidates[0];
    }

    private int zoneAtPoint() {
        int index = 0;
        double rest = point * sumOfParts - zones[0].parts;
        while (rest >= 0 && index < zones.length - 1) {
            index++;
            rest -= zones[index].parts;
        }
        return zones[index].number;
    }

    /**
     * Returns the zones that may receive a request.
     *
     * @param first the preferred zone; comes first if it has a part, before its substitutes
     * @param share as for {@link #assignZone}
     */
    public int[] candidates(long now, int first, double share) {
        int[] candidates = new int[zones.length];
        int count = 0;
        if (isServing(first) && hasCapacity(now, first, share)) {
            candidates[count++] = first;
        }
        for (Zone zone : zones) {
            if (zone.number != first && zone.hasCapacity(now, share)) {
                candidates[count++] = zone.number;
            }
        }
        return Arrays.copyOf(candidates, count);
    }

    /**
     * Returns whether a zone's rate has capacity for a request with this share; always true for a
     * zone without a maximum rate.
     */
    public boolean hasCapacity(long now, int zone, double share) {
        Zone found = known.get(zone);
        return found == null || found.hasCapacity(now, share);
    }

    /** Records that a request was sent to a zone. */
    public void onSent(int zone) {
        Zone found = known.get(zone);
        if (found != null && found.maxPerSecond > 0) {
            found.tokens--;
        }
    }

    private static boolean isOpen(double tokens, double max, double share) {
        return tokens >= 1 + Math.max(0, 1 - share) * (max - 1);
    }
}
