/**
 * Forwards requests between the server side and an attempt transport, as the balancer decides.
 *
 * <p>{@link cedarrudder.forwarding.RequestForwarder} passes events to the balancer one at a time
 * and carries out its actions; {@link cedarrudder.forwarding.Exchange} is the only type that the
 * server side and the client side share. {@link cedarrudder.forwarding.DiscoveryPollSchedule}
 * decides when discovery is polled. Depends neither on Netty nor on HTTP.
 *
 * <p>Uses {@code balancer}, {@code budget}, {@code failover}, {@code metrics} and {@code logging}.
 */
package cedarrudder.forwarding;
