package cedarrudder.consensus;

import java.util.List;

/**
 * The storage for the state that a replica must not lose. Written data counts as stored once {@link
 * #sync} has returned, and is not reported to others before that. An implementation that can no
 * longer write must end the process.
 */
public interface StableStorage {

    /**
     * The term, vote and identity of a replica, which it must not forget.
     *
     * @param incarnation the replica's incarnation as a voter; a process that recovers its state
     *     continues with it
     * @param vote the candidate that got its vote in that term, or null
     * @param admitted whether a committed set of voters has contained this incarnation
     */
    record HardState(VoterGroup group, long incarnation, long term, Voter vote, boolean admitted) {}

    /**
     * The complete state that was read back.
     *
     * @param entries the entries after the snapshot; changes of the voters among them may be
     *     uncommitted
     */
    record Recovered(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
        public Recovered {
            entries = List.copyOf(entries);
        }
    }

    /** Returns what an earlier process wrote and synced, or null if there is nothing of it. */
    Recovered recovered();

    void writeHardState(HardState hardState);

    /** Writes an entry in place of the one at its index and all after it. */
    void append(long index, LogEntry entry);

    /** Removes the entry at an index and all after it. */
    void truncateFrom(long from);

    /** Writes a snapshot. Entries up to its index need not be retained; those after it are. */
    void writeSnapshot(Snapshot snapshot);

    /**
     * Persists everything that was written since the last call. If the process ends before this
     * returns, either all of it is read back or nothing: the hard state of a new group without that
     * group's log would be taken together with the log of the former group.
     */
    void sync();

    /**
     * The storage of a replica without a persistent disk, which loses everything when its process
     * ends.
     */
    StableStorage NONE =
            new StableStorage() {
                @Override
                public Recovered recovered() {
                    return null;
                }

                @Override
                public void writeHardState(HardState hardState) {}

                @Override
                public void append(long index, LogEntry entry) {}

                @Override
                public void truncateFrom(long from) {}

                @Override
                public void writeSnapshot(Snapshot snapshot) {}

                @Override
                public void sync() {}
            };
}
