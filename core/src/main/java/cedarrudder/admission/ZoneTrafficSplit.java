package cedarrudder.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Deals calls to zones by their parts, keeps what each zone gets a second within its bound, and
 * tells which calls fit nowhere.
 *
 * <p>Each call moves a point by the golden ratio round a circle which the zones divide by their
 * parts (a sequence of low discrepancy, after Weyl, 1916). So of any run of calls each zone gets
 * its part to within a call or two, where a draw for each would stray by the root of their number;
 * nothing has to be kept when parts change; and copies whose points start at random don't send to
 * the same zone at the same time.
 *
 * <p>Where the parts are less than a whole, each call pays in that share of a call, and each that
 * goes takes one out. Whoever asks with a part of 1 may take all that was saved; who is worth less
 * finds some of it kept from him, as in a {@link AdaptiveConcurrencyLimit}: so the least worthy
 * goes without. The bounds a second are the same by time.
 */
public final class ZoneTrafficSplit {

    /** No zone may get the call. */
    public static final int NOWHERE = -1;

    /**
     * A zone may save up this many seconds of its bound, which copies agree on; one call in any
     * case.
     */
    private static final double SECONDS = 0.5;

    /**
     * So many calls may be saved up by those that didn't go: enough to tell worth apart, soon used
     * up.
     */
    private static final double CALLS = 20;

    private static final double GOLDEN = (Math.sqrt(5) - 1) / 2;

    /**
     * What a zone may get.
     *
     * @param parts of the whole, so many; over 0
     * @param perSecond its bound in calls a second; 0: none
     */
    public record Part(int zone, int parts, int perSecond) {}

    private static final class Zone {
        final int number;
        int parts;
        int perSecond;
        double saved = Double.POSITIVE_INFINITY;
        long at;

        Zone(int number) {
            this.number = number;
        }
    }

    private final int own;
    private final int whole;
    private final RandomGenerator random;

    /** All zones that ever had a part. Guards against new savings with each change of the parts. */
    private final Map<Integer, Zone> known = new HashMap<>();

    /** Those that have one, in the order in which they stand in for one another. */
    private Zone[] zones = new Zone[0];

    private double sum;
    private double paid = CALLS;
    private double point = Double.NaN;

    /**
     * @param own the zone that stands in first for all others
     * @param whole what all parts sum up to where every call has a place
     * @param random asked once, where to begin
     */
    public ZoneTrafficSplit(int own, int whole, RandomGenerator random) {
        this.own = own;
        this.whole = whole;
        this.random = random;
    }

    /**
     * Sets the parts of zones, one at the least, in place of the former. The savings stay as they
     * are.
     *
     * @throws IllegalArgumentException where a zone comes twice, or the parts are more than a
     *     whole; nothing changes then
     */
    public void set(List<Part> parts) {
        long all = parts.stream().mapToLong(Part::parts).sum();
        List<Integer> numbers = parts.stream().map(Part::zone).toList();
        if (numbers.stream().distinct().count() < numbers.size()) {
            throw new IllegalArgumentException(
                    "shares: found zones " + numbers + "; allowed: each once");
        }
        if (all > whole) {
            throw new IllegalArgumentException(
                    "shares: found " + all + " parts in all; allowed: up to " + whole);
        }
        point = Double.isNaN(point) ? random.nextDouble() : point;
        sum = all;
        paid = all == whole ? CALLS : paid;
        known.values().forEach(zone -> zone.parts = 0);
        for (Part part : parts) {
            Zone zone = known.computeIfAbsent(part.zone(), Zone::new);
            zone.parts = part.parts();
            zone.perSecond = part.perSecond();
        }
        zones =
                numbers.stream()
                        .sorted(Comparator.comparing(number -> number != own))
                        .map(known::get)
                        .toArray(Zone[]::new);
    }

    /** Whether a zone has a part. */
    public boolean has(int zone) {
        Zone found = known.get(zone);
        return found != null && found.parts > 0;
    }

    /**
     * The zone for a call that has come, to be asked for each: the one whose turn it is, or where
     * its bound is reached the first that stands in for it.
     *
     * @param part of what is saved, so much is open to this call; from 0 to 1
     * @param goes whether it goes anywhere at all; one that doesn't leaves its place to others
     */
    public int next(long now, double part, boolean goes) {
        paid = Math.min(CALLS, paid + sum / whole);
        if (!goes || !open(paid, CALLS, part)) {
            return NOWHERE;
        }
        point = (point + GOLDEN) % 1;
        int at = 0;
        for (double left = point * sum - zones[0].parts; left >= 0 && at < zones.length - 1; ) {
            left -= zones[++at].parts;
        }
        int[] open = order(now, zones[at].number, part);
        paid -= open.length > 0 ? 1 : 0;
        return open.length > 0 ? open[0] : NOWHERE;
    }

    /**
     * The zones that may get a call: this one first, if it has a part, and then those that stand in
     * for it.
     *
     * @param part as for {@link #next}
     */
    public int[] order(long now, int first, double part) {
        int[] order = new int[zones.length];
        int count = 0;
        if (has(first) && room(now, first, part)) {
            order[count++] = first;
        }
        for (Zone zone : zones) {
            if (zone.number != first && room(now, zone.number, part)) {
                order[count++] = zone.number;
            }
        }
        return Arrays.copyOf(order, count);
    }

    /** Whether a zone's bound lets such a call go there; a zone without a bound does. */
    public boolean room(long now, int zone, double part) {
        Zone found = known.get(zone);
        if (found == null || found.parts == 0 || found.perSecond == 0) {
            return true;
        }
        double max = Math.max(1, SECONDS * found.perSecond);
        found.saved = Math.min(max, found.saved + found.perSecond * (now - found.at) / 1e9);
        found.at = now;
        return open(found.saved, max, part);
    }

    /** A call goes to a zone. */
    public void sent(int zone) {
        Zone found = known.get(zone);
        if (found != null && found.perSecond > 0) {
            found.saved--;
        }
    }

    private static boolean open(double saved, double max, double part) {
        return saved >= 1 + Math.max(0, 1 - part) * (max - 1);
    }
}
