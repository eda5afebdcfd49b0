/**
 * Integers of variable length, as datagrams, log entries and stored state carry them.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.encoding;
