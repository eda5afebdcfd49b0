package cedarrudder.coordination;

import cedarrudder.consensus.VoterGroup;
import cedarrudder.routetable.RouteTable;

/**
 * How long a replica may use what it has loaded: from its last sure contact, on its own clock
 * alone. A contact is the moment at which it sent a report that a leader answered, less how long
 * before the answer that leader last knew a majority with it; so an answer that is late, doubled or
 * kept by others for long gives nothing that it did not give when it was new.
 */
final class TableLease {

    /** What a leader said of a table that is not loaded here yet. */
    private record PendingContact(VoterGroup group, long table, long contact) {}

    private final long none;
    private VoterGroup group = VoterGroup.NONE;
    private RouteTable agreed;
    private long contact;
    private PendingContact ahead;

    TableLease(long now) {
        none = now - Long.MAX_VALUE / 4;
        contact = none;
    }

    /** What is agreed on, as far as this replica has loaded it; null before the first table. */
    RouteTable agreed() {
        return agreed;
    }

    VoterGroup group() {
        return group;
    }

    /** This is agreed on from here on, in this group. */
    void agreed(VoterGroup in, RouteTable table) {
        if (!in.equals(group)) {
            group = in;
            contact = none;
        }
        agreed = table;
        if (ahead != null && ahead.group.equals(group) && number() >= ahead.table) {
            contact = Math.max(contact, ahead.contact);
            ahead = null;
        }
    }

    private long number() {
        return agreed == null ? 0 : agreed.number();
    }

    /**
     * At that instant a leader of that group certainly led, and no table was newer than this one.
     */
    void onContact(VoterGroup in, long table, long instant) {
        if (in.equals(group) && number() >= table) {
            contact = Math.max(contact, instant);
            ahead = null;
        } else if (ahead == null || !ahead.group.equals(in)) {
            ahead =
                    new PendingContact(
                            in, table,
                            instant); // the first: this avoids one that is never caught up
        }
    }

    /** The last sure contact in this group. */
    long contact() {
        return contact;
    }

    /** Until when what is agreed on may be used; in the past where it may not be. */
    long until() {
        return agreed == null
                ? none
                : contact + agreed.lease() - agreed.lease() / CoordinationSettings.DRIFT;
    }
}
