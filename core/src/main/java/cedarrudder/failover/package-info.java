/**
 * Zone failover: observations of zones by each replica, their aggregation at the leader, and the
 * planning of the traffic split.
 *
 * <p>{@link cedarrudder.failover.FailoverCoordinator} is the entry point of one replica. Off unless
 * the operator's file has {@code [failover]}.
 *
 * <p>Uses {@code balancer}, {@code encoding} and {@code routetable}.
 */
package cedarrudder.failover;
