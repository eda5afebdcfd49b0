/**
 * Budgets that travel over tiers: deadlines, retries, priority and loop detection.
 *
 * <p>Off unless the operator's file has {@code [budget]}.
 *
 * <p>Uses {@code balancer}.
 */
package cedarrudder.budget;
