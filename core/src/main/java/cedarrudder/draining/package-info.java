/**
 * Coordinated draining of endpoints by policies: the replicated state machine, its commands and
 * reports, and the scheduling of waves by the leader.
 *
 * <p>{@link cedarrudder.draining.DrainCoordinator} is one replica's part.
 *
 * <p>Uses {@code encoding} and {@code routetable}.
 */
package cedarrudder.draining;
