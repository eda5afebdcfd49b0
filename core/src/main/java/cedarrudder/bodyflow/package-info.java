/**
 * Streaming of message bodies: a bounded window between the side that reads and the side that
 * writes, and the account of all buffered bytes.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.bodyflow;
