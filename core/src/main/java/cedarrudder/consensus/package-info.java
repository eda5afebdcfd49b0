/**
 * A replicated log after Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014) for replicas
 * that may have no disk, with dissemination to those that do not vote.
 *
 * <p>{@link cedarrudder.consensus.RaftNode} is fed messages and time and hands out messages,
 * applied entries and what {@link cedarrudder.consensus.StableStorage} has to persist.
 *
 * <p>Uses {@code membership} for compact integers.
 */
package cedarrudder.consensus;
