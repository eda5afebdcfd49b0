package cedarrudder.consensus;

/**
 * The figures of agreement. Times are nanoseconds.
 *
 * @param heartbeat between two messages of a leader to each other voter; at least 1 ms
 * @param minElection a voter that hears no leader for this long may ask for votes; at least 3
 *     heartbeats
 * @param maxElection the longest that one waits; a leader that a majority has not answered for so
 *     long steps down
 * @param voters how many there are to be: 3, 5 or 7
 * @param voterPatience a voter silent for this long is replaced; over {@code maxElection}
 * @param spreadPeriod between two digests of a replica; at least 1 ms
 * @param fanout to how many others it passes on what it has just learned; from 1 to 8
 * @param bytesPerSecond the most that it spends on entries, snapshots and repeats for others; at
 *     least 1,024
 * @param retainedEntries how many committed entries it keeps for others; at least 8
 * @param formationTimeout after which a replica that hears of no leader forms a new group; 0 is
 *     never
 */
public record ConsensusSettings(
        long heartbeat,
        long minElection,
        long maxElection,
        int voters,
        long voterPatience,
        long spreadPeriod,
        int fanout,
        int bytesPerSecond,
        int retainedEntries,
        long formationTimeout) {

    private static final long MILLI = 1_000_000L;

    /** What serves where nothing else is said. */
    public static final ConsensusSettings DEFAULT =
            new ConsensusSettings(
                    150 * MILLI,
                    600 * MILLI,
                    1_200 * MILLI,
                    5,
                    5_000 * MILLI,
                    400 * MILLI,
                    4,
                    16_384,
                    32,
                    0);

    /** Checks the ranges above; what lies outside is an IllegalArgumentException that names it. */
    public ConsensusSettings {
        check(heartbeat >= MILLI, "heartbeat", heartbeat, "1 ms or more");
        check(minElection >= 3 * heartbeat, "electionLeast", minElection, "3 heartbeats or more");
        check(maxElection > minElection, "electionMost", maxElection, "over electionLeast");
        check(voters == 3 || voters == 5 || voters == 7, "voters", voters, "3, 5 or 7");
        check(voterPatience > maxElection, "voterPatience", voterPatience, "over electionMost");
        check(spreadPeriod >= MILLI, "spreadPeriod", spreadPeriod, "1 ms or more");
        check(fanout >= 1 && fanout <= 8, "fanout", fanout, "1 to 8");
        check(bytesPerSecond >= 1_024, "bytesPerSecond", bytesPerSecond, "1,024 or more");
        check(retainedEntries >= 8, "keptEntries", retainedEntries, "8 or more");
        check(
                formationTimeout == 0 || formationTimeout > voterPatience,
                "silence",
                formationTimeout,
                "0, or over voterPatience");
    }

    /** The same with another silence. */
    public ConsensusSettings withFormationTimeout(long other) {
        return new ConsensusSettings(
                heartbeat,
                minElection,
                maxElection,
                voters,
                voterPatience,
                spreadPeriod,
                fanout,
                bytesPerSecond,
                retainedEntries,
                other);
    }

    private static void check(boolean allowed, String name, Object found, String range) {
        if (!allowed) {
            throw new IllegalArgumentException(name + ": found " + found + "; allowed: " + range);
        }
    }
}
