/**
 * Counters of requests, counted once; pages and agents read them.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.metrics;
