/**
 * Forwards requests between a server side and an attempt transport, as the balancer decides.
 *
 * <p>{@link cedarrudder.forwarding.RequestForwarder} feeds the balancer one event at a time and
 * carries out its actions; {@link cedarrudder.forwarding.Exchange} is the only meeting point of the
 * server side and the client side. {@link cedarrudder.forwarding.DiscoveryPollSchedule} decides
 * when discovery is polled. Knows neither Netty nor HTTP.
 *
 * <p>Uses {@code balancer}, {@code budget}, {@code failover}, {@code metrics} and {@code logging}.
 */
package cedarrudder.forwarding;
