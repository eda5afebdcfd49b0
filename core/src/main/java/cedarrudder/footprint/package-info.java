/**
 * Estimates of the memory that an endpoint list, a route table and a whole process need, made
 * before anything is loaded.
 *
 * <p>Off unless the operator's file has {@code [footprint]}.
 *
 * <p>Uses {@code routetable}.
 */
package cedarrudder.footprint;
