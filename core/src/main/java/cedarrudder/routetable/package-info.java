/**
 * The route table that replicas agree on: immutable and numbered, with its compact encoding and the
 * delta between two tables.
 *
 * <p>A replica loads a table as a whole or not at all, and the number of its table never decreases.
 *
 * <p>Uses {@code encoding}.
 */
package cedarrudder.routetable;
