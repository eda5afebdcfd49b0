package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.routetable.CurrentRouteTable;
import cedarrudder.routetable.RouteTable;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The route table that this replica has applied, and whether the replica may use it now: it may
 * while the table's lease has not expired, the table is valid and there is memory for it.
 */
final class ActiveTable {
    private static final String NO_CAPACITY = "no room";

    private final CurrentRouteTable tables = new CurrentRouteTable();
    private final Supplier<RouteTableCapacity> capacity;
    private final CoordinatedReplica.Actions actions;
    private final Consumer<HistoryEntry> history;
    private final TableLease lease;

    private RouteTable active;
    private boolean valid;
    private boolean fits;
    private long expiresAt;
    private long lastContact;
    private long longestLease;

    ActiveTable(
            Supplier<RouteTableCapacity> capacity,
            CoordinatedReplica.Actions actions,
            Consumer<HistoryEntry> history,
            long now) {
        this.capacity = capacity;
        this.actions = actions;
        this.history = history;
        this.lease = new TableLease(now);
        this.expiresAt = lease.expiresAt();
        this.lastContact = lease.lastContact();
    }

    /** Returns the latest table of the log that is applied here; null before the first. */
    RouteTable agreed() {
        return lease.agreed();
    }

    /** Returns the table in use; null if there is none. */
    RouteTable active() {
        return active;
    }

    /** Returns the number of the agreed table; 0 before the first. */
    long agreedNumber() {
        return lease.agreed() == null ? 0 : lease.agreed().number();
    }

    /** Returns the highest number of a table that was ever applied here. */
    long highestNumber() {
        return tables.current() == null ? 0 : tables.current().number();
    }

    /** Returns the longest lease of any table that was applied here, in nanoseconds. */
    long longestLease() {
        return longestLease;
    }

    /** Returns whether the agreed table is valid and there is memory for it. */
    boolean fits() {
        return fits;
    }

    /** Returns when the lease expires; an instant in the past if there is none. */
    long expiresAt() {
        return expiresAt;
    }

    /**
     * Updates the agreed table and its group after an entry or a snapshot of the log was applied.
     */
    void onApplied(VoterGroup group, RouteTable table) {
        boolean changed = table != null && !table.equals(lease.agreed());
        lease.agreed(group, table);
        if (table == null) {
            valid = false;
            fits = false;
        } else if (changed) {
            load(table);
        }
    }

    private void load(RouteTable table) {
        longestLease = Math.max(longestLease, table.lease());
        CurrentRouteTable.LoadOutcome loaded = tables.load(table);
        valid = loaded.accepted();
        checkCapacity();
        if (!fits) {
            history.accept(
                    HistoryEventText.tableRejected(
                            table, valid ? NO_CAPACITY : loaded.rejection()));
        }
    }

    /** Checks again whether there is memory for the agreed table. */
    void checkCapacity() {
        RouteTable table = lease.agreed();
        fits = valid && capacity.get().fits(table, RouteTableFootprint.bytes(table));
    }

    /**
     * Records that a leader of a group certainly had a quorum at an instant of this replica's
     * clock, and that no table was newer then than the one with the given number.
     */
    void onQuorumContact(VoterGroup group, long tableNumber, long instant) {
        lease.onContact(group, tableNumber, instant);
    }

    /**
     * Extends the lease by the quorum contacts since the last call, and changes the table in use if
     * necessary.
     */
    void update(long now) {
        if (lease.lastContact() > lastContact) {
            lastContact = lease.lastContact();
            history.accept(HistoryEventText.leaseRenewed(now - lastContact));
        }
        long newExpiry = lease.expiresAt();
        RouteTable next = fits && now < newExpiry ? lease.agreed() : null;
        if (next != null && newExpiry != expiresAt) {
            actions.onLeaseExtended(newExpiry); // first: no table is used under an older lease
        }
        expiresAt = newExpiry;
        if (next != active) {
            activate(next);
        }
    }

    private void activate(RouteTable next) {
        RouteTable previous = active;
        active = next;
        if (next != null) {
            history.accept(HistoryEventText.tableActivated(next));
        } else if (previous != null) {
            history.accept(HistoryEventText.leaseExpired(previous));
        }
        actions.onTable(next);
    }
}
