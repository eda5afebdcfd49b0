package cedarrudder.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The log of a replica: committed entries that are retained for others, and entries that are not
 * committed and may still be removed. Earlier entries are in the snapshot.
 */
final class RaftLog {

    private final StableStorage storage;
    private final List<LogEntry> entries = new ArrayList<>();
    private Snapshot snapshot = Snapshot.EMPTY;
    private long base;
    private long baseTerm;
    private VoterSet baseVoters = VoterSet.EMPTY;
    private VoterSet voters = VoterSet.EMPTY;
    private long votersAt;
    private long commitIndex;

    RaftLog(StableStorage storage) {
        this.storage = storage;
    }

    /** Restores what was read back from the storage. */
    void restore(Snapshot newSnapshot, List<LogEntry> after) {
        reset(newSnapshot);
        entries.addAll(after);
        applyVoters();
    }

    /** Replaces the log by a snapshot, and retains entries after it if the log matches it. */
    void install(Snapshot newSnapshot) {
        boolean matchesSnapshot =
                newSnapshot.index() <= lastIndex()
                        && newSnapshot.index() > base
                        && term(newSnapshot.index()) == newSnapshot.term();
        List<LogEntry> after =
                matchesSnapshot
                        ? List.copyOf(
                                entries.subList((int) (newSnapshot.index() - base), entries.size()))
                        : List.of();
        if (!matchesSnapshot) {
            storage.truncateFrom(newSnapshot.index() + 1);
        }
        storage.writeSnapshot(newSnapshot);
        reset(newSnapshot);
        entries.addAll(after);
        applyVoters();
    }

    private void reset(Snapshot newSnapshot) {
        snapshot = newSnapshot;
        base = newSnapshot.index();
        baseTerm = newSnapshot.term();
        baseVoters = newSnapshot.voters();
        commitIndex = base;
        entries.clear();
        applyVoters();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** Returns the index before the first entry that is retained. */
    long firstIndex() {
        return base;
    }

    long lastIndex() {
        return base + entries.size();
    }

    /** Returns the index up to which entries are known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /**
     * Marks the entries up to an index as committed; an index before the commit index changes
     * nothing.
     */
    void commit(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
    }

    /** Returns the term of an entry; -1 if it isn't known. */
    long term(long index) {
        return index == base
                ? baseTerm
                : index > base && index <= lastIndex() ? entry(index).term() : -1;
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - base - 1));
    }

    void append(LogEntry entry) {
        entries.add(entry);
        storage.append(lastIndex(), entry);
        if (entry.kind() == LogEntry.Kind.VOTERS) {
            applyVoters();
        }
    }

    /** Removes the entry at an index and all after it, none of which is committed. */
    void truncateFrom(long from) {
        entries.subList((int) (from - base - 1), entries.size()).clear();
        storage.truncateFrom(from);
        applyVoters();
    }

    /**
     * Returns the newest voters, committed or not: a change takes effect as soon as it is in the
     * log.
     */
    VoterSet voters() {
        return voters;
    }

    /** Returns the index of the entry that made them voters. */
    long votersAt() {
        return votersAt;
    }

    VoterSet votersAt(long index) {
        for (long i = index; i > base; i--) {
            if (entry(i).kind() == LogEntry.Kind.VOTERS) {
                return VoterSet.decode(entry(i).bytes());
            }
        }
        return baseVoters;
    }

    private void applyVoters() {
        voters = baseVoters;
        votersAt = base;
        for (long i = lastIndex(); i > base; i--) {
            if (entry(i).kind() == LogEntry.Kind.VOTERS) {
                voters = VoterSet.decode(entry(i).bytes());
                votersAt = i;
                return;
            }
        }
    }

    /**
     * Replaces the snapshot by one of the committed state, and retains the given number of
     * committed entries for others.
     */
    void compact(byte[] state, int retainedEntries) {
        snapshot = new Snapshot(commitIndex, term(commitIndex), votersAt(commitIndex), state);
        storage.writeSnapshot(snapshot);
        long first = Math.max(base, commitIndex - retainedEntries);
        VoterSet votersAtFirst = votersAt(first);
        long term = term(first);
        entries.subList(0, (int) (first - base)).clear();
        base = first;
        baseTerm = term;
        baseVoters = votersAtFirst;
        applyVoters();
    }
}
