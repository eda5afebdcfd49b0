package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.util.Arrays;

/** The content of a log entry: its kind as the first byte, then its bytes. */
sealed interface LogContent {

    /** The size of the kind, in bytes. */
    int HEADER_BYTES = 1;

    /** The first byte of a {@link TableUpdate}. */
    byte TABLE_UPDATE = 1;

    /** The first byte of a {@link DrainUpdate}. */
    byte DRAIN_UPDATE = 2;

    /**
     * A new route table, proposed by the leader.
     *
     * @param table the route table; null if its bytes are unreadable
     */
    record TableUpdate(RouteTable table) implements LogContent {}

    /** A command for {@link DrainCoordination}. */
    record DrainUpdate(byte[] command) implements LogContent {}

    /** Returns the bytes of the entry. */
    default byte[] encode() {
        if (this instanceof TableUpdate update) {
            return withKind(TABLE_UPDATE, RouteTableCodec.encode(update.table));
        }
        return withKind(DRAIN_UPDATE, ((DrainUpdate) this).command);
    }

    /** Decodes an entry; returns null if this version does not know its kind. */
    static LogContent decode(byte[] content) {
        if (content.length == 0) {
            return null;
        }
        byte[] bytes = Arrays.copyOfRange(content, HEADER_BYTES, content.length);
        return switch (content[0]) {
            case TABLE_UPDATE -> new TableUpdate(RouteTableCodec.decode(bytes).table());
            case DRAIN_UPDATE -> new DrainUpdate(bytes);
            default -> null;
        };
    }

    private static byte[] withKind(byte kind, byte[] bytes) {
        byte[] content = new byte[HEADER_BYTES + bytes.length];
        content[0] = kind;
        System.arraycopy(bytes, 0, content, HEADER_BYTES, bytes.length);
        return content;
    }
}
