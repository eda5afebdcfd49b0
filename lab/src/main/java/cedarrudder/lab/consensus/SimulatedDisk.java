package cedarrudder.lab.consensus;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.VoterSet;
import java.util.ArrayList;
import java.util.List;

/** A lasting disk in virtual time: what was written and not synced is lost with the process. */
public final class SimulatedDisk implements StableStorage {

    private Kept synced;
    private Promise promise;
    private Snapshot snapshot = new Snapshot(0, 0, new VoterSet(List.of()), new byte[0]);
    private final List<LogEntry> entries = new ArrayList<>();

    /** The process is gone, and with it what it had not synced. */
    public void crash() {
        promise = synced == null ? null : synced.promise();
        entries.clear();
        if (synced != null) {
            snapshot = synced.snapshot();
            entries.addAll(synced.entries());
        }
    }

    @Override
    public Kept kept() {
        return synced;
    }

    @Override
    public void promise(Promise made) {
        promise = made;
    }

    @Override
    public void entry(long index, LogEntry entry) {
        cut(index);
        entries.add(entry);
    }

    @Override
    public void cut(long from) {
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
            synced = new Kept(promise, snapshot, entries);
        }
    }
}
