package cedarrudder.consensus;

/** What a replica says of itself, for logs and for a judge. */
public sealed interface ConsensusEvent {

    VoterGroup group();

    /** It promised a vote, its own included. */
    record VoteGranted(VoterGroup group, long term, Voter by, Voter candidate)
            implements ConsensusEvent {}

    /** It leads from here on. */
    record LeaderElected(VoterGroup group, long term, Voter by) implements ConsensusEvent {}

    /** It has stored an entry and may acknowledge it. */
    record EntryStored(VoterGroup group, long index, Voter by, LogEntry entry)
            implements ConsensusEvent {}

    /** It knows that these voters are committed. */
    record VotersChanged(VoterGroup group, long index, VoterSet voters) implements ConsensusEvent {}
}
