package cedarrudder.operator;

import java.nio.file.Path;

/**
 * The settings of the history that a replica writes in trials of many replicas.
 *
 * @param file the file to which the lines are appended
 * @param clockOffset the offset that is added to the machine's clock, in milliseconds
 * @param clockDrift by how much faster time passes for this replica than by the machine's clock, in
 *     millionths
 */
public record HistorySettings(Path file, long clockOffset, int clockDrift) {}
