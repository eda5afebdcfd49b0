package cedarrudder.consensus;

/** An event of a replica's consensus protocol, for logs and for checkers of the protocol. */
public sealed interface ConsensusEvent {

    VoterGroup group();

    /** The replica granted its vote to a candidate, possibly to itself. */
    record VoteGranted(VoterGroup group, long term, Voter by, Voter candidate)
            implements ConsensusEvent {}

    /** The replica was elected leader. */
    record LeaderElected(VoterGroup group, long term, Voter by) implements ConsensusEvent {}

    /** The replica has stored an entry and may acknowledge it. */
    record EntryStored(VoterGroup group, long index, Voter by, LogEntry entry)
            implements ConsensusEvent {}

    /** The replica has learned that a set of voters is committed. */
    record VotersChanged(VoterGroup group, long index, VoterSet voters) implements ConsensusEvent {}
}
