package cedarrudder.failover;

import java.util.List;

/**
 * The figures of failover. Times are nanoseconds.
 *
 * @param regions which zones make a region
 * @param leave zones that operators have left, by name: their calls go elsewhere as far as there is
 *     room
 * @param period a replica sums up what it saw once in this time; from 10 ms
 * @param evidenceAge what is older counts for nothing; at least two periods
 * @param minReplicas this many replicas of a zone must say so before that zone's word counts, or
 *     all where it has fewer; from 1
 * @param badShare a replica says that a zone is lost where more than this share of its calls there
 *     failed or was silent; over 0, below 1
 * @param targetShare other zones' calls don't take a zone past this share of what it can do now;
 *     over 0, to 1
 * @param nearShare a zone that can't serve all of its own calls gets this much of what it can do
 *     now; over 0, to 1
 * @param lossHold a loss must be seen for this long; from 0
 * @param returnStep calls come back by this share of the zone's at once; over 0, to 1
 * @param returnHold so long a zone must do well before each step; over the period
 * @param maxReturnHold that time doubles up to this for a zone that comes and goes; no less than it
 * @param movesPerMinute the shares of one zone's calls change no more often within 60 s; from 8
 * @param watchShare this share of a zone's calls goes to all others together, so that they are
 *     seen; 0 to 0.05
 */
public record FailoverSettings(
        Regions regions,
        List<String> leave,
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
        double watchShare) {

    private static final long MILLI = 1_000_000L;
    private static final int MIN_MOVES = 8;
    private static final double MAX_WATCH = 0.05;

    /** What serves where nothing else is said. */
    public static final FailoverSettings DEFAULT =
            new FailoverSettings(
                    Regions.NONE,
                    List.of(),
                    500 * MILLI,
                    2_500 * MILLI,
                    2,
                    0.5,
                    0.85,
                    0.92,
                    500 * MILLI,
                    0.25,
                    5_000 * MILLI,
                    60_000 * MILLI,
                    8,
                    0.008);

    /** Checks the ranges above; what lies outside is an IllegalArgumentException that names it. */
    public FailoverSettings {
        leave = List.copyOf(leave);
        check(
                regions.problems(null).isEmpty(),
                "regions",
                regions.problems(null),
                "no contradiction");
        check(period >= 10 * MILLI, "period", period, "10 ms or more");
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
                watchShare >= 0 && watchShare <= MAX_WATCH,
                "watchShare",
                watchShare,
                "0 to " + MAX_WATCH);
    }

    /** The same with other regions. */
    public FailoverSettings regions(Regions other) {
        return new FailoverSettings(
                other,
                leave,
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
                watchShare);
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
