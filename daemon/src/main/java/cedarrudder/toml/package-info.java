/**
 * Strict TOML reader that reports all errors of a file at once, with their line numbers.
 *
 * <p>Has no dependency on other packages of the project.
 */
package cedarrudder.toml;
