/**
 * Simulation of SWIM membership in virtual time.
 *
 * <p>Uses {@code membership}.
 */
package cedarrudder.lab.membership;
