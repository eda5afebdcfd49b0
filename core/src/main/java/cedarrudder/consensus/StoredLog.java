package cedarrudder.consensus;

import cedarrudder.consensus.StableStorage.HardState;
import cedarrudder.consensus.StableStorage.Recovered;
import java.util.ArrayList;
import java.util.List;

/**
 * Hard state, snapshot and entries, as implementations of {@link StableStorage} hold them in
 * memory.
 */
public final class StoredLog {

    private static final Snapshot EMPTY = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);

    private HardState hardState;
    private Snapshot snapshot = EMPTY;
    private final List<LogEntry> entries = new ArrayList<>();

    /** Returns the newest hard state; null before the first. */
    public HardState hardState() {
        return hardState;
    }

    /** Returns the newest snapshot; before the first, an empty one with index 0. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Returns the entries after the snapshot. */
    public List<LogEntry> entries() {
        return entries;
    }

    /** Returns the index that the next entry gets. */
    public long nextIndex() {
        return snapshot.index() + entries.size() + 1;
    }

    /** Returns everything that is stored; null before the first hard state. */
    public Recovered recovered() {
        return hardState == null ? null : new Recovered(hardState, snapshot, entries);
    }

    /** Replaces the hard state. */
    public void setHardState(HardState next) {
        hardState = next;
    }

    /** Writes an entry in place of the one at its index and all after it. */
    public void append(long index, LogEntry entry) {
        truncateFrom(index);
        entries.add(entry);
    }

    /** Removes the entry at an index and all after it. */
    public void truncateFrom(long index) {
        int remaining = (int) Math.max(0, index - snapshot.index() - 1);
        if (remaining < entries.size()) {
            entries.subList(remaining, entries.size()).clear();
        }
    }

    /** Replaces the snapshot, and removes the entries that the new one covers. */
    public void install(Snapshot next) {
        if (next.index() < snapshot.index()) {
            entries.clear();
        } else {
            long covered = Math.min(entries.size(), next.index() - snapshot.index());
            entries.subList(0, (int) covered).clear();
        }
        snapshot = next;
    }

    /** Resets everything to a recovered state, or to nothing if that is null. */
    public void reset(Recovered to) {
        hardState = to == null ? null : to.hardState();
        snapshot = to == null ? EMPTY : to.snapshot();
        entries.clear();
        if (to != null) {
            entries.addAll(to.entries());
        }
    }
}
