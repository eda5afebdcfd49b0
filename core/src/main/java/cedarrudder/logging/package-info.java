/**
 * The logger: events with names and typed fields, levels, and limits on rate and length.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.logging;
