/**
 * The host of the users' simulator: the same decisions on its wire, over standard input and output.
 *
 * <p>Uses {@code balancer} and {@code protocol}.
 */
package cedarrudder.simulator;
