/**
 * A strict reader of TOML that reports all errors of a file at once, with their lines.
 *
 * <p>Uses nothing else of the project.
 */
package cedarrudder.toml;
