package cedarrudder.consensus;

/**
 * The rules that safety rests on, one a method, so that each can be seen, and a test can show what
 * breaks without it.
 */
class SafetyRules {

    /**
     * Whether a replica may vote, or ask for votes: a life that the group has committed as a voter,
     * and that has not been taken out since. One that forgot has a new life, which is not (Liskov
     * and Cowling 2012, recovery).
     */
    boolean mayVote(boolean sworn, boolean seated) {
        return sworn && seated;
    }

    /**
     * Whether a candidate first asks if it would be voted for, and leaves the term alone (thesis,
     * 9.6).
     */
    boolean requiresPreVote() {
        return true;
    }

    /** Whether counting may commit an entry: only one of the leader's own term (paper, 5.4.2). */
    boolean mayCommitByCounting(long entryTerm, long term) {
        return entryTerm == term;
    }

    /** Whether a leader steps down that a majority has not answered for this long (thesis, 6.2). */
    boolean hasLostQuorum(long sinceMajority, long max) {
        return sinceMajority >= max;
    }

    /** The group that a replica forms: no other has had or will have it. */
    VoterGroup nextGroup(VoterGroup known, Voter founder) {
        return new VoterGroup(known.era() + 1, founder.replica(), founder.incarnation());
    }

    /** Whether a proposal that was handed on takes effect: only the first time. */
    boolean mayTakeEffect(boolean isNew) {
        return isNew;
    }

    /**
     * How long a time may be on this clock that another measured: each is off by up to 1 in 1,000.
     */
    long withClockDrift(long nanos) {
        return nanos + nanos / 400;
    }

    /** From when the age of a contact counts: from the question, whenever the answer came. */
    long contactCountsFrom(long askedAt, long answeredAt) {
        return askedAt;
    }

    /**
     * Whether a higher group or life is followed: only where its sender has answered a question.
     */
    boolean acceptsHigherGroupOrIncarnation(boolean answered) {
        return answered;
    }

    /** Whether a fragment belongs to the message of which another is there. */
    boolean isSameMessage(MessageFragment held, MessageFragment other) {
        return held.messageId() == other.messageId()
                && held.incarnation() == other.incarnation()
                && held.count() == other.count()
                && held.messageChecksum() == other.messageChecksum()
                && held.group().equals(other.group())
                && held.term() == other.term();
    }

    /** Whether what was put together is what was sent. */
    boolean isIntact(MessageFragment held, byte[] message) {
        return MessageFragment.checksum(message, 0, message.length) == held.messageChecksum();
    }
}
