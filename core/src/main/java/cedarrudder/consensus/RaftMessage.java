package cedarrudder.consensus;

import cedarrudder.consensus.LogEntry.Kind;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What replicas tell one another. The head of its pieces has group, term, sender and the sender's
 * life.
 */
sealed interface RaftMessage {

    /** What the fields of any message take, without entries and parts. */
    int MAX_FIXED = 128;

    /** The first byte of {@link Digest} and of {@link DigestResponse}. */
    byte DIGEST = 5;

    byte DIGEST_RESPONSE = 12;

    /**
     * Asks for a vote in the term of the message, or whether there would be one.
     *
     * @param preVote whether it only asks if there would be
     * @param transferred whether a leader told it to, so that hearing a leader is no reason to
     *     refuse
     */
    record RequestVote(boolean preVote, boolean transferred, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /** The answer; the message's term is that of the one who answers. */
    record VoteResponse(boolean preVote, boolean granted, long requestedTerm)
            implements RaftMessage {}

    /**
     * A leader's entries after one that both must have.
     *
     * @param queryId what the answer is to name
     */
    record AppendEntries(
            long previousIndex,
            long previousTerm,
            long commitIndex,
            int queryId,
            List<LogEntry> entries)
            implements RaftMessage {}

    /** Up to where the follower's log is that of the leader, or up to where it may be. */
    record AppendResponse(boolean success, long matchIndex, int queryId) implements RaftMessage {}

    /** The one who gets it asks for votes at once. */
    record TimeoutNow() implements RaftMessage {}

    /**
     * What a replica has; also asks for a {@link DigestResponse}.
     *
     * @param heartbeatTerm the term of the newest sign of a leader that it heard of
     * @param heartbeatSequence the number of that sign
     * @param leader the replica that it is of
     * @param yourIncarnation the largest life that it knows of the one it tells
     * @param age of the contact that it knows of, as in {@link DigestResponse}
     * @param queryId what the answer is to name
     */
    record Digest(
            long commitIndex,
            long heartbeatTerm,
            long heartbeatSequence,
            int leader,
            long yourIncarnation,
            int age,
            int queryId)
            implements RaftMessage {}

    /**
     * Answers a digest: a majority answered a leader so long ago, who had committed no more than
     * this by then.
     *
     * @param age in milliseconds; -1 where it knows of none
     */
    record DigestResponse(int queryId, int age, long commitIndex) implements RaftMessage {}

    /**
     * Asks for committed entries.
     *
     * @param snapshotIndex the index of one of which it has the beginning, or 0
     * @param offset how much of it
     */
    record FetchRequest(long afterIndex, long snapshotIndex, int offset) implements RaftMessage {}

    /** Committed entries after one. */
    record CommittedEntries(long previousIndex, List<LogEntry> entries) implements RaftMessage {}

    /**
     * Part of a snapshot.
     *
     * @param sum the checksum of the whole state
     */
    record SnapshotChunk(
            long index, long term, VoterSet voters, int sum, int total, int offset, byte[] bytes)
            implements RaftMessage {}

    /** Pieces of a message have not come; a bit each. */
    record MissingFragments(int messageId, byte[] missing) implements RaftMessage {}

    /** Hands a proposal to the one that leads. */
    record ForwardProposal(Proposal proposal) implements RaftMessage {}

    /** The leader has it, or it took effect, or one after it did. */
    record ProposalAccepted(long incarnation, long sequence) implements RaftMessage {}

    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_FIXED + variable());
        if (this instanceof RequestVote m) {
            out.put((byte) 0)
                    .put(bit(m.preVote))
                    .put(bit(m.transferred))
                    .putLong(m.lastIndex)
                    .putLong(m.lastTerm);
        } else if (this instanceof VoteResponse m) {
            out.put((byte) 1).put(bit(m.preVote)).put(bit(m.granted)).putLong(m.requestedTerm);
        } else if (this instanceof AppendEntries m) {
            out.put((byte) 2)
                    .putLong(m.previousIndex)
                    .putLong(m.previousTerm)
                    .putLong(m.commitIndex)
                    .putInt(m.queryId);
            put(out, m.entries);
        } else if (this instanceof AppendResponse m) {
            out.put((byte) 3).put(bit(m.success)).putLong(m.matchIndex).putInt(m.queryId);
        } else if (this instanceof TimeoutNow) {
            out.put((byte) 4);
        } else if (this instanceof Digest m) {
            out.put(DIGEST)
                    .putLong(m.commitIndex)
                    .putLong(m.heartbeatTerm)
                    .putLong(m.heartbeatSequence)
                    .putShort((short) m.leader)
                    .putLong(m.yourIncarnation)
                    .putInt(m.age)
                    .putInt(m.queryId);
        } else if (this instanceof FetchRequest m) {
            out.put((byte) 6).putLong(m.afterIndex).putLong(m.snapshotIndex).putInt(m.offset);
        } else if (this instanceof CommittedEntries m) {
            out.put((byte) 7).putLong(m.previousIndex);
            put(out, m.entries);
        } else if (this instanceof SnapshotChunk m) {
            byte[] voters = m.voters.encode();
            out.put((byte) 8)
                    .putLong(m.index)
                    .putLong(m.term)
                    .put((byte) voters.length)
                    .put(voters)
                    .putInt(m.sum)
                    .putInt(m.total)
                    .putInt(m.offset)
                    .put(m.bytes);
        } else if (this instanceof MissingFragments m) {
            out.put((byte) 9).putInt(m.messageId).put(m.missing);
        } else if (this instanceof ForwardProposal m) {
            out.put((byte) 10).put(m.proposal.encode());
        } else if (this instanceof ProposalAccepted m) {
            out.put((byte) 11).putLong(m.incarnation).putLong(m.sequence);
        } else if (this instanceof DigestResponse m) {
            out.put(DIGEST_RESPONSE).putInt(m.queryId).putInt(m.age).putLong(m.commitIndex);
        }
        byte[] bytes = new byte[out.position()];
        out.flip().get(bytes);
        return bytes;
    }

    /** Reads a message; null where the bytes are none. */
    static RaftMessage decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            RaftMessage read =
                    switch (in.get()) {
                        case 0 ->
                                new RequestVote(
                                        in.get() != 0, in.get() != 0, in.getLong(), in.getLong());
                        case 1 -> new VoteResponse(in.get() != 0, in.get() != 0, in.getLong());
                        case 2 -> {
                            long after = in.getLong();
                            long term = in.getLong();
                            yield new AppendEntries(
                                    after, term, in.getLong(), in.getInt(), entries(in));
                        }
                        case 3 -> new AppendResponse(in.get() != 0, in.getLong(), in.getInt());
                        case 4 -> new TimeoutNow();
                        case DIGEST ->
                                new Digest(
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getShort() & 0xffff,
                                        in.getLong(),
                                        in.getInt(),
                                        in.getInt());
                        case 6 -> new FetchRequest(in.getLong(), in.getLong(), in.getInt());
                        case 7 -> new CommittedEntries(in.getLong(), entries(in));
                        case 8 ->
                                new SnapshotChunk(
                                        in.getLong(),
                                        in.getLong(),
                                        VoterSet.decode(take(in, in.get() & 0xff)),
                                        in.getInt(),
                                        in.getInt(),
                                        in.getInt(),
                                        take(in, in.remaining()));
                        case 9 -> new MissingFragments(in.getInt(), take(in, in.remaining()));
                        case 10 -> new ForwardProposal(Proposal.decode(take(in, in.remaining())));
                        case 11 -> new ProposalAccepted(in.getLong(), in.getLong());
                        case DIGEST_RESPONSE ->
                                new DigestResponse(in.getInt(), in.getInt(), in.getLong());
                        default -> null;
                    };
            return read != null && !in.hasRemaining() && read.isPlausible() ? read : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private int variable() {
        if (this instanceof AppendEntries m) {
            return m.entries.stream().mapToInt(RaftMessage::size).sum();
        } else if (this instanceof CommittedEntries m) {
            return m.entries.stream().mapToInt(RaftMessage::size).sum();
        } else if (this instanceof SnapshotChunk m) {
            return m.bytes.length;
        }
        return this instanceof MissingFragments m
                ? m.missing.length
                : this instanceof ForwardProposal m ? m.proposal.content().length : 0;
    }

    private boolean isPlausible() {
        if (this instanceof RequestVote m) {
            return m.lastIndex >= 0 && m.lastTerm >= 0;
        } else if (this instanceof AppendEntries m) {
            return m.entries != null
                    && m.previousIndex >= 0
                    && m.previousIndex < Long.MAX_VALUE >> 1
                    && m.commitIndex >= 0;
        } else if (this instanceof AppendResponse m) {
            return m.matchIndex >= 0;
        } else if (this instanceof Digest m) {
            return m.commitIndex >= 0
                    && m.yourIncarnation >= 0
                    && m.yourIncarnation < Long.MAX_VALUE >> 1
                    && m.age >= -1;
        } else if (this instanceof DigestResponse m) {
            return m.age >= -1 && m.commitIndex >= 0;
        } else if (this instanceof FetchRequest m) {
            return m.afterIndex >= 0 && m.offset >= 0;
        } else if (this instanceof CommittedEntries m) {
            return m.entries != null
                    && m.previousIndex >= 0
                    && m.previousIndex < Long.MAX_VALUE >> 1;
        } else if (this instanceof SnapshotChunk m) {
            return m.voters != null
                    && m.index > 0
                    && m.total >= 0
                    && m.total <= RaftNode.MAX_SNAPSHOT
                    && m.offset >= 0
                    && m.offset <= m.total
                    && m.bytes.length <= m.total - m.offset;
        } else if (this instanceof ForwardProposal m) {
            return m.proposal != null;
        }
        return true;
    }

    private static byte bit(boolean set) {
        return (byte) (set ? 1 : 0);
    }

    private static byte[] take(ByteBuffer in, int length) {
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return bytes;
    }

    private static void put(ByteBuffer out, List<LogEntry> entries) {
        for (LogEntry entry : entries) {
            out.putLong(entry.term())
                    .put((byte) entry.kind().ordinal())
                    .putShort((short) entry.bytes().length)
                    .put(entry.bytes());
        }
    }

    /** How many bytes an entry takes in a message. */
    static int size(LogEntry entry) {
        return 11 + entry.bytes().length;
    }

    /** All that is left, as entries; null where it is none. */
    private static List<LogEntry> entries(ByteBuffer in) {
        List<LogEntry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            long term = in.getLong();
            int kind = in.get();
            byte[] bytes = take(in, in.getShort() & 0xffff);
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
