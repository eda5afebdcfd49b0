package cedarrudder.failover;

import cedarrudder.routetable.RouteTable;
import java.util.List;

/**
 * The parameters of failover. Times are nanoseconds.
 *
 * @param regions which zones make a region
 * @param evacuatedZones zones that operators evacuate, by name: their requests go to other zones as
 *     far as those have capacity
 * @param period time between two reports of a replica; from 10 ms
 * @param evidenceAge observations older than this do not count; at least two periods
 * @param minReplicas number of replicas of a zone that must agree before their zone's vote counts,
 *     or all replicas of a zone that has fewer; from 1
 * @param badShare a replica votes that a zone is lost if more than this fraction of its requests
 *     there failed or got no response; over 0, below 1
 * @param targetShare fraction of a zone's capacity up to which it serves requests of other zones;
 *     over 0, to 1
 * @param nearShare fraction of a zone's capacity that its own requests may use; over 0, to 1
 * @param lossHold how long a loss must last before requests move away; from 0
 * @param returnStep requests return in steps of this fraction of the zone's requests; over 0, to 1
 * @param returnHold how long a zone must be healthy before each step; over the period
 * @param maxReturnHold maximum to which {@code returnHold} doubles for a zone that flaps; no less
 *     than {@code returnHold}
 * @param movesPerMinute maximum number of changes of one zone's routes within 60 s; from 8
 * @param probeShare fraction of a zone's requests that go to all other zones together, to probe
 *     them; 0 to 0.05
 */
public record FailoverSettings(
        Regions regions,
        List<String> evacuatedZones,
        long period,
        long evidenceAge,
        int minReplicas,
        double badShare,
        double targetShare,
        double nearShare,
        long lossHold,
        double returnStep,
        long returnHold,
        long maxReturnHold,
        int movesPerMinute,
        double probeShare) {

    private static final long MILLISECOND = 1_000_000L;
    private static final int MIN_MOVES = 8;
    private static final double MAX_PROBE_SHARE = 0.05;

    /** The default settings. */
    public static final FailoverSettings DEFAULT =
            new FailoverSettings(
                    Regions.NONE,
                    List.of(),
                    500 * MILLISECOND,
                    2_500 * MILLISECOND,
                    2,
                    0.5,
                    0.85,
                    0.92,
                    500 * MILLISECOND,
                    0.25,
                    5_000 * MILLISECOND,
                    60_000 * MILLISECOND,
                    8,
                    0.008);

    /**
     * Checks the ranges above.
     *
     * @throws IllegalArgumentException if a value is out of its range; the message names it
     */
    public FailoverSettings {
        evacuatedZones = List.copyOf(evacuatedZones);
        check(
                regions.problems(null).isEmpty(),
                "regions",
                regions.problems(null),
                "no contradiction");
        check(period >= 10 * MILLISECOND, "period", period, "10 ms or more");
        check(evidenceAge >= 2 * period, "evidenceAge", evidenceAge, "two periods or more");
        check(minReplicas >= 1, "leastCopies", minReplicas, "1 or more");
        check(badShare > 0 && badShare < 1, "badShare", badShare, "over 0, below 1");
        check(targetShare > 0 && targetShare <= 1, "targetShare", targetShare, "over 0, to 1");
        check(nearShare > 0 && nearShare <= 1, "nearShare", nearShare, "over 0, to 1");
        check(lossHold >= 0, "lossHold", lossHold, "0 or more");
        check(returnStep > 0 && returnStep <= 1, "returnStep", returnStep, "over 0, to 1");
        check(returnHold > period, "returnHold", returnHold, "over the period");
        check(
                maxReturnHold >= returnHold,
                "returnHoldMost",
                maxReturnHold,
                "no less than returnHold");
        check(
                movesPerMinute >= MIN_MOVES,
                "movesPerMinute",
                movesPerMinute,
                MIN_MOVES + " or more");
        check(
                probeShare >= 0 && probeShare <= MAX_PROBE_SHARE,
                "watchShare",
                probeShare,
                "0 to " + MAX_PROBE_SHARE);
    }

    /** Returns the weight of the requests that go to a zone only to probe it. */
    int probeWeight() {
        return (int) Math.ceil(probeShare * RouteTable.TOTAL_WEIGHT);
    }

    /** Returns the same settings with other regions. */
    public FailoverSettings regions(Regions other) {
        return new FailoverSettings(
                other,
                evacuatedZones,
                period,
                evidenceAge,
                minReplicas,
                badShare,
                targetShare,
                nearShare,
                lossHold,
                returnStep,
                returnHold,
                maxReturnHold,
                movesPerMinute,
                probeShare);
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
