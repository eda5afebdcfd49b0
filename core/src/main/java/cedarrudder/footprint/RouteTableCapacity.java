package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Map;

/**
 * The largest route table and list of nodes that a replica has room for: what it answers when
 * replicas decide on a table. Nine bytes, three a figure; a larger figure is sent as the largest
 * that these hold.
 *
 * @param bytes compact bytes of a table
 * @param leaving nodes that it names as leaving
 * @param nodes of a list
 */
public record RouteTableCapacity(int bytes, int leaving, int nodes) {

    /** How many bytes an answer takes. */
    public static final int BYTES = 9;

    private static final int MAX = (1 << 24) - 1;

    /** Of a replica that asks nobody. */
    public static final RouteTableCapacity ANY = new RouteTableCapacity(MAX, MAX, MAX);

    /** Brings both into the range that the bytes can hold. */
    public RouteTableCapacity {
        bytes = Math.max(0, Math.min(MAX, bytes));
        leaving = Math.max(0, Math.min(MAX, leaving));
        nodes = Math.max(0, Math.min(MAX, nodes));
    }

    /** Whether a table of this many compact bytes may be loaded. */
    public boolean fits(RouteTable table, int size) {
        return size <= bytes && table.draining().size() <= leaving;
    }

    /** What both have room for. */
    public RouteTableCapacity min(RouteTableCapacity other) {
        return new RouteTableCapacity(
                Math.min(bytes, other.bytes),
                Math.min(leaving, other.leaving),
                Math.min(nodes, other.nodes));
    }

    /** What all have room for; all there is where there is none. */
    public static RouteTableCapacity min(Collection<RouteTableCapacity> rooms) {
        return rooms.stream().reduce(ANY, RouteTableCapacity::min);
    }

    /**
     * The replica that holds a table back in common: of those that can't load it the one with the
     * least room.
     *
     * @param rooms what the live replicas have reported
     * @return null where all can load it
     */
    public static Integer limitingReplica(
            RouteTable table, Map<Integer, RouteTableCapacity> rooms) {
        int size = RouteTableFootprint.bytes(table);
        return rooms.entrySet().stream()
                .filter(entry -> !entry.getValue().fits(table, size))
                .min(
                        Map.Entry.<Integer, RouteTableCapacity>comparingByValue(
                                        (a, b) ->
                                                a.bytes != b.bytes
                                                        ? Integer.compare(a.bytes, b.bytes)
                                                        : Integer.compare(a.leaving, b.leaving))
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    /** Writes it behind what is there. */
    public void put(ByteBuffer out) {
        put(out, bytes);
        put(out, leaving);
        put(out, nodes);
    }

    private static void put(ByteBuffer out, int figure) {
        out.put((byte) (figure >> 16)).putShort((short) figure);
    }

    /** Reads what was written; whatever the bytes are, they are an answer. */
    public static RouteTableCapacity get(ByteBuffer in) {
        return new RouteTableCapacity(figure(in), figure(in), figure(in));
    }

    private static int figure(ByteBuffer in) {
        return (in.get() & 0xff) << 16 | in.getShort() & 0xffff;
    }
}
