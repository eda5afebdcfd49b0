package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A message between replicas. The header of its fragments contains the group, the term, the sender
 * and the sender's incarnation.
 */
sealed interface RaftMessage {

    // The first byte of each kind of message.
    byte REQUEST_VOTE = 0;
    byte VOTE_RESPONSE = 1;
    byte APPEND_ENTRIES = 2;
    byte APPEND_RESPONSE = 3;
    byte TIMEOUT_NOW = 4;
    byte DIGEST = 5;
    byte FETCH_REQUEST = 6;
    byte COMMITTED_ENTRIES = 7;
    byte SNAPSHOT_CHUNK = 8;
    byte MISSING_FRAGMENTS = 9;
    byte FORWARD_PROPOSAL = 10;
    byte PROPOSAL_ACCEPTED = 11;
    byte DIGEST_RESPONSE = 12;

    /**
     * The bound below which indexes and incarnations in messages are, so that adding to them can't
     * overflow.
     */
    long MAX_INDEX = Long.MAX_VALUE >> 1;

    /** Returns the first byte of the message, which identifies its type. */
    byte type();

    /** Writes everything after the first byte. */
    void writeTo(ByteBuffer out);

    /** Returns the size of the parts that have no fixed length, in bytes. */
    default int variableBytes() {
        return 0;
    }

    /** Returns whether the fields are in the ranges that a replica may send. */
    default boolean isPlausible() {
        return true;
    }

    /**
     * Requests a vote in the term of the message, or asks whether the vote would be granted.
     *
     * @param preVote whether this only asks if the vote would be granted
     * @param transferred whether the leader has transferred leadership, so that contact to it is no
     *     reason to deny the vote
     */
    record RequestVote(boolean preVote, boolean transferred, long lastIndex, long lastTerm)
            implements RaftMessage {
        @Override
        public byte type() {
            return REQUEST_VOTE;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.put(RaftMessageCodec.flag(preVote))
                    .put(RaftMessageCodec.flag(transferred))
                    .putLong(lastIndex)
                    .putLong(lastTerm);
        }

        @Override
        public boolean isPlausible() {
            return lastIndex >= 0 && lastTerm >= 0;
        }
    }

    /** The response to a {@link RequestVote}; the message's term is that of the responder. */
    record VoteResponse(boolean preVote, boolean granted, long requestedTerm)
            implements RaftMessage {
        @Override
        public byte type() {
            return VOTE_RESPONSE;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.put(RaftMessageCodec.flag(preVote))
                    .put(RaftMessageCodec.flag(granted))
                    .putLong(requestedTerm);
        }
    }

    /**
     * Sends a leader's entries that follow one that the receiver must have as well.
     *
     * @param queryId the number that the response repeats
     */
    record AppendEntries(
            long previousIndex,
            long previousTerm,
            long commitIndex,
            int queryId,
            List<LogEntry> entries)
            implements RaftMessage {
        @Override
        public byte type() {
            return APPEND_ENTRIES;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putLong(previousIndex).putLong(previousTerm).putLong(commitIndex).putInt(queryId);
            RaftMessageCodec.put(out, entries);
        }

        @Override
        public int variableBytes() {
            return RaftMessageCodec.size(entries);
        }

        @Override
        public boolean isPlausible() {
            return entries != null
                    && previousIndex >= 0
                    && previousIndex < MAX_INDEX
                    && commitIndex >= 0;
        }
    }

    /**
     * The response to {@link AppendEntries}: the index up to which the follower's log matches the
     * leader's or, without success, up to which it may match.
     */
    record AppendResponse(boolean success, long matchIndex, int queryId) implements RaftMessage {
        @Override
        public byte type() {
            return APPEND_RESPONSE;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.put(RaftMessageCodec.flag(success)).putLong(matchIndex).putInt(queryId);
        }

        @Override
        public boolean isPlausible() {
            return matchIndex >= 0;
        }
    }

    /** Makes the receiver start an election at once. */
    record TimeoutNow() implements RaftMessage {
        @Override
        public byte type() {
            return TIMEOUT_NOW;
        }

        @Override
        public void writeTo(ByteBuffer out) {}
    }

    /**
     * Announces what the sender has, and requests a {@link DigestResponse}.
     *
     * @param heartbeatTerm the term of the newest heartbeat that the sender knows of
     * @param heartbeatSequence the number of that heartbeat
     * @param leader the replica that sent that heartbeat
     * @param yourIncarnation the highest incarnation of the receiver that the sender knows of
     * @param age the age of the leader contact that the sender knows of, as in {@link
     *     DigestResponse}
     * @param queryId the number that the response repeats
     */
    record Digest(
            long commitIndex,
            long heartbeatTerm,
            long heartbeatSequence,
            int leader,
            long yourIncarnation,
            int age,
            int queryId)
            implements RaftMessage {
        @Override
        public byte type() {
            return DIGEST;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putLong(commitIndex)
                    .putLong(heartbeatTerm)
                    .putLong(heartbeatSequence)
                    .putShort((short) leader)
                    .putLong(yourIncarnation)
                    .putInt(age)
                    .putInt(queryId);
        }

        @Override
        public boolean isPlausible() {
            return commitIndex >= 0
                    && yourIncarnation >= 0
                    && yourIncarnation < MAX_INDEX
                    && age >= -1;
        }
    }

    /**
     * Responds to a digest with the sender's newest leader contact: how long ago a majority
     * answered a leader, and the index up to which that leader may have committed entries by then.
     *
     * @param age the age of the contact in milliseconds; -1 if the sender knows of none
     */
    record DigestResponse(int queryId, int age, long commitIndex) implements RaftMessage {
        @Override
        public byte type() {
            return DIGEST_RESPONSE;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putInt(queryId).putInt(age).putLong(commitIndex);
        }

        @Override
        public boolean isPlausible() {
            return age >= -1 && commitIndex >= 0;
        }
    }

    /**
     * Requests the committed entries after an index, or the rest of a snapshot.
     *
     * @param snapshotIndex the index of a snapshot of which the sender has the beginning, or 0
     * @param offset how many bytes of that snapshot the sender has
     */
    record FetchRequest(long afterIndex, long snapshotIndex, int offset) implements RaftMessage {
        @Override
        public byte type() {
            return FETCH_REQUEST;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putLong(afterIndex).putLong(snapshotIndex).putInt(offset);
        }

        @Override
        public boolean isPlausible() {
            return afterIndex >= 0 && offset >= 0;
        }
    }

    /** Sends the committed entries that follow an index. */
    record CommittedEntries(long previousIndex, List<LogEntry> entries) implements RaftMessage {
        @Override
        public byte type() {
            return COMMITTED_ENTRIES;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putLong(previousIndex);
            RaftMessageCodec.put(out, entries);
        }

        @Override
        public int variableBytes() {
            return RaftMessageCodec.size(entries);
        }

        @Override
        public boolean isPlausible() {
            return entries != null && previousIndex >= 0 && previousIndex < MAX_INDEX;
        }
    }

    /**
     * Sends a part of a snapshot.
     *
     * @param sum the checksum of the whole state
     */
    record SnapshotChunk(
            long index, long term, VoterSet voters, int sum, int total, int offset, byte[] bytes)
            implements RaftMessage {
        @Override
        public byte type() {
            return SNAPSHOT_CHUNK;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            byte[] encodedVoters = voters.encode();
            out.putLong(index)
                    .putLong(term)
                    .put((byte) encodedVoters.length)
                    .put(encodedVoters)
                    .putInt(sum)
                    .putInt(total)
                    .putInt(offset)
                    .put(bytes);
        }

        @Override
        public int variableBytes() {
            return bytes.length;
        }

        @Override
        public boolean isPlausible() {
            return voters != null
                    && index > 0
                    && total >= 0
                    && total <= RaftNode.MAX_SNAPSHOT
                    && offset >= 0
                    && offset <= total
                    && bytes.length <= total - offset;
        }
    }

    /**
     * Requests the fragments of a message that were not received, as a bit set of their indexes.
     */
    record MissingFragments(int messageId, byte[] missing) implements RaftMessage {
        @Override
        public byte type() {
            return MISSING_FRAGMENTS;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putInt(messageId).put(missing);
        }

        @Override
        public int variableBytes() {
            return missing.length;
        }
    }

    /** Forwards a proposal to the leader. */
    record ForwardProposal(Proposal proposal) implements RaftMessage {
        @Override
        public byte type() {
            return FORWARD_PROPOSAL;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.put(proposal.encode());
        }

        @Override
        public int variableBytes() {
            return proposal.content().length;
        }

        @Override
        public boolean isPlausible() {
            return proposal != null;
        }
    }

    /**
     * Reports that the leader has the proposal, or that it or a later one of the same replica took
     * effect.
     */
    record ProposalAccepted(long incarnation, long sequence) implements RaftMessage {
        @Override
        public byte type() {
            return PROPOSAL_ACCEPTED;
        }

        @Override
        public void writeTo(ByteBuffer out) {
            out.putLong(incarnation).putLong(sequence);
        }
    }
}
