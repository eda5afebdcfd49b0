package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;

/** What the copy that leads knows of the others when it plans. */
public interface TierView {

    /** How many copies there may be. */
    int copies();

    int self();

    /** The zone of a copy. */
    int zone(int copy);

    /** Whether membership holds that a copy lives. */
    boolean lives(int copy);

    /** What the copies have agreed on last, loaded here; null before the first. */
    RouteTable agreed();

    /**
     * When a copy that is silent has certainly left its table, on this copy's clock: until then its
     * calls go where that says.
     */
    long leaseOver(int copy);
}
