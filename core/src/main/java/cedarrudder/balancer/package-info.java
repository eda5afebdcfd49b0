/**
 * The decisions of one replica: which endpoint an attempt goes to, when a request is retried,
 * hedged, queued or rejected, and when endpoints are probed.
 *
 * <p>{@link cedarrudder.balancer.LoadBalancer} is the whole interface: events with their time in,
 * {@code Actions} out. {@link cedarrudder.balancer.PrequalBalancer} implements it after Prequal
 * (Wydrowski and others, NSDI 2024). It has no clock, no threads and no I/O; one seed and the same
 * events give the same actions.
 *
 * <p>Uses {@code admission} and the constants of {@code routetable}.
 */
package cedarrudder.balancer;
