package cedarrudder.footprint;

/**
 * What something takes of a process.
 *
 * @param rest bytes of the heap that stay
 * @param peak bytes of the heap at the peak of loading, with those that stay
 * @param direct bytes of direct memory
 * @param descriptors so many
 */
public record Takes(long rest, long peak, long direct, int descriptors) {

    public static final Takes NOTHING = new Takes(0, 0, 0, 0);

    /** Heap alone, which stays. */
    static Takes heap(long bytes) {
        return new Takes(bytes, bytes, 0, 0);
    }

    Takes plus(Takes other) {
        return new Takes(
                rest + other.rest,
                peak + other.peak,
                direct + other.direct,
                descriptors + other.descriptors);
    }

    Takes minus(Takes other) {
        return new Takes(
                rest - other.rest,
                peak - other.peak,
                direct - other.direct,
                descriptors - other.descriptors);
    }
}
