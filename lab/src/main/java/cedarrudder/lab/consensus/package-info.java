/**
 * Simulation of consensus in virtual time: network, clocks, disks and faults from a seed.
 *
 * <p>Uses {@code consensus} and {@code lab.checker}.
 */
package cedarrudder.lab.consensus;
