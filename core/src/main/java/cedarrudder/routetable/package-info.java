/**
 * The route table that replicas agree on: immutable, numbered, with its compact form and the delta
 * between two tables.
 *
 * <p>A replica loads a table whole or not at all, and numbers only rise.
 *
 * <p>Uses {@code encoding}.
 */
package cedarrudder.routetable;
