/**
 * Conditions of drain policies in CEL, in a jar of its own that the daemon opens once a policy has
 * a condition.
 *
 * <p>Uses {@code draining}.
 */
package cedarrudder.conditions;
