package cedarrudder.lab.agreement;

import cedarrudder.agreement.Entry;
import cedarrudder.agreement.Snapshot;
import cedarrudder.agreement.Store;
import cedarrudder.agreement.Voters;
import java.util.ArrayList;
import java.util.List;

/** A lasting disk in virtual time: what was written and not synced is lost with the process. */
public final class Disk implements Store {

    private Kept synced;
    private Promise promise;
    private Snapshot snapshot = new Snapshot(0, 0, new Voters(List.of()), new byte[0]);
    private final List<Entry> entries = new ArrayList<>();

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
    public void entry(long index, Entry entry) {
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
