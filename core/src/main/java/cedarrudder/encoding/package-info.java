/**
 * Encoding of integers of variable length in datagrams, log entries and stored state.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.encoding;
