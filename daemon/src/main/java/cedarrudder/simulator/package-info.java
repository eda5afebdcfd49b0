/**
 * The host for the users' simulator: the same decisions, in the simulator's wire format over
 * standard input and output.
 *
 * <p>Uses {@code balancer} and {@code protocol}.
 */
package cedarrudder.simulator;
