package cedarrudder.operator;

import java.nio.file.Path;

/**
 * The settings of the history that a replica writes in trials of many replicas.
 *
 * @param file the file to which the lines are appended
 * @param clockOffset the offset that is added to the machine's clock, in milliseconds
 * @param clockDrift how much faster than the machine's clock time passes for this replica, in
 *     millionths
 */
public record HistorySettings(Path file, long clockOffset, int clockDrift) {}
