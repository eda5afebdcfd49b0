package cedarrudder.membership;

/**
 * The parameters of membership. Times are nanoseconds.
 *
 * @param period time between two probes by a healthy instance; at least 1 ms
 * @param ackTimeout time after which helpers are requested to ping the target; less than the period
 * @param helpers how many helpers are requested to ping a target; from 0
 * @param suspicionMultiplier a suspicion that others confirm lasts this many periods, times the
 *     logarithm to the base 10 of the number of live instances if that is over 1; over 0
 * @param maxSuspicionMultiplier a suspicion that nobody confirms lasts this many times longer than
 *     a confirmed one; at least 1
 * @param confirmations number of confirmations that make a suspicion as short as possible; at least
 *     1
 * @param retransmitMultiplier an update is sent this many times the logarithm to the base 2 of the
 *     number of live instances
 * @param maxHealthScore maximum local health score: an unhealthy instance's timeouts grow up to
 *     this factor plus one
 * @param deadProbePeriods a dead instance is pinged once in this many periods; at least 1
 */
public record MembershipSettings(
        long period,
        long ackTimeout,
        int helpers,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        int confirmations,
        int retransmitMultiplier,
        int maxHealthScore,
        int deadProbePeriods) {

    /** The default settings: Lifeguard's values at half its period. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(500_000_000L, 200_000_000L, 3, 4, 4, 3, 3, 8, 10);

    /**
     * Checks the ranges above.
     *
     * @throws IllegalArgumentException if a value is out of its range; the message names it
     */
    public MembershipSettings {
        check(period >= 1_000_000, "period", period, "1 ms or more");
        check(
                ackTimeout > 0 && ackTimeout < period,
                "ackPatience",
                ackTimeout,
                "over 0, below the period");
        check(helpers >= 0, "helpers", helpers, "0 or more");
        check(suspicionMultiplier > 0, "suspicionLeast", suspicionMultiplier, "over 0");
        check(maxSuspicionMultiplier >= 1, "suspicionMost", maxSuspicionMultiplier, "1 or more");
        check(confirmations >= 1, "confirmations", confirmations, "1 or more");
        check(retransmitMultiplier >= 1, "spread", retransmitMultiplier, "1 or more");
        check(maxHealthScore >= 0, "worstHealth", maxHealthScore, "0 or more");
        check(deadProbePeriods >= 1, "revivePeriods", deadProbePeriods, "1 or more");
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
