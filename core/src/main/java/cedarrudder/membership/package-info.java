/**
 * Group membership after SWIM (Das, Gupta and Motivala, 2002) with suspicion and Lifeguard's local
 * health: which replicas of a tier are alive.
 *
 * <p>{@link cedarrudder.membership.SwimMember} is the entry point; its owner passes in datagrams
 * and the time.
 *
 * <p>Uses {@code encoding}.
 */
package cedarrudder.membership;
