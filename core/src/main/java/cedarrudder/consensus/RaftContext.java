package cedarrudder.consensus;

/** What the parts of one replica's agreement have of the whole. */
interface RaftContext {

    Voter self();

    VoterGroup group();

    RaftLog log();

    /** Sends a message in the replica's own term. */
    default void post(int to, RaftMessage message) {
        post(to, message, term());
    }

    void post(int to, RaftMessage message, long term);

    long term();

    /** The replica that leads, as far as this one knows; -1 where it knows of none. */
    int leader();

    /** Takes a proposal where this replica leads; false where it can't now. */
    boolean takes(long now, Proposal proposal);

    /** What was promised has changed. */
    void promised();

    /** More is committed. */
    void advanced(long now);

    void note(ConsensusEvent note);
}
