package cedarrudder.lab.consensus;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.VoterSet;
import java.util.ArrayList;
import java.util.List;

/** A lasting disk in virtual time: what was written and not synced is lost with the process. */
public final class SimulatedDisk implements StableStorage {

    private Recovered synced;
    private HardState promise;
    private Snapshot snapshot = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);
    private final List<LogEntry> entries = new ArrayList<>();

    /** The process is gone, and with it what it had not synced. */
    public void crash() {
        promise = synced == null ? null : synced.hardState();
        entries.clear();
        if (synced != null) {
            snapshot = synced.snapshot();
            entries.addAll(synced.entries());
        }
    }

    @Override
    public Recovered recovered() {
        return synced;
    }

    @Override
    public void hardState(HardState made) {
        promise = made;
    }

    @Override
    public void append(long index, LogEntry entry) {
        truncateFrom(index);
        entries.add(entry);
    }

    @Override
    public void truncateFrom(long from) {
        int keep = (int) Math.max(0, from - snapshot.index() - 1);
        if (keep < entries.size()) {
            entries.subList(keep, entries.size()).clear();
        }
    }

    @Override
    public void snapshot(Snapshot of) {
        if (of.index() < snapshot.index()) {
            entries.clear();
        } else {
            entries.subList(0, (int) Math.min(entries.size(), of.index() - snapshot.index()))
                    .clear();
        }
        snapshot = of;
    }

    @Override
    public void sync() {
        if (promise != null) {
            synced = new Recovered(promise, snapshot, entries);
        }
    }
}
