package cedarrudder.coordination;

import cedarrudder.routetable.RouteTable;
import cedarrudder.routetable.RouteTableCodec;
import java.util.Arrays;

/** What an entry of the log holds: its kind as the first byte, then its bytes. */
sealed interface LogContent {

    /** The bytes that the kind takes. */
    int HEADER_BYTES = 1;

    /** The first byte of a {@link TableUpdate}. */
    byte TABLE_UPDATE = 1;

    /** The first byte of a {@link DrainUpdate}. */
    byte DRAIN_UPDATE = 2;

    /**
     * The leader proposes another route table.
     *
     * @param table null where its bytes are unreadable
     */
    record TableUpdate(RouteTable table) implements LogContent {}

    /** A command for {@link DrainCoordination}. */
    record DrainUpdate(byte[] command) implements LogContent {}

    /** The bytes of an entry. */
    default byte[] encode() {
        if (this instanceof TableUpdate update) {
            return withKind(TABLE_UPDATE, RouteTableCodec.encode(update.table));
        }
        return withKind(DRAIN_UPDATE, ((DrainUpdate) this).command);
    }

    /** Reads an entry; null where it is of no kind that this version knows. */
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
