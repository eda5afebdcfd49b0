package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.nio.ByteBuffer;

/**
 * All that replicas have agreed on, as bytes: the length of the table (4), the table, and the state
 * of the removal. No bytes at all are what there is before the first entry.
 *
 * @param table null before the first
 */
record ReplicatedState(RouteTable table, byte[] drainState) {

    byte[] encode() {
        byte[] head = table == null ? new byte[0] : RouteTableCodec.encode(table);
        if (head.length + drainState.length == 0) {
            return new byte[0];
        }
        return ByteBuffer.allocate(Integer.BYTES + head.length + drainState.length)
                .putInt(head.length)
                .put(head)
                .put(drainState)
                .array();
    }

    /** Reads it; null where the bytes are none. */
    static ReplicatedState decode(byte[] bytes) {
        if (bytes.length == 0) {
            return new ReplicatedState(null, bytes);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int length = bytes.length < Integer.BYTES ? -1 : in.getInt();
        if (length < 0 || length > in.remaining()) {
            return null;
        }
        byte[] head = new byte[length];
        byte[] removal = new byte[in.remaining() - length];
        in.get(head).get(removal);
        RouteTable table = length == 0 ? null : RouteTableCodec.decode(head).table();
        return length > 0 && table == null ? null : new ReplicatedState(table, removal);
    }
}
