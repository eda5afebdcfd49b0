package cedarrudder.coordination;

import cedarrudder.consensus.RaftNode;

/** The state and operations of a {@link CoordinatedReplica} that its components use. */
interface ReplicaContext {

    /** Returns the replicated log. */
    RaftNode raft();

    /** Returns the number of this replica. */
    int self();

    /**
     * Returns whether an entry of the current term is committed, and with it everything that former
     * leaders committed.
     */
    boolean hasCommittedInTerm();

    /** Sends a message to another replica, which may be lost. */
    void send(int to, ReportMessage message);

    /**
     * Delivers a part of a report, at the leader, to traffic coordination or to drain coordination
     * according to its kind.
     */
    void deliver(int from, ReportMessage.Part part);

    /** Records an event of this replica's history. */
    void record(HistoryEntry entry);
}
