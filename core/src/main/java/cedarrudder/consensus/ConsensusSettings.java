package cedarrudder.consensus;

/**
 * The settings of the consensus protocol. Times are in nanoseconds.
 *
 * @param heartbeat the interval at which a leader sends a message to each other voter; at least 1
 *     ms
 * @param minElection the minimum election timeout: a voter without contact to a leader for this
 *     long may request votes; at least 3 heartbeats
 * @param maxElection the maximum election timeout; a leader that no majority has answered for this
 *     long steps down
 * @param voters the target number of voters: 3, 5 or 7
 * @param voterPatience the time after which a silent voter is replaced; over {@code maxElection}
 * @param spreadPeriod the interval between two digests of a replica; at least 1 ms
 * @param fanout the number of other replicas to which a replica sends newly committed entries; from
 *     1 to 8
 * @param bytesPerSecond the maximum rate at which a replica sends entries, snapshots and repeated
 *     fragments to others; at least 1,024
 * @param retainedEntries the number of committed entries that a replica retains for others; at
 *     least 8
 * @param formationTimeout the time without a known leader after which a replica forms a new group;
 *     over {@code voterPatience}; 0 for never
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

    /** The settings that apply where nothing else is configured. */
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

    /**
     * Checks the ranges above.
     *
     * @throws IllegalArgumentException if a value is outside its range; the message names the value
     */
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

    /** Returns these settings with another formation timeout. */
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
