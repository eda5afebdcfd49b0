package cedarrudder.lab.consensus;

import cedarrudder.consensus.LogEntry;
import cedarrudder.consensus.Snapshot;
import cedarrudder.consensus.StableStorage;
import cedarrudder.consensus.StoredLog;

/**
 * A persistent disk in virtual time: what was written but not synced is lost when the process
 * crashes.
 */
public final class SimulatedDisk implements StableStorage {

    private Recovered synced;
    private final StoredLog log = new StoredLog();

    /** Discards what was not synced, as when the process crashes. */
    public void crash() {
        log.reset(synced);
    }

    @Override
    public Recovered recovered() {
        return synced;
    }

    @Override
    public void writeHardState(HardState next) {
        log.setHardState(next);
    }

    @Override
    public void append(long index, LogEntry entry) {
        log.append(index, entry);
    }

    @Override
    public void truncateFrom(long from) {
        log.truncateFrom(from);
    }

    @Override
    public void writeSnapshot(Snapshot next) {
        log.install(next);
    }

    @Override
    public void sync() {
        if (log.hardState() != null) {
            synced = log.recovered();
        }
    }
}
