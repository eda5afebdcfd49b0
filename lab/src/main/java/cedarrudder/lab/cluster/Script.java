package cedarrudder.lab.cluster;

import java.util.Comparator;
import java.util.List;

/**
 * What happens to replicas, and when.
 *
 * @param replicas how many there are
 * @param nodes behind them
 * @param zones that replicas and nodes are dealt to: number 4 of 3 zones is in zone 1
 * @param period of membership, in nanoseconds
 * @param length until the faults are over, in nanoseconds: what is cut, stopped or away then is
 *     mended
 * @param settle after that, in which replicas have to agree; nanoseconds
 * @param clockOffsets of each replica, in milliseconds; those beyond its end have none
 * @param clockDrifts of each replica, in millionths; those beyond its end have none
 * @param operator more tables of each replica's operator's file; {@code {folder}} stands for its
 *     own folder
 * @param steps in the order of time
 */
public record Script(
        int replicas,
        int nodes,
        int zones,
        long period,
        long length,
        long settle,
        List<Long> clockOffsets,
        List<Integer> clockDrifts,
        String operator,
        List<ScriptStep> steps) {

    /** Replicas at least and at most. */
    public static final int MIN = 3;

    public static final int MAX = 30;
    static final int MAX_NODES = 30;
    static final int MAX_ZONES = 8;

    private static final long SECOND = 1_000_000_000L;

    /** Copies the lists. */
    public Script {
        clockOffsets = List.copyOf(clockOffsets);
        clockDrifts = List.copyOf(clockDrifts);
        steps = steps.stream().sorted(Comparator.comparingLong(ScriptStep::at)).toList();
    }

    static long nanos(double seconds) {
        return (long) (seconds * SECOND);
    }

    long clockOffset(int replica) {
        return replica < clockOffsets.size() ? clockOffsets.get(replica) : 0;
    }

    int clockDrift(int replica) {
        return replica < clockDrifts.size() ? clockDrifts.get(replica) : 0;
    }

    /** The zone of a replica, or of a node. */
    int zone(int number) {
        return number % zones;
    }

    static String zoneName(int zone) {
        return "zone-" + zone;
    }
}
