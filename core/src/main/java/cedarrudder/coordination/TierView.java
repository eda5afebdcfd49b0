package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;

/** The leader's view of the tier's replicas, for planning. */
public interface TierView {

    /** Returns the number of replicas of the tier, alive or not. */
    int replicas();

    int self();

    /** Returns the zone of a replica. */
    int zone(int replica);

    /** Returns whether membership considers a replica alive. */
    boolean isAlive(int replica);

    /** Returns the latest agreed route table that is applied here; null before the first. */
    RouteTable agreed();

    /**
     * Returns when, on this replica's clock, a silent replica has certainly stopped using its
     * table. Until then its requests are routed by that table.
     */
    long leaseEndsAt(int replica);
}
