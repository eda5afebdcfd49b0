/**
 * Group membership after SWIM (Das, Gupta and Motivala, 2002) with suspicion and Lifeguard's local
 * health: which replicas of a tier are alive.
 *
 * <p>{@link cedarrudder.membership.SwimMember} is fed datagrams and time.
 *
 * <p>Uses {@code encoding}.
 */
package cedarrudder.membership;
