/**
 * Simulation of coordinated replicas in virtual time.
 *
 * <p>Uses {@code coordination}, {@code lab.consensus} and {@code lab.checker}.
 */
package cedarrudder.lab.coordination;
