/**
 * Counters of requests, which pages and agents read.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.metrics;
