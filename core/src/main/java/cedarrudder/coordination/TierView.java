package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;

/** What the replica that leads knows of the others when it plans. */
public interface TierView {

    /** How many replicas there may be. */
    int replicas();

    int self();

    /** The zone of a replica. */
    int zone(int replica);

    /** Whether membership finds a replica alive. */
    boolean isAlive(int replica);

    /** What the replicas have agreed on last, loaded here; null before the first. */
    RouteTable agreed();

    /**
     * When a replica that is silent has certainly left its table, on this replica's clock: until
     * then its calls go where that says.
     */
    long leaseEndsAt(int replica);
}
