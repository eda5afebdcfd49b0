package cedarrudder.failover;

import java.util.List;
import java.util.Set;

/**
 * The health of all zones at an instant, from the observations of many replicas.
 *
 * @param zones by number
 * @param unreachable replicas that have not reported for long, whose lease may still run
 */
public record ZoneHealthSnapshot(List<ZoneHealth> zones, List<RemoteTraffic> unreachable) {

    /** Whether a zone serves. */
    public enum ZoneState {
        /** Too little is known. */
        UNKNOWN,
        /** Its own replicas, and others that can tell, are served there. */
        HEALTHY,
        /** Its own replicas are served there, those of other zones are not. */
        CUT_OFF,
        /** Enough replicas in enough zones are not served there. */
        LOST
    }

    /**
     * One zone. Rates are requests a second.
     *
     * @param isStrained enough of its replicas report that it rejects requests, or that its
     *     endpoints are full
     * @param demand requests that come to its replicas
     * @param served requests of all replicas that it serves
     * @param capacity what it can serve now; 0 where nothing is known
     * @param isUnreported whether its endpoints don't report their load: then the capacity is the
     *     most that it was seen to serve well
     * @param unreportedRate what it serves of requests that no replica reports
     * @param freshReplicas replicas of this zone whose reports are fresh
     * @param unhealthyFor the zones whose replicas report that they are not served there
     * @param healthyFor the zones whose replicas report that they are
     */
    public record ZoneHealth(
            ZoneState state,
            boolean isStrained,
            double demand,
            double served,
            double capacity,
            boolean isUnreported,
            double unreportedRate,
            int freshReplicas,
            Set<Integer> unhealthyFor,
            Set<Integer> healthyFor) {

        /** Whether requests of that zone may be sent here. */
        public boolean mayServe(int from) {
            return state == ZoneState.HEALTHY && !unhealthyFor.contains(from);
        }
    }

    /**
     * A replica that may still use the table that it reported last.
     *
     * @param zone its zone
     * @param rate calls a second that came to it
     * @param table that table's number; 0 for none
     */
    public record RemoteTraffic(int zone, double rate, long table) {}

    /** Copies the lists. */
    public ZoneHealthSnapshot {
        zones = List.copyOf(zones);
        unreachable = List.copyOf(unreachable);
    }
}
