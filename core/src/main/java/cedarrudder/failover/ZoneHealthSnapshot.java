package cedarrudder.failover;

import java.util.List;
import java.util.Set;

/**
 * The health of all zones at one time, from the observations of many replicas.
 *
 * @param zones by number
 * @param unreachable replicas that have not reported for long, but whose lease may not have expired
 */
public record ZoneHealthSnapshot(List<ZoneHealth> zones, List<UnreachableReplica> unreachable) {

    /** The state of a zone. */
    public enum ZoneState {
        /** Too little is known. */
        UNKNOWN,
        /**
         * Requests of the zone's own replicas are served there, and those of other zones with
         * enough observations.
         */
        HEALTHY,
        /** Requests of the zone's own replicas are served there, those of other zones are not. */
        CUT_OFF,
        /** Requests of enough replicas in enough zones are not served there. */
        LOST
    }

    /**
     * The health of one zone. Rates are requests per second.
     *
     * @param isStrained whether enough of its replicas report that it rejects requests, or that its
     *     endpoints are full
     * @param demand rate of the requests that arrive at its replicas
     * @param served rate of the requests that it serves, of all replicas
     * @param capacity rate that it can serve now; 0 if nothing is known
     * @param lacksLoadReports whether its endpoints don't report their load: then the capacity is
     *     the maximum that it was observed to serve well
     * @param unreportedRate rate that it serves of requests that no replica reports
     * @param freshReplicas number of replicas of this zone whose reports are fresh
     * @param unhealthyFor the zones whose replicas report that their requests are not served there
     * @param healthyFor the zones whose replicas report that their requests are served there
     */
    public record ZoneHealth(
            ZoneState state,
            boolean isStrained,
            double demand,
            double served,
            double capacity,
            boolean lacksLoadReports,
            double unreportedRate,
            int freshReplicas,
            Set<Integer> unhealthyFor,
            Set<Integer> healthyFor) {

        /** Returns whether requests of the given zone may be sent to this zone. */
        public boolean mayServe(int from) {
            return state == ZoneState.HEALTHY && !unhealthyFor.contains(from);
        }
    }

    /**
     * A replica that does not report but may still use the table that it reported last.
     *
     * @param zone its zone
     * @param rate requests per second that arrived at it
     * @param table that table's number; 0 for none
     */
    public record UnreachableReplica(int zone, double rate, long table) {}

    /** Copies the lists. */
    public ZoneHealthSnapshot {
        zones = List.copyOf(zones);
        unreachable = List.copyOf(unreachable);
    }
}
