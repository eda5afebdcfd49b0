/**
 * Coordination of the replicas of a tier: the replicated state, the route table with its lease,
 * reports to the leader, and the leader's planning.
 *
 * <p>{@link cedarrudder.coordination.CoordinatedReplica} combines a log, a table lease, traffic
 * coordination and drain coordination. It is off unless the operator's file has {@code
 * [agreement]}.
 *
 * <p>Uses {@code consensus}, {@code failover}, {@code routetable} and {@code footprint}.
 */
package cedarrudder.coordination;
