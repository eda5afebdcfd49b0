/**
 * Load balancing policies to compare with, the oracle bound, and policies that are broken on
 * purpose.
 *
 * <p>Uses {@code balancer} and {@code lab.policy}.
 */
package cedarrudder.lab.baselines;
