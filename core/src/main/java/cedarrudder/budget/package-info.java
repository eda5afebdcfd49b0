/**
 * Budgets that are propagated over tiers: deadlines, retries, priority and loop detection.
 *
 * <p>Disabled unless the operator's file has {@code [budget]}.
 *
 * <p>Uses {@code balancer}.
 */
package cedarrudder.budget;
