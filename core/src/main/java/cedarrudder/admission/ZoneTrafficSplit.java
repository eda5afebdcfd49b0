package cedarrudder.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Splits requests over zones by their parts, keeps the rate of each zone within its bound, and
 * tells which requests fit nowhere.
 *
 * <p>Each request moves a point by the golden ratio round a circle which the zones divide by their
 * parts (a low-discrepancy sequence, Weyl 1916). So of any run of requests each zone gets its part
 * to within a request or two, where a random draw for each would stray by the root of their number;
 * no state is needed when parts change; and replicas whose points start at random don't send to the
 * same zone at the same time.
 *
 * <p>Where the parts are less than a whole, each request adds that share of a token, and each that
 * is sent takes one. A request that asks with a share of 1 may take all tokens; one of lower
 * priority finds some of them reserved, as in {@link AdaptiveConcurrencyLimit}, so that the lowest
 * priority is shed first. The rates of zones work the same way by time.
 */
public final class ZoneTrafficSplit {

    /** No zone may get the request. */
    public static final int NO_ZONE = -1;

    /** A zone may save up this many seconds of its rate; one request in any case. */
    private static final double BURST_SECONDS = 0.5;

    /** Tokens that requests which were not sent may save up: enough to tell priorities apart. */
    private static final double MAX_TOKENS = 20;

    private static final double GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * What a zone may get.
     *
     * @param parts this many of the whole; over 0
     * @param maxPerSecond its bound in requests a second; 0: none
     */
    public record Part(int zone, int parts, int maxPerSecond) {}

    /** One zone, with a token bucket for its rate. */
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

    /** All zones that ever had a part; they keep their tokens when parts change. */
    private final Map<Integer, Zone> known = new HashMap<>();

    /** Those that have a part, in the order in which they stand in for one another. */
    private Zone[] zones = new Zone[0];

    private double sumOfParts;
    private double tokens = MAX_TOKENS;

    /** The point on the circle, from 0 to 1; NaN before the first parts. */
    private double point = Double.NaN;

    /**
     * A split without parts.
     *
     * @param ownZone the zone that stands in first for all others
     * @param totalWeight what all parts sum up to where every request has a place
     * @param random asked once, where to begin
     */
    public ZoneTrafficSplit(int ownZone, int totalWeight, RandomGenerator random) {
        this.ownZone = ownZone;
        this.totalWeight = totalWeight;
        this.random = random;
    }

    /**
     * Sets the parts of zones, one at least, in place of the former ones.
     *
     * @throws IllegalArgumentException where a zone comes twice, or the parts are more than a
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

    /** Whether a zone has a part. */
    public boolean isServing(int zone) {
        Zone found = known.get(zone);
        return found != null && found.parts > 0;
    }

    /**
     * The zone for a request that has arrived, to be called for each: the one whose turn it is, or
     * where its rate is reached the first that stands in for it.
     *
     * @param share the share of saved tokens that is open to this request, from 0 to 1
     * @param admitted whether it is sent at all; one that is not leaves its place to others
     * @return {@link #NO_ZONE} where none may get it
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
     * The zones that may get a request: this one first, if it has a part, and then those that stand
     * in for it.
     *
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

    /** Whether a zone's rate has room for such a request; a zone without a bound always has. */
    public boolean hasCapacity(long now, int zone, double share) {
        Zone found = known.get(zone);
        return found == null || found.hasCapacity(now, share);
    }

    /** A request was sent to a zone. */
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
