package cedarrudder.footprint;

import cedarrudder.routetable.RouteTable;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.Map;

/**
 * The largest route table and endpoint list that a replica has capacity for, which it reports when
 * replicas decide on a table. Encoded in nine bytes, three per number; a larger number is sent as
 * the largest that fits into three bytes.
 *
 * @param bytes maximum compact bytes of a table
 * @param leaving maximum number of nodes that a table names as draining
 * @param nodes maximum number of nodes in an endpoint list
 */
public record RouteTableCapacity(int bytes, int leaving, int nodes) {

    /** Size of the encoded capacity in bytes. */
    public static final int BYTES = 9;

    private static final int MAX_NUMBER = (1 << 24) - 1;

    /** The capacity of a replica that has no limit on its tables and lists. */
    public static final RouteTableCapacity ANY =
            new RouteTableCapacity(MAX_NUMBER, MAX_NUMBER, MAX_NUMBER);

    /** Limits all numbers to the range of the encoding. */
    public RouteTableCapacity {
        bytes = Math.max(0, Math.min(MAX_NUMBER, bytes));
        leaving = Math.max(0, Math.min(MAX_NUMBER, leaving));
        nodes = Math.max(0, Math.min(MAX_NUMBER, nodes));
    }

    /** Returns whether a table of this many compact bytes may be loaded. */
    public boolean fits(RouteTable table, int size) {
        return size <= bytes && table.draining().size() <= leaving;
    }

    /** Returns the largest table and list that both capacities allow. */
    public RouteTableCapacity min(RouteTableCapacity other) {
        return new RouteTableCapacity(
                Math.min(bytes, other.bytes),
                Math.min(leaving, other.leaving),
                Math.min(nodes, other.nodes));
    }

    /**
     * Returns the largest table and list that all capacities allow; {@link #ANY} if there are none.
     */
    public static RouteTableCapacity min(Collection<RouteTableCapacity> capacities) {
        return capacities.stream().reduce(ANY, RouteTableCapacity::min);
    }

    /**
     * Returns the replica that prevents a common table: of those that can't load it the one with
     * the smallest capacity.
     *
     * @param capacities what the live replicas have reported
     * @return null if all can load it
     */
    public static Integer limitingReplica(
            RouteTable table, Map<Integer, RouteTableCapacity> capacities) {
        int size = RouteTableFootprint.bytes(table);
        return capacities.entrySet().stream()
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

    /** Appends the encoded capacity to a buffer. */
    public void put(ByteBuffer out) {
        put(out, bytes);
        put(out, leaving);
        put(out, nodes);
    }

    private static void put(ByteBuffer out, int number) {
        out.put((byte) (number >> 16)).putShort((short) number);
    }

    /** Reads a capacity; any bytes are a valid one. */
    public static RouteTableCapacity get(ByteBuffer in) {
        return new RouteTableCapacity(readNumber(in), readNumber(in), readNumber(in));
    }

    private static int readNumber(ByteBuffer in) {
        return (in.get() & 0xff) << 16 | in.getShort() & 0xffff;
    }
}
