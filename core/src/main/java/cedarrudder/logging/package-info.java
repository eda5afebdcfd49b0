/**
 * The logger: events with names and typed fields, levels, and bounds on rate and length.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.logging;
