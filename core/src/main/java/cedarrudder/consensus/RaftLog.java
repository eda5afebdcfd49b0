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
    private VoterSet baseVoters = VoterSet.NOBODY;
    private VoterSet voters = VoterSet.NOBODY;
    private long votersAt;
    private long committed;

    RaftLog(StableStorage store) {
        this.store = store;
    }

    /** Takes what was read back, which is in the store. */
    void remember(Snapshot of, List<LogEntry> after) {
        reset(of);
        entries.addAll(after);
        seat();
    }

    /** Holds nothing but this from here on. */
    void install(Snapshot of) {
        boolean goesOn = of.index() <= last() && of.index() > base && term(of.index()) == of.term();
        List<LogEntry> after =
                goesOn
                        ? List.copyOf(entries.subList((int) (of.index() - base), entries.size()))
                        : List.of();
        if (!goesOn) {
            store.cut(of.index() + 1);
        }
        store.snapshot(of);
        reset(of);
        entries.addAll(after);
        seat();
    }

    private void reset(Snapshot of) {
        snapshot = of;
        base = of.index();
        baseTerm = of.term();
        baseVoters = of.voters();
        committed = base;
        entries.clear();
        seat();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The index before that of the first entry held. */
    long base() {
        return base;
    }

    long last() {
        return base + entries.size();
    }

    /** The index up to which entries are known to be committed. */
    long committed() {
        return committed;
    }

    /** Entries up to this one are committed; an earlier one changes nothing. */
    void commit(long index) {
        committed = Math.max(committed, Math.min(index, last()));
    }

    /** The term of an entry; -1 where it isn't known. */
    long term(long index) {
        return index == base
                ? baseTerm
                : index > base && index <= last() ? entry(index).term() : -1;
    }

    LogEntry entry(long index) {
        return entries.get((int) (index - base - 1));
    }

    void append(LogEntry entry) {
        entries.add(entry);
        store.entry(last(), entry);
        if (entry.kind() == LogEntry.Kind.VOTERS) {
            seat();
        }
    }

    /** Takes back this entry and those after it, none of them committed. */
    void cut(long from) {
        entries.subList((int) (from - base - 1), entries.size()).clear();
        store.cut(from);
        seat();
    }

    /** The newest voters, committed or not: they count from the moment at which they are held. */
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

    private void seat() {
        voters = baseVoters;
        votersAt = base;
        for (long i = last(); i > base; i--) {
            if (entry(i).kind() == LogEntry.Kind.VOTERS) {
                voters = VoterSet.decode(entry(i).bytes());
                votersAt = i;
                return;
            }
        }
    }

    /** Puts what is committed into the snapshot and keeps this many entries of it for others. */
    void compact(byte[] state, int keep) {
        snapshot = new Snapshot(committed, term(committed), votersAt(committed), state);
        store.snapshot(snapshot);
        long first = Math.max(base, committed - keep);
        VoterSet then = votersAt(first);
        long term = term(first);
        entries.subList(0, (int) (first - base)).clear();
        base = first;
        baseTerm = term;
        baseVoters = then;
        seat();
    }
}
