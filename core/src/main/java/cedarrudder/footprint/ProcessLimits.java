package cedarrudder.footprint;

/**
 * What a process may take; 0: no bound is known.
 *
 * @param heap the heap's maximum, in bytes
 * @param resident bytes of the machine's memory
 * @param direct bytes of direct memory
 * @param descriptors this many
 */
public record ProcessLimits(long heap, long resident, long direct, long descriptors) {}
