package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.footprint.RouteTableCapacity;
import cedarrudder.footprint.RouteTableFootprint;
import cedarrudder.routetable.CurrentRouteTable;
import cedarrudder.routetable.RouteTable;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The route table that this replica has applied, and whether it may be used now: while its lease
 * holds, where it is valid and where there is room for it.
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

    /** The table that the log holds, as far as it is applied here; null before the first. */
    RouteTable agreed() {
        return lease.agreed();
    }

    /** The table in use; null where none is. */
    RouteTable active() {
        return active;
    }

    /** The number of the agreed table; 0 before the first. */
    long agreedNumber() {
        return lease.agreed() == null ? 0 : lease.agreed().number();
    }

    /** The highest number of a table that was ever applied here. */
    long highestNumber() {
        return tables.current() == null ? 0 : tables.current().number();
    }

    /** The longest lease of any table that was applied here. */
    long longestLease() {
        return longestLease;
    }

    /** Whether there is room for the agreed table. */
    boolean fits() {
        return fits;
    }

    /** When the lease ends; in the past where there is none. */
    long expiresAt() {
        return expiresAt;
    }

    /** The log was applied up to here: this is the agreed table of that group from now on. */
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
                    HistoryEventText.refused(table, valid ? NO_CAPACITY : loaded.rejection()));
        }
    }

    /** Finds out again whether there is room for the agreed table. */
    void checkCapacity() {
        RouteTable table = lease.agreed();
        fits = valid && capacity.get().fits(table, RouteTableFootprint.bytes(table));
    }

    /**
     * A leader of that group certainly had a quorum at that instant, on this replica's clock, and
     * no table was newer than the one of that number.
     */
    void onQuorumContact(VoterGroup group, long tableNumber, long instant) {
        lease.onContact(group, tableNumber, instant);
    }

    /** Extends the lease by the contacts since, and changes the table in use where it must. */
    void update(long now) {
        if (lease.lastContact() > lastContact) {
            lastContact = lease.lastContact();
            history.accept(HistoryEventText.renewed(now - lastContact));
        }
        long newExpiry = lease.expiresAt();
        RouteTable next = fits && now < newExpiry ? lease.agreed() : null;
        if (next != null && newExpiry != expiresAt) {
            actions.onLeaseExtended(newExpiry); // first: no table is used by an older one's lease
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
            history.accept(HistoryEventText.table(next));
        } else if (previous != null) {
            history.accept(HistoryEventText.lapsed(previous));
        }
        actions.onTable(next);
    }
}
