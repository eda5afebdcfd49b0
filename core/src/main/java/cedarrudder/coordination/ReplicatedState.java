package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.nio.ByteBuffer;

/**
 * The replicated state. Encoded, it is the length of the route table (4 bytes), the table, and the
 * drain state; before the first entry it is an empty array.
 *
 * @param table the route table; null before the first
 * @param drainState the drain state as {@link DrainCoordination#state} encodes it
 */
record ReplicatedState(RouteTable table, byte[] drainState) {
    private static final byte[] NO_BYTES = {};

    /** The state before the first entry. */
    static final ReplicatedState EMPTY = new ReplicatedState(null, NO_BYTES);

    /** Returns this state as bytes. */
    byte[] encode() {
        byte[] tableBytes = table == null ? NO_BYTES : RouteTableCodec.encode(table);
        if (tableBytes.length + drainState.length == 0) {
            return NO_BYTES;
        }
        return ByteBuffer.allocate(Integer.BYTES + tableBytes.length + drainState.length)
                .putInt(tableBytes.length)
                .put(tableBytes)
                .put(drainState)
                .array();
    }

    /** Decodes a state; returns null if the bytes are malformed. */
    static ReplicatedState decode(byte[] bytes) {
        if (bytes.length == 0) {
            return EMPTY;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int length = bytes.length < Integer.BYTES ? -1 : in.getInt();
        if (length < 0 || length > in.remaining()) {
            return null;
        }
        byte[] tableBytes = new byte[length];
        byte[] drainState = new byte[in.remaining() - length];
        in.get(tableBytes).get(drainState);
        RouteTable table = length == 0 ? null : RouteTableCodec.decode(tableBytes).table();
        boolean readable = length == 0 || table != null;
        return readable ? new ReplicatedState(table, drainState) : null;
    }
}
