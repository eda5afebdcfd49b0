/**
 * The operator's file: one class a table, with its keys, ranges and defaults.
 *
 * <p>{@link cedarrudder.operator.OperatorFile} names the tables. A table that is absent leaves its
 * feature off.
 *
 * <p>Uses {@code toml} and the settings of the packages that it configures.
 */
package cedarrudder.operator;
