package cedarrudder.coordination;

import cedarrudder.consensus.RaftNode;

/** What the parts of a {@link CoordinatedReplica} share. */
interface ReplicaContext {

    /** The replicated log, in whose terms all parts speak. */
    RaftNode raft();

    /** The number of this replica. */
    int self();

    /**
     * Whether an entry of this term is committed, and with it everything that former leaders
     * committed.
     */
    boolean hasCommittedInTerm();

    /** Sends a message to another replica; it may be lost. */
    void send(int to, ReportMessage message);

    /** Delivers a part of a report to the side that it concerns, at the leader. */
    void deliver(int from, ReportMessage.Part part);

    /** Records an event of this replica's history. */
    void record(HistoryEntry entry);
}
