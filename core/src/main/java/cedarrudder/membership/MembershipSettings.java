package cedarrudder.membership;

/**
 * The figures of membership. Times are nanoseconds.
 *
 * @param period between two instances asked by one that is well; at least 1 ms
 * @param ackPatience after which others are asked to ask; less than the period
 * @param helpers how many others are; from 0
 * @param minSuspicion a suspicion that others confirm stands this many periods, times the logarithm
 *     to the base 10 of the live instances where that is over 1; over 0
 * @param maxSuspicion one that nobody confirms stands this many times longer; at least 1
 * @param confirmations confirmations that make it as short as can be; at least 1
 * @param spread a piece of news goes out this many times the logarithm to the base 2 of the live
 *     instances
 * @param worstHealth an instance that does badly itself waits up to this many times longer, and
 *     once more
 * @param revivePeriods one of the dead is asked again each this many periods; at least 1
 */
public record MembershipSettings(
        long period,
        long ackPatience,
        int helpers,
        double minSuspicion,
        double maxSuspicion,
        int confirmations,
        int spread,
        int worstHealth,
        int revivePeriods) {

    /** What serves where nothing else is said: Lifeguard's figures at half its period. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(500_000_000L, 200_000_000L, 3, 4, 4, 3, 3, 8, 10);

    /** Checks the ranges above; what lies outside is an IllegalArgumentException that names it. */
    public MembershipSettings {
        check(period >= 1_000_000, "period", period, "1 ms or more");
        check(
                ackPatience > 0 && ackPatience < period,
                "ackPatience",
                ackPatience,
                "over 0, below the period");
        check(helpers >= 0, "helpers", helpers, "0 or more");
        check(minSuspicion > 0, "suspicionLeast", minSuspicion, "over 0");
        check(maxSuspicion >= 1, "suspicionMost", maxSuspicion, "1 or more");
        check(confirmations >= 1, "confirmations", confirmations, "1 or more");
        check(spread >= 1, "spread", spread, "1 or more");
        check(worstHealth >= 0, "worstHealth", worstHealth, "0 or more");
        check(revivePeriods >= 1, "revivePeriods", revivePeriods, "1 or more");
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
