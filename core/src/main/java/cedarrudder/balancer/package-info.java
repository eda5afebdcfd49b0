/**
 * The load-balancing decisions of one replica: which endpoint an attempt goes to, when a request is
 * retried, hedged, queued or rejected, and when endpoints are probed.
 *
 * <p>{@link cedarrudder.balancer.LoadBalancer} is the complete interface: events with their
 * instants in, {@code Actions} out. {@link cedarrudder.balancer.PrequalBalancer} implements it
 * according to Prequal (Wydrowski and others, NSDI 2024). It has no clock, no threads and no I/O;
 * with the same seed, the same events cause the same actions.
 *
 * <p>The package uses {@code admission} and the constants of {@code routetable}.
 */
package cedarrudder.balancer;
