/**
 * Administrative overrides of the endpoint list: endpoints that operators have disabled, and those
 * that are drained in common.
 *
 * <p>The overrides are laid over what discovery lists, so the balancer has one path for draining
 * endpoints.
 *
 * <p>Uses {@code balancer}.
 */
package cedarrudder.adminoverride;
