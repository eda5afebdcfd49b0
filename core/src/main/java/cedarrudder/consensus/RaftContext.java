package cedarrudder.consensus;

/** What the parts of one replica's Raft node have of the whole. */
interface RaftContext {

    /** This replica as a voter: its number and its incarnation. */
    Voter self();

    /** The group that this replica belongs to. */
    VoterGroup group();

    /** The replicated log. */
    RaftLog log();

    /** Sends a message in the replica's own term. */
    default void send(int to, RaftMessage message) {
        send(to, message, term());
    }

    /** Sends a message in this term; it leaves at the end of the event, after all was synced. */
    void send(int to, RaftMessage message, long term);

    /** This replica's term. */
    long term();

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    int leader();

    /** Takes a proposal where this replica leads; false where it can't now. */
    boolean acceptProposal(long now, Proposal proposal);

    /** Term, vote or incarnation have changed, and are to be synced. */
    void onHardStateChanged();

    /** Syncs what was written to the log, and the hard state where it has changed. */
    void sync();

    /** More is committed. */
    void onCommitAdvanced(long now);

    /** Records an event, for logs and checkers. */
    void record(ConsensusEvent event);
}
