package cedarrudder.consensus;

/** The state and operations of a {@link RaftNode} that its components use. */
interface RaftContext {

    /** Returns this replica as a voter: its number and its incarnation. */
    Voter self();

    /** Returns the group that this replica belongs to. */
    VoterGroup group();

    /** Returns the replicated log. */
    RaftLog log();

    /** Sends a message in the replica's current term. */
    default void send(int to, RaftMessage message) {
        send(to, message, term());
    }

    /**
     * Sends a message in the given term. It is sent at the end of the event, after everything was
     * synced.
     */
    void send(int to, RaftMessage message, long term);

    /** Returns this replica's current term. */
    long term();

    /**
     * Returns the leader's number as far as this replica knows, or -1 where it knows of no leader.
     */
    int leader();

    /** Accepts a proposal if this replica leads; returns false if it can't be accepted now. */
    boolean acceptProposal(long now, Proposal proposal);

    /**
     * Marks the hard state, such as term, vote or incarnation, as changed, so that it gets synced.
     */
    void onHardStateChanged();

    /** Syncs the entries written to the log, and the hard state if it has changed. */
    void sync();

    /** Applies the entries that have just been committed, and disseminates them. */
    void onCommitAdvanced(long now);

    /** Records an event, for logs and for checkers of the protocol. */
    void record(ConsensusEvent event);
}
