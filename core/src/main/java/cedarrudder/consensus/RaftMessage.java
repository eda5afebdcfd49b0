package cedarrudder.consensus;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A message between replicas. The head of its fragments has group, term, sender and the sender's
 * incarnation.
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

    /** Indexes and incarnations of messages lie below this, so that adding to them is safe. */
    long MAX_INDEX = Long.MAX_VALUE >> 1;

    /** The first byte of the message, which says its kind. */
    byte type();

    /** Writes what comes after the first byte. */
    void writeTo(ByteBuffer out);

    /** How many bytes the parts take that have no fixed length. */
    default int variableBytes() {
        return 0;
    }

    /** Whether the fields are in the ranges that some replica may send. */
    default boolean isPlausible() {
        return true;
    }

    /**
     * Asks for a vote in the term of the message, or whether there would be one.
     *
     * @param preVote whether it only asks if there would be
     * @param transferred whether a leader transferred leadership, so that a live leader is no
     *     reason to deny it
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

    /** The answer; the message's term is that of the one who answers. */
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

    /** Up to where the follower's log is that of the leader, or up to where it may be. */
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

    /** The one who gets it asks for votes at once. */
    record TimeoutNow() implements RaftMessage {
        @Override
        public byte type() {
            return TIMEOUT_NOW;
        }

        @Override
        public void writeTo(ByteBuffer out) {}
    }

    /**
     * What a replica has; also asks for a {@link DigestResponse}.
     *
     * @param heartbeatTerm the term of the newest heartbeat that it knows of
     * @param heartbeatSequence the number of that heartbeat
     * @param leader the replica that sent it
     * @param yourIncarnation the highest incarnation that it knows of the receiver
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
     * Answers a digest: a majority answered a leader so long ago, who had committed no more than
     * this by then.
     *
     * @param age in milliseconds; -1 where it knows of none
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
     * Asks for committed entries.
     *
     * @param snapshotIndex the index of one of which it has the beginning, or 0
     * @param offset how much of it
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

    /** Committed entries after one. */
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
     * Part of a snapshot.
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

    /** Fragments of a message have not come; a bit each. */
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

    /** The leader has the proposal, or it took effect, or a later one did. */
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
