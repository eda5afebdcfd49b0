package cedarrudder.footprint;

/**
 * The limits of a process; 0 if a limit is not known.
 *
 * @param heap maximum heap in bytes
 * @param resident bytes of the machine's memory
 * @param direct bytes of direct memory
 * @param descriptors number of file descriptors
 */
public record ProcessLimits(long heap, long resident, long direct, long descriptors) {}
