package cedarrudder.failover;

import java.util.List;
import java.util.Set;

/**
 * What is held of all zones at an instant, from the evidence of many copies.
 *
 * @param zones by number
 * @param away copies that have not been heard of for long, whose lease may still run
 */
public record ZoneHealthSnapshot(List<Zone> zones, List<Away> away) {

    /** What is held of a zone as one that serves. */
    public enum State {
        /** Too little is known. */
        UNKNOWN,
        /** Its own copies, and others that can tell, are served there. */
        WELL,
        /** Its own copies are served there, those of other zones are not. */
        CUT_OFF,
        /** Enough copies in enough zones are not served there. */
        LOST
    }

    /**
     * One zone. Rates are calls a second.
     *
     * @param strained enough of its copies say that it turns calls away, or that its nodes are full
     * @param demand calls that come to its copies
     * @param served calls of all copies that it serves
     * @param capacity what it can do now; 0 where nothing is known
     * @param blind whether its nodes don't report their load: then the capacity is the most that it
     *     was seen to serve well
     * @param unseen what it serves of calls of which no evidence tells
     * @param fresh copies of this zone whose evidence is fresh
     * @param bad the zones whose copies say that they are not served there
     * @param well the zones whose copies say that they are
     */
    public record Zone(
            State state,
            boolean strained,
            double demand,
            double served,
            double capacity,
            boolean blind,
            double unseen,
            int fresh,
            Set<Integer> bad,
            Set<Integer> well) {

        /** Whether calls of that zone may be sent here. */
        public boolean takes(int from) {
            return state == State.WELL && !bad.contains(from);
        }
    }

    /**
     * A copy that may still use the table it last told of.
     *
     * @param zone its zone
     * @param rate calls a second that came to it
     * @param table that table's number; 0 for none
     */
    public record Away(int zone, double rate, long table) {}

    public ZoneHealthSnapshot {
        zones = List.copyOf(zones);
        away = List.copyOf(away);
    }
}
