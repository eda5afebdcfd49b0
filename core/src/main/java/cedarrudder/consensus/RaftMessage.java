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

    /** The first byte of {@link Digest} and of {@link Sure}. */
    byte DIGEST = 5;

    byte SURE = 12;

    /**
     * Asks for a vote in the term of the message, or whether there would be one.
     *
     * @param ahead whether it only asks if there would be
     * @param called whether a leader told it to, so that hearing a leader is no reason to refuse
     */
    record AskVote(boolean ahead, boolean called, long lastIndex, long lastTerm)
            implements RaftMessage {}

    /** The answer; the message's term is that of the one who answers. */
    record SayVote(boolean ahead, boolean granted, long askedTerm) implements RaftMessage {}

    /**
     * A leader's entries after one that both must have.
     *
     * @param ask what the answer is to name
     */
    record Append(long after, long afterTerm, long committed, int ask, List<LogEntry> entries)
            implements RaftMessage {}

    /** Up to where the follower's log is that of the leader, or up to where it may be. */
    record SayAppend(boolean same, long index, int answers) implements RaftMessage {}

    /** The one who gets it asks for votes at once. */
    record Lead() implements RaftMessage {}

    /**
     * What a replica has; also asks for a {@link Sure}.
     *
     * @param beatTerm the term of the newest sign of a leader that it heard of
     * @param beat the number of that sign
     * @param leader the replica that it is of
     * @param yourIncarnation the largest life that it knows of the one it tells
     * @param age of the contact that it knows of, as in {@link Sure}
     * @param ask what the answer is to name
     */
    record Digest(
            long committed,
            long beatTerm,
            long beat,
            int leader,
            long yourIncarnation,
            int age,
            int ask)
            implements RaftMessage {}

    /**
     * Answers a digest: a majority answered a leader so long ago, who had committed no more than
     * this by then.
     *
     * @param age in milliseconds; -1 where it knows of none
     */
    record Sure(int answers, int age, long committed) implements RaftMessage {}

    /**
     * Asks for committed entries.
     *
     * @param snapshot the index of one of which it has the beginning, or 0
     * @param offset how much of it
     */
    record Ask(long after, long snapshot, int offset) implements RaftMessage {}

    /** Committed entries after one. */
    record News(long after, List<LogEntry> entries) implements RaftMessage {}

    /**
     * Part of a snapshot.
     *
     * @param sum the checksum of the whole state
     */
    record Chunk(
            long index, long term, VoterSet voters, int sum, int total, int offset, byte[] bytes)
            implements RaftMessage {}

    /** Pieces of a message have not come; a bit each. */
    record Lack(int message, byte[] missing) implements RaftMessage {}

    /** Hands a proposal to the one that leads. */
    record Hand(Proposal proposal) implements RaftMessage {}

    /** The leader has it, or it took effect, or one after it did. */
    record Took(long incarnation, long sequence) implements RaftMessage {}

    default byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_FIXED + variable());
        if (this instanceof AskVote m) {
            out.put((byte) 0)
                    .put(bit(m.ahead))
                    .put(bit(m.called))
                    .putLong(m.lastIndex)
                    .putLong(m.lastTerm);
        } else if (this instanceof SayVote m) {
            out.put((byte) 1).put(bit(m.ahead)).put(bit(m.granted)).putLong(m.askedTerm);
        } else if (this instanceof Append m) {
            out.put((byte) 2)
                    .putLong(m.after)
                    .putLong(m.afterTerm)
                    .putLong(m.committed)
                    .putInt(m.ask);
            put(out, m.entries);
        } else if (this instanceof SayAppend m) {
            out.put((byte) 3).put(bit(m.same)).putLong(m.index).putInt(m.answers);
        } else if (this instanceof Lead) {
            out.put((byte) 4);
        } else if (this instanceof Digest m) {
            out.put(DIGEST)
                    .putLong(m.committed)
                    .putLong(m.beatTerm)
                    .putLong(m.beat)
                    .putShort((short) m.leader)
                    .putLong(m.yourIncarnation)
                    .putInt(m.age)
                    .putInt(m.ask);
        } else if (this instanceof Ask m) {
            out.put((byte) 6).putLong(m.after).putLong(m.snapshot).putInt(m.offset);
        } else if (this instanceof News m) {
            out.put((byte) 7).putLong(m.after);
            put(out, m.entries);
        } else if (this instanceof Chunk m) {
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
        } else if (this instanceof Lack m) {
            out.put((byte) 9).putInt(m.message).put(m.missing);
        } else if (this instanceof Hand m) {
            out.put((byte) 10).put(m.proposal.encode());
        } else if (this instanceof Took m) {
            out.put((byte) 11).putLong(m.incarnation).putLong(m.sequence);
        } else if (this instanceof Sure m) {
            out.put(SURE).putInt(m.answers).putInt(m.age).putLong(m.committed);
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
                                new AskVote(
                                        in.get() != 0, in.get() != 0, in.getLong(), in.getLong());
                        case 1 -> new SayVote(in.get() != 0, in.get() != 0, in.getLong());
                        case 2 -> {
                            long after = in.getLong();
                            long term = in.getLong();
                            yield new Append(after, term, in.getLong(), in.getInt(), entries(in));
                        }
                        case 3 -> new SayAppend(in.get() != 0, in.getLong(), in.getInt());
                        case 4 -> new Lead();
                        case DIGEST ->
                                new Digest(
                                        in.getLong(),
                                        in.getLong(),
                                        in.getLong(),
                                        in.getShort() & 0xffff,
                                        in.getLong(),
                                        in.getInt(),
                                        in.getInt());
                        case 6 -> new Ask(in.getLong(), in.getLong(), in.getInt());
                        case 7 -> new News(in.getLong(), entries(in));
                        case 8 ->
                                new Chunk(
                                        in.getLong(),
                                        in.getLong(),
                                        VoterSet.decode(take(in, in.get() & 0xff)),
                                        in.getInt(),
                                        in.getInt(),
                                        in.getInt(),
                                        take(in, in.remaining()));
                        case 9 -> new Lack(in.getInt(), take(in, in.remaining()));
                        case 10 -> new Hand(Proposal.decode(take(in, in.remaining())));
                        case 11 -> new Took(in.getLong(), in.getLong());
                        case SURE -> new Sure(in.getInt(), in.getInt(), in.getLong());
                        default -> null;
                    };
            return read != null && !in.hasRemaining() && read.plausible() ? read : null;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private int variable() {
        if (this instanceof Append m) {
            return m.entries.stream().mapToInt(RaftMessage::size).sum();
        } else if (this instanceof News m) {
            return m.entries.stream().mapToInt(RaftMessage::size).sum();
        } else if (this instanceof Chunk m) {
            return m.bytes.length;
        }
        return this instanceof Lack m
                ? m.missing.length
                : this instanceof Hand m ? m.proposal.content().length : 0;
    }

    private boolean plausible() {
        if (this instanceof AskVote m) {
            return m.lastIndex >= 0 && m.lastTerm >= 0;
        } else if (this instanceof Append m) {
            return m.entries != null
                    && m.after >= 0
                    && m.after < Long.MAX_VALUE >> 1
                    && m.committed >= 0;
        } else if (this instanceof SayAppend m) {
            return m.index >= 0;
        } else if (this instanceof Digest m) {
            return m.committed >= 0
                    && m.yourIncarnation >= 0
                    && m.yourIncarnation < Long.MAX_VALUE >> 1
                    && m.age >= -1;
        } else if (this instanceof Sure m) {
            return m.age >= -1 && m.committed >= 0;
        } else if (this instanceof Ask m) {
            return m.after >= 0 && m.offset >= 0;
        } else if (this instanceof News m) {
            return m.entries != null && m.after >= 0 && m.after < Long.MAX_VALUE >> 1;
        } else if (this instanceof Chunk m) {
            return m.voters != null
                    && m.index > 0
                    && m.total >= 0
                    && m.total <= RaftNode.MAX_SNAPSHOT
                    && m.offset >= 0
                    && m.offset <= m.total
                    && m.bytes.length <= m.total - m.offset;
        } else if (this instanceof Hand m) {
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
                    || kind == Kind.HANDED.ordinal() && Proposal.decode(bytes) == null) {
                return null;
            }
            entries.add(new LogEntry(term, Kind.values()[kind], bytes));
        }
        return entries;
    }
}
