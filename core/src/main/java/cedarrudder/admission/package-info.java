/**
 * Admission and load shedding: concurrency limits, the queue, tenants' quotas, class priorities and
 * the traffic split over zones.
 *
 * <p>Each class is a small state machine without a clock; callers pass instants in nanoseconds.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.admission;
