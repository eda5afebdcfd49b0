/**
 * Compiles conditions of drain policies in CEL. The module is a separate jar that the daemon opens
 * once a policy has a condition.
 *
 * <p>Uses {@code draining}.
 */
package cedarrudder.conditions;
