package cedarrudder.consensus;

import cedarrudder.consensus.LogEntry.Kind;
import cedarrudder.consensus.RaftMessage.AppendEntries;
import cedarrudder.consensus.RaftMessage.AppendResponse;
import cedarrudder.consensus.RaftMessage.CommittedEntries;
import cedarrudder.consensus.RaftMessage.Digest;
import cedarrudder.consensus.RaftMessage.DigestResponse;
import cedarrudder.consensus.RaftMessage.FetchRequest;
import cedarrudder.consensus.RaftMessage.ForwardProposal;
import cedarrudder.consensus.RaftMessage.MissingFragments;
import cedarrudder.consensus.RaftMessage.ProposalAccepted;
import cedarrudder.consensus.RaftMessage.RequestVote;
import cedarrudder.consensus.RaftMessage.SnapshotChunk;
import cedarrudder.consensus.RaftMessage.TimeoutNow;
import cedarrudder.consensus.RaftMessage.VoteResponse;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes messages between replicas: the type, then the fields in their order,
 * big-endian.
 */
final class RaftMessageCodec {

    /**
     * The maximum size of the fields of a message other than those of variable length, in bytes.
     */
    private static final int MAX_FIXED_BYTES = 128;

    /** The size of the term, the kind and the length of an entry, in bytes. */
    private static final int ENTRY_HEADER_BYTES = Long.BYTES + Byte.BYTES + Short.BYTES;

    private RaftMessageCodec() {}

    static byte[] encode(RaftMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_FIXED_BYTES + message.variableBytes());
        out.put(message.type());
        message.writeTo(out);
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Decodes a message; returns null if the bytes are malformed. */
    static RaftMessage decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            RaftMessage message = read(in);
            return message != null && !in.hasRemaining() && message.isPlausible() ? message : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private static RaftMessage read(ByteBuffer in) {
        return switch (in.get()) {
            case RaftMessage.REQUEST_VOTE ->
                    new RequestVote(in.get() != 0, in.get() != 0, in.getLong(), in.getLong());
            case RaftMessage.VOTE_RESPONSE ->
                    new VoteResponse(in.get() != 0, in.get() != 0, in.getLong());
            case RaftMessage.APPEND_ENTRIES ->
                    new AppendEntries(
                            in.getLong(), in.getLong(), in.getLong(), in.getInt(), readEntries(in));
            case RaftMessage.APPEND_RESPONSE ->
                    new AppendResponse(in.get() != 0, in.getLong(), in.getInt());
            case RaftMessage.TIMEOUT_NOW -> new TimeoutNow();
            case RaftMessage.DIGEST -> readDigest(in);
            case RaftMessage.FETCH_REQUEST ->
                    new FetchRequest(in.getLong(), in.getLong(), in.getInt());
            case RaftMessage.COMMITTED_ENTRIES ->
                    new CommittedEntries(in.getLong(), readEntries(in));
            case RaftMessage.SNAPSHOT_CHUNK -> readSnapshotChunk(in);
            case RaftMessage.MISSING_FRAGMENTS ->
                    new MissingFragments(in.getInt(), readBytes(in, in.remaining()));
            case RaftMessage.FORWARD_PROPOSAL ->
                    new ForwardProposal(Proposal.decode(readBytes(in, in.remaining())));
            case RaftMessage.PROPOSAL_ACCEPTED -> new ProposalAccepted(in.getLong(), in.getLong());
            case RaftMessage.DIGEST_RESPONSE ->
                    new DigestResponse(in.getInt(), in.getInt(), in.getLong());
            default -> null;
        };
    }

    private static Digest readDigest(ByteBuffer in) {
        return new Digest(
                in.getLong(),
                in.getLong(),
                in.getLong(),
                in.getShort() & 0xffff,
                in.getLong(),
                in.getInt(),
                in.getInt());
    }

    private static SnapshotChunk readSnapshotChunk(ByteBuffer in) {
        return new SnapshotChunk(
                in.getLong(),
                in.getLong(),
                VoterSet.decode(readBytes(in, in.get() & 0xff)),
                in.getInt(),
                in.getInt(),
                in.getInt(),
                readBytes(in, in.remaining()));
    }

    static byte flag(boolean set) {
        return (byte) (set ? 1 : 0);
    }

    private static byte[] readBytes(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    static void put(ByteBuffer out, List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            out.putLong(entry.term())
                    .put((byte) entry.kind().ordinal())
                    .putShort((short) entry.bytes().length)
                    .put(entry.bytes());
        }
    }

    /** Returns the size of an entry in a message, in bytes. */
    static int size(LogEntry entry) {
        return ENTRY_HEADER_BYTES + entry.bytes().length;
    }

    /** Returns the size of a list of entries in a message, in bytes. */
    static int size(List<LogEntry> entries) {
        return entries.stream().mapToInt(RaftMessageCodec::size).sum();
    }

    /** Decodes the remaining bytes as entries; returns null if they are malformed. */
    private static List<LogEntry> readEntries(ByteBuffer in) {
        List<LogEntry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            long term = in.getLong();
            int kind = in.get();
            byte[] bytes = readBytes(in, in.getShort() & 0xffff);
            if (term <= 0
                    || kind < 0
                    || kind >= Kind.values().length
                    || kind == Kind.VOTERS.ordinal() && VoterSet.decode(bytes) == null
                    || kind == Kind.FORWARDED.ordinal() && Proposal.decode(bytes) == null) {
                return null;
            }
            entries.add(new LogEntry(term, Kind.values()[kind], bytes));
        }
        return entries;
    }
}
