package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;

/** What the copy that leads knows of the others when it plans. */
public interface TierView {

    /** How many copies there may be. */
    int replicas();

    int self();

    /** The zone of a copy. */
    int zone(int replica);

    /** Whether membership holds that a copy lives. */
    boolean lives(int replica);

    /** What the copies have agreed on last, loaded here; null before the first. */
    RouteTable agreed();

    /**
     * When a copy that is silent has certainly left its table, on this copy's clock: until then its
     * calls go where that says.
     */
    long leaseOver(int replica);
}
