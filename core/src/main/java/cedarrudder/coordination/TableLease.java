package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.routetable.RouteTable;

/**
 * The lease on the table that a replica has applied, measured on the replica's clock alone. The
 * lease counts from the last quorum contact: the moment at which the replica sent a report that a
 * leader answered, less the time between that leader's last known quorum in its term and the
 * answer. A late, repeated or delayed answer therefore extends the lease no further than it would
 * have when it was new.
 */
final class TableLease {

    /** A quorum contact for a table that is not applied here yet. */
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

    /** Returns the latest agreed table that is applied here; null before the first. */
    RouteTable agreed() {
        return agreed;
    }

    /** Replaces the agreed table and its group. */
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
     * Records that a leader of a group certainly had a quorum at an instant, and that no table was
     * newer then than the one with the given number.
     */
    void onContact(VoterGroup contactGroup, long tableNumber, long instant) {
        if (concernsAgreed(contactGroup, tableNumber)) {
            lastContact = Math.max(lastContact, instant);
            pending = null;
        } else if (pending == null || !pending.group.equals(contactGroup)) {
            // The first one is retained: a replica that is always one table behind still gets a
            // lease.
            pending = new PendingContact(contactGroup, tableNumber, instant);
        }
    }

    private boolean concernsAgreed(VoterGroup contactGroup, long tableNumber) {
        long agreedNumber = agreed == null ? 0 : agreed.number();
        return contactGroup.equals(group) && agreedNumber >= tableNumber;
    }

    /** Returns the last quorum contact in the current group. */
    long lastContact() {
        return lastContact;
    }

    /**
     * Returns until when the agreed table may be used; an instant in the past if it may not be
     * used.
     */
    long expiresAt() {
        if (agreed == null) {
            return never;
        }
        return lastContact + agreed.lease() - agreed.lease() / CoordinationSettings.DRIFT;
    }
}
