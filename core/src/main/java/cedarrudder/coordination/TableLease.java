package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.routetable.RouteTable;

/**
 * How long a replica may use the table that it has applied, on its own clock alone. The lease
 * counts from the last quorum contact: the moment at which the replica sent a report that a leader
 * answered, less how long before the answer that leader last knew a quorum in its term. A late,
 * repeated or delayed answer therefore grants nothing that it did not grant when it was new.
 */
final class TableLease {

    /** A contact that concerns a table which is not applied here yet. */
    private record PendingContact(VoterGroup group, long tableNumber, long contact) {}

    private final long never;
    private VoterGroup group = VoterGroup.NONE;
    private RouteTable agreed;
    private long lastContact;
    private PendingContact pending;

    TableLease(long now) {
        never = now - Long.MAX_VALUE / 4;
        lastContact = never;
    }

    /** The agreed table, as far as it is applied here; null before the first. */
    RouteTable agreed() {
        return agreed;
    }

    /** This table is agreed from now on, in this group. */
    void agreed(VoterGroup newGroup, RouteTable table) {
        if (!newGroup.equals(group)) {
            group = newGroup;
            lastContact = never;
        }
        agreed = table;
        if (pending != null && concernsAgreed(pending.group, pending.tableNumber)) {
            lastContact = Math.max(lastContact, pending.contact);
            pending = null;
        }
    }

    /**
     * A leader of that group certainly had a quorum at that instant, and no table was newer than
     * the one of that number.
     */
    void onContact(VoterGroup contactGroup, long tableNumber, long instant) {
        if (concernsAgreed(contactGroup, tableNumber)) {
            lastContact = Math.max(lastContact, instant);
            pending = null;
        } else if (pending == null || !pending.group.equals(contactGroup)) {
            // The first is kept: a replica that is always one table behind still gets a lease.
            pending = new PendingContact(contactGroup, tableNumber, instant);
        }
    }

    private boolean concernsAgreed(VoterGroup contactGroup, long tableNumber) {
        long agreedNumber = agreed == null ? 0 : agreed.number();
        return contactGroup.equals(group) && agreedNumber >= tableNumber;
    }

    /** The last quorum contact in this group. */
    long lastContact() {
        return lastContact;
    }

    /** Until when the agreed table may be used; in the past where it may not be. */
    long expiresAt() {
        if (agreed == null) {
            return never;
        }
        return lastContact + agreed.lease() - agreed.lease() / CoordinationSettings.DRIFT;
    }
}
