package cedarrudder.footprint;

/**
 * The resources that a part of a process needs.
 *
 * @param rest bytes of heap after loading
 * @param peak bytes of heap at the peak of loading, including those at rest
 * @param direct bytes of direct memory
 * @param descriptors number of file descriptors
 */
public record MemoryEstimate(long rest, long peak, long direct, int descriptors) {

    public static final MemoryEstimate NOTHING = new MemoryEstimate(0, 0, 0, 0);

    /** Returns an estimate of heap alone, which is needed at rest as well. */
    static MemoryEstimate heap(long bytes) {
        return new MemoryEstimate(bytes, bytes, 0, 0);
    }

    MemoryEstimate plus(MemoryEstimate other) {
        return new MemoryEstimate(
                rest + other.rest,
                peak + other.peak,
                direct + other.direct,
                descriptors + other.descriptors);
    }

    MemoryEstimate minus(MemoryEstimate other) {
        return new MemoryEstimate(
                rest - other.rest,
                peak - other.peak,
                direct - other.direct,
                descriptors - other.descriptors);
    }
}
