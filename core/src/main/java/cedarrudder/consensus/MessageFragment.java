package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One piece of a message, of at most {@value #MAX_BYTES} bytes: the platform's datagrams hold 256,
 * of which the rest is kept for what proves the sender, as with membership's.
 *
 * <p>Big-endian: a first byte that no message of membership begins with, group (era 4 bytes,
 * founder 2, incarnation 8), term (8), sender (2) and its incarnation (8), message (4), place (2)
 * and count (2), checksum of the whole message (4), its part of the message, checksum of the piece
 * (4).
 *
 * @param messageId its number, by the sender
 * @param index which piece it is, from 0
 * @param messageChecksum the checksum (CRC32C) of the message
 */
record MessageFragment(
        VoterGroup group,
        long term,
        int sender,
        long incarnation,
        int messageId,
        int index,
        int count,
        int messageChecksum,
        byte[] payload) {

    static final byte FIRST = (byte) 0xa6;
    static final int MAX_BYTES = 224;
    static final int HEAD = 45;
    static final int TAIL = 4;
    static final int MAX_PART = MAX_BYTES - HEAD - TAIL;
    static final int MAX_COUNT = 256;

    private static final int U16 = 0xffff;

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD + payload.length + TAIL);
        out.put(FIRST)
                .putInt(group.era())
                .putShort((short) group.founder())
                .putLong(group.incarnation())
                .putLong(term)
                .putShort((short) sender)
                .putLong(incarnation)
                .putInt(messageId)
                .putShort((short) index)
                .putShort((short) count)
                .putInt(messageChecksum)
                .put(payload);
        out.putInt(checksum(out.array(), 0, HEAD + payload.length));
        return out.array();
    }

    /** Reads a piece; null where the bytes are none. */
    static MessageFragment decode(byte[] bytes, int replicas) {
        if (bytes.length <= HEAD + TAIL || bytes.length > MAX_BYTES || bytes[0] != FIRST) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        if (in.getInt(bytes.length - TAIL) != checksum(bytes, 0, bytes.length - TAIL)) {
            return null;
        }
        VoterGroup group = new VoterGroup(in.getInt(), in.getShort() & U16, in.getLong());
        long term = in.getLong();
        int sender = in.getShort() & U16;
        long incarnation = in.getLong();
        int message = in.getInt();
        int place = in.getShort() & U16;
        int count = in.getShort() & U16;
        int totalBytes = in.getInt();
        byte[] part = new byte[bytes.length - HEAD - TAIL];
        in.get(part);
        boolean good =
                group.era() >= 0
                        && group.founder() < replicas
                        && group.incarnation() >= 0
                        && term >= 0
                        && sender < replicas
                        && incarnation >= 0
                        && place < count
                        && count <= MAX_COUNT
                        && (place == count - 1 || part.length == MAX_PART);
        return good
                ? new MessageFragment(
                        group, term, sender, incarnation, message, place, count, totalBytes, part)
                : null;
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
