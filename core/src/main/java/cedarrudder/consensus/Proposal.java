package cedarrudder.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Content that a replica proposes for the log, whichever replica leads. A proposal is identified by
 * replica, incarnation and sequence number. It takes effect at most once, however often it is
 * forwarded.
 *
 * @param replica the number of the replica that proposes
 * @param incarnation the incarnation of that replica's process
 * @param sequence a number that rises within that incarnation
 * @param after the position that the replica had applied when it created the proposal
 * @param content the proposed bytes, which must not be modified
 */
public record Proposal(
        int replica, long incarnation, long sequence, LogPosition appliedPosition, byte[] content) {

    static final int POSITION_BYTES = 22;
    private static final int U16 = 0xffff;

    boolean isSame(Proposal other) {
        return replica == other.replica
                && incarnation == other.incarnation
                && sequence == other.sequence;
    }

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(18 + POSITION_BYTES + content.length);
        out.putShort((short) replica).putLong(incarnation).putLong(sequence);
        putPosition(out, appliedPosition);
        return out.put(content).array();
    }

    /** Decodes a proposal; returns null if the bytes are malformed. */
    static Proposal decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            int replica = in.getShort() & U16;
            long incarnation = in.getLong();
            long sequence = in.getLong();
            LogPosition appliedPosition = readPosition(in);
            byte[] content = new byte[in.remaining()];
            in.get(content);
            return incarnation < 1 || content.length > RaftNode.MAX_FORWARDED_CONTENT
                    ? null
                    : new Proposal(replica, incarnation, sequence, appliedPosition, content);
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    static void putPosition(ByteBuffer out, LogPosition position) {
        VoterGroup group = position.group();
        out.putInt(group.era())
                .putShort((short) group.founder())
                .putLong(group.incarnation())
                .putLong(position.index());
    }

    static LogPosition readPosition(ByteBuffer in) {
        return new LogPosition(
                new VoterGroup(in.getInt(), in.getShort() & U16, in.getLong()), in.getLong());
    }
}
