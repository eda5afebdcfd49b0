package cedarrudder.footprint;

/**
 * What something takes of a process.
 *
 * @param rest bytes of the heap that stay
 * @param peak bytes of the heap at the peak of loading, with those that stay
 * @param direct bytes of direct memory
 * @param descriptors this many
 */
public record MemoryEstimate(long rest, long peak, long direct, int descriptors) {

    public static final MemoryEstimate NOTHING = new MemoryEstimate(0, 0, 0, 0);

    /** Heap alone, which stays. */
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
