package cedarrudder.operator;

import java.nio.file.Path;

/**
 * The history that a replica writes for trials of many replicas.
 *
 * @param file takes its lines, behind what is there
 * @param clockOffset the machine's clock is taken to be this much further than it is; milliseconds
 * @param clockDrift time passes for this replica this much faster than it does; millionths
 */
public record HistorySettings(Path file, long clockOffset, int clockDrift) {}
