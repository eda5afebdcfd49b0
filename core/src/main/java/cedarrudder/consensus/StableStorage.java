package cedarrudder.consensus;

import java.util.List;

/**
 * Where a replica keeps what it must not forget. What was written counts once {@link #sync} has
 * returned: nothing is spoken of before that. One that can't write any more has to end the process.
 */
public interface StableStorage {

    /**
     * What a replica has promised.
     *
     * @param incarnation of the replica as a voter; a process that remembers goes on with it
     * @param vote whom it voted for in that term, or null
     * @param admitted whether a committed set of voters has had this life
     */
    record HardState(VoterGroup group, long incarnation, long term, Voter vote, boolean admitted) {}

    /**
     * What was read back, whole.
     *
     * @param entries those after the snapshot; their voters may not be committed
     */
    record Recovered(HardState hardState, Snapshot snapshot, List<LogEntry> entries) {
        public Recovered {
            entries = List.copyOf(entries);
        }
    }

    /** What an earlier process wrote and synced; null where nothing is left of it. */
    Recovered recovered();

    void writeHardState(HardState promise);

    /** Entries from here on are replaced by this one. */
    void append(long index, LogEntry entry);

    /** Entries from here on are gone. */
    void truncateFrom(long from);

    /** Entries up to it need not be kept; those after it stay. */
    void writeSnapshot(Snapshot snapshot);

    /**
     * Returns when all that was written since the last time will be read back. Where the process
     * ends before that, all of it is read back or none: a promise of another group without its log
     * would be one of the former's.
     */
    void sync();

    /** That of a replica without a lasting disk: it forgets all as its process ends. */
    StableStorage NONE =
            new StableStorage() {
                @Override
                public Recovered recovered() {
                    return null;
                }

                @Override
                public void writeHardState(HardState promise) {}

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
