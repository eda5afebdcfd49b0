package cedarrudder.consensus;

/**
 * The rules that safety depends on, one per method, so that a test can replace each one and show
 * what breaks without it.
 */
class SafetyRules {

    /**
     * Returns whether a replica may vote or request votes: only in an incarnation that the group
     * has committed as a voter and has not removed since. A replica that lost its state has a new
     * incarnation, which is not a voter (Liskov and Cowling 2012, recovery).
     */
    boolean mayVote(boolean admitted, boolean inVoterSet) {
        return admitted && inVoterSet;
    }

    /**
     * Returns whether a candidate first asks if it would get votes, without incrementing its term
     * (thesis, 9.6).
     */
    boolean requiresPreVote() {
        return true;
    }

    /**
     * Returns whether a leader may commit an entry by counting the replicas that have it: only an
     * entry of its own term (Raft paper, 5.4.2).
     */
    boolean mayCommitByCounting(long entryTerm, long term) {
        return entryTerm == term;
    }

    /**
     * Returns whether a leader steps down because no majority has answered it for this long
     * (thesis, 6.2).
     */
    boolean hasLostQuorum(long sinceMajority, long max) {
        return sinceMajority >= max;
    }

    /** Returns the group that a replica forms, which is not equal to any earlier or later group. */
    VoterGroup nextGroup(VoterGroup known, Voter founder) {
        return new VoterGroup(known.era() + 1, founder.replica(), founder.incarnation());
    }

    /** Returns whether a forwarded proposal takes effect: only the first time. */
    boolean mayTakeEffect(boolean isNew) {
        return isNew;
    }

    /**
     * Returns how long a time that another replica measured may be on this replica's clock: each
     * clock is off by up to 1 in 1,000.
     */
    long withClockDrift(long nanos) {
        return nanos + nanos / 400;
    }

    /**
     * Returns the instant from which the age of a contact counts: that of the query, whenever the
     * response arrived.
     */
    long contactCountsFrom(long askedAt, long answeredAt) {
        return askedAt;
    }

    /**
     * Returns whether a higher group or incarnation is accepted: only if its sender has answered a
     * query.
     */
    boolean acceptsHigherGroupOrIncarnation(boolean answered) {
        return answered;
    }

    /** Returns whether a fragment belongs to the same message as one that is buffered. */
    boolean isSameMessage(MessageFragment buffered, MessageFragment other) {
        return buffered.messageId() == other.messageId()
                && buffered.incarnation() == other.incarnation()
                && buffered.count() == other.count()
                && buffered.messageChecksum() == other.messageChecksum()
                && buffered.group().equals(other.group())
                && buffered.term() == other.term();
    }

    /** Returns whether a reassembled message is the one that was sent. */
    boolean isIntact(MessageFragment buffered, byte[] message) {
        return MessageFragment.checksum(message, 0, message.length) == buffered.messageChecksum();
    }
}
