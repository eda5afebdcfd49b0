/**
 * Administrative overrides of the endpoint list: endpoints that operators have disabled, and those
 * that all replicas drain.
 *
 * <p>The overrides are applied to the endpoint list of discovery, so the balancer has one code path
 * for draining endpoints.
 *
 * <p>Uses {@code balancer}.
 */
package cedarrudder.adminoverride;
