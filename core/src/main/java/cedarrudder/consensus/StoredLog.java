package cedarrudder.consensus;

import cedarrudder.consensus.StableStorage.HardState;
import cedarrudder.consensus.StableStorage.Recovered;
import java.util.ArrayList;
import java.util.List;

/** Hard state, snapshot and entries as a {@link StableStorage} holds them in memory. */
public final class StoredLog {

    private static final Snapshot EMPTY = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);

    private HardState hardState;
    private Snapshot snapshot = EMPTY;
    private final List<LogEntry> entries = new ArrayList<>();

    /** The newest hard state; null before the first. */
    public HardState hardState() {
        return hardState;
    }

    /** The newest snapshot; before the first an empty one of index 0. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** The entries after the snapshot. */
    public List<LogEntry> entries() {
        return entries;
    }

    /** The index of an entry that follows the last one. */
    public long nextIndex() {
        return snapshot.index() + entries.size() + 1;
    }

    /** All of it; null before the first hard state. */
    public Recovered recovered() {
        return hardState == null ? null : new Recovered(hardState, snapshot, entries);
    }

    /** Takes the place of the hard state. */
    public void setHardState(HardState next) {
        hardState = next;
    }

    /** Appends an entry in place of that of its index and those after it. */
    public void append(long index, LogEntry entry) {
        truncateFrom(index);
        entries.add(entry);
    }

    /** Removes the entry of this index and those after it. */
    public void truncateFrom(long index) {
        int remaining = (int) Math.max(0, index - snapshot.index() - 1);
        if (remaining < entries.size()) {
            entries.subList(remaining, entries.size()).clear();
        }
    }

    /** Takes the place of the snapshot, and of the entries that it covers. */
    public void install(Snapshot next) {
        if (next.index() < snapshot.index()) {
            entries.clear();
        } else {
            long covered = Math.min(entries.size(), next.index() - snapshot.index());
            entries.subList(0, (int) covered).clear();
        }
        snapshot = next;
    }

    /** Goes back to what was recovered; null: to nothing. */
    public void reset(Recovered to) {
        hardState = to == null ? null : to.hardState();
        snapshot = to == null ? EMPTY : to.snapshot();
        entries.clear();
        if (to != null) {
            entries.addAll(to.entries());
        }
    }
}
