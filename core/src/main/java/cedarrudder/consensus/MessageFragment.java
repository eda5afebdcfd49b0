package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One fragment of a message, of at most {@value #MAX_BYTES} bytes. The platform's datagrams have up
 * to 256 bytes; the rest is reserved for the authentication of the sender, as with membership's
 * datagrams.
 *
 * <p>Encoded big-endian: a first byte that no message of membership begins with, group (era 4
 * bytes, founder 2, incarnation 8), term (8), sender (2) and its incarnation (8), message ID (4),
 * index (2) and count (2) of fragments, checksum of the whole message (4), the payload, checksum of
 * the fragment (4).
 *
 * @param messageId the number that the sender gave the message
 * @param index the index of this fragment in the message, from 0
 * @param messageChecksum the checksum (CRC32C) of the whole message
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

    static final byte FIRST_BYTE = (byte) 0xa6;
    static final int MAX_BYTES = 224;
    static final int HEADER_BYTES = 45;
    static final int CHECKSUM_BYTES = 4;
    static final int MAX_PAYLOAD_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES;
    static final int MAX_FRAGMENTS = 256;

    private static final int U16 = 0xffff;

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + payload.length + CHECKSUM_BYTES);
        out.put(FIRST_BYTE)
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
        out.putInt(checksum(out.array(), 0, HEADER_BYTES + payload.length));
        return out.array();
    }

    /** Decodes a fragment; returns null if the bytes are malformed. */
    static MessageFragment decode(byte[] bytes, int replicas) {
        if (bytes.length <= HEADER_BYTES + CHECKSUM_BYTES
                || bytes.length > MAX_BYTES
                || bytes[0] != FIRST_BYTE) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        if (in.getInt(bytes.length - CHECKSUM_BYTES)
                != checksum(bytes, 0, bytes.length - CHECKSUM_BYTES)) {
            return null;
        }
        VoterGroup group = new VoterGroup(in.getInt(), in.getShort() & U16, in.getLong());
        long term = in.getLong();
        int sender = in.getShort() & U16;
        long incarnation = in.getLong();
        int id = in.getInt();
        int index = in.getShort() & U16;
        int count = in.getShort() & U16;
        int checksum = in.getInt();
        byte[] payload = new byte[bytes.length - HEADER_BYTES - CHECKSUM_BYTES];
        in.get(payload);
        boolean valid =
                group.era() >= 0
                        && group.founder() < replicas
                        && group.incarnation() >= 0
                        && term >= 0
                        && sender < replicas
                        && incarnation >= 0
                        && index < count
                        && count <= MAX_FRAGMENTS
                        && (index == count - 1 || payload.length == MAX_PAYLOAD_BYTES);
        return valid
                ? new MessageFragment(
                        group, term, sender, incarnation, id, index, count, checksum, payload)
                : null;
    }

    static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
