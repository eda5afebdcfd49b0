package cedarrudder.failover;

import java.util.List;
import java.util.Set;

/**
 * What is held of all zones at an instant, from the evidence of many replicas.
 *
 * @param zones by number
 * @param unreachable replicas that have not been heard of for long, whose lease may still run
 */
public record ZoneHealthSnapshot(List<ZoneHealth> zones, List<RemoteTraffic> unreachable) {

    /** What is held of a zone as one that serves. */
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
     * One zone. Rates are calls a second.
     *
     * @param isStrained enough of its replicas say that it turns calls away, or that its endpoints
     *     are full
     * @param demand calls that come to its replicas
     * @param served calls of all replicas that it serves
     * @param capacity what it can do now; 0 where nothing is known
     * @param isUnreported whether its endpoints don't report their load: then the capacity is the
     *     most that it was seen to serve well
     * @param unreportedRate what it serves of calls of which no evidence tells
     * @param freshReplicas replicas of this zone whose evidence is fresh
     * @param unhealthyFor the zones whose replicas say that they are not served there
     * @param healthyFor the zones whose replicas say that they are
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

        /** Whether calls of that zone may be sent here. */
        public boolean mayServe(int from) {
            return state == ZoneState.HEALTHY && !unhealthyFor.contains(from);
        }
    }

    /**
     * A replica that may still use the table it last told of.
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
