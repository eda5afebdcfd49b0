/**
 * The operator's file: one class for each table, with its keys, ranges and defaults.
 *
 * <p>{@link cedarrudder.operator.OperatorFile} lists the tables. The feature of an absent table is
 * off.
 *
 * <p>Uses {@code toml} and the settings of the packages that it configures.
 */
package cedarrudder.operator;
