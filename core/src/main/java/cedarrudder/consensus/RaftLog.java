package cedarrudder.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The entries that a replica holds: some that are committed, kept for others, and those that may
 * yet be taken back. What lies before them is in the snapshot.
 */
final class RaftLog {

    private final StableStorage store;
    private final List<LogEntry> entries = new ArrayList<>();
    private Snapshot snapshot = Snapshot.EMPTY;
    private long base;
    private long baseTerm;
    private VoterSet baseVoters = VoterSet.EMPTY;
    private VoterSet voters = VoterSet.EMPTY;
    private long votersAt;
    private long commitIndex;

    RaftLog(StableStorage store) {
        this.store = store;
    }

    /** Takes what was read back, which is in the store. */
    void restore(Snapshot of, List<LogEntry> after) {
        reset(of);
        entries.addAll(after);
        applyVoters();
    }

    /** Holds nothing but this from here on. */
    void install(Snapshot of) {
        boolean goesOn =
                of.index() <= lastIndex() && of.index() > base && term(of.index()) == of.term();
        List<LogEntry> after =
                goesOn
                        ? List.copyOf(entries.subList((int) (of.index() - base), entries.size()))
                        : List.of();
        if (!goesOn) {
            store.truncateFrom(of.index() + 1);
        }
        store.writeSnapshot(of);
        reset(of);
        entries.addAll(after);
        applyVoters();
    }

    private void reset(Snapshot of) {
        snapshot = of;
        base = of.index();
        baseTerm = of.term();
        baseVoters = of.voters();
        commitIndex = base;
        entries.clear();
        applyVoters();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The index before that of the first entry held. */
    long firstIndex() {
        return base;
    }

    long lastIndex() {
        return base + entries.size();
    }

    /** The index up to which entries are known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /** Entries up to this one are committed; an earlier one changes nothing. */
    void commit(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
    }

    /** The term of an entry; -1 where it isn't known. */
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
        store.append(lastIndex(), entry);
        if (entry.kind() == LogEntry.Kind.VOTERS) {
            applyVoters();
        }
    }

    /** Takes back this entry and those after it, none of them committed. */
    void truncateFrom(long from) {
        entries.subList((int) (from - base - 1), entries.size()).clear();
        store.truncateFrom(from);
        applyVoters();
    }

    /**
     * The newest voters, committed or not: they count from the moment at which they are in the log.
     */
    VoterSet voters() {
        return voters;
    }

    /** The entry that made them voters. */
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

    /** Puts what is committed into the snapshot and keeps this many entries of it for others. */
    void compact(byte[] state, int keep) {
        snapshot = new Snapshot(commitIndex, term(commitIndex), votersAt(commitIndex), state);
        store.writeSnapshot(snapshot);
        long first = Math.max(base, commitIndex - keep);
        VoterSet then = votersAt(first);
        long term = term(first);
        entries.subList(0, (int) (first - base)).clear();
        base = first;
        baseTerm = term;
        baseVoters = then;
        applyVoters();
    }
}
