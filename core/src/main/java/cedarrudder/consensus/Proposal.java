package cedarrudder.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Something that a replica wants to have agreed on, whoever leads. Its identity is replica,
 * incarnation and sequence: it takes effect at most once, however often it is handed on.
 *
 * @param replica the one that proposes
 * @param incarnation of that one's process
 * @param sequence rises in that life
 * @param after what that one had loaded before it handed it on
 * @param content not to be changed
 */
public record Proposal(
        int replica, long incarnation, long sequence, LogPosition after, byte[] content) {

    static final int NUMBER_BYTES = 22;
    private static final int U16 = 0xffff;

    boolean same(Proposal other) {
        return replica == other.replica
                && incarnation == other.incarnation
                && sequence == other.sequence;
    }

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(18 + NUMBER_BYTES + content.length);
        out.putShort((short) replica).putLong(incarnation).putLong(sequence);
        put(out, after);
        return out.put(content).array();
    }

    /** Reads one; null where the bytes are none. */
    static Proposal decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            int replica = in.getShort() & U16;
            long incarnation = in.getLong();
            long sequence = in.getLong();
            LogPosition after = number(in);
            byte[] content = new byte[in.remaining()];
            in.get(content);
            return incarnation < 1 || content.length > RaftNode.MAX_FORWARDED_CONTENT
                    ? null
                    : new Proposal(replica, incarnation, sequence, after, content);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    static void put(ByteBuffer out, LogPosition number) {
        VoterGroup group = number.group();
        out.putInt(group.era())
                .putShort((short) group.founder())
                .putLong(group.incarnation())
                .putLong(number.index());
    }

    static LogPosition number(ByteBuffer in) {
        return new LogPosition(
                new VoterGroup(in.getInt(), in.getShort() & U16, in.getLong()), in.getLong());
    }
}
