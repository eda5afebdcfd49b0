/**
 * A replicated log based on Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014) for replicas
 * that may have no disk, with dissemination to the replicas that do not vote.
 *
 * <p>{@link cedarrudder.consensus.RaftNode} receives messages and the current time, and outputs
 * messages, applied entries and the data that {@link cedarrudder.consensus.StableStorage} persists.
 *
 * <p>Uses {@code membership} for integers of variable length.
 */
package cedarrudder.consensus;
