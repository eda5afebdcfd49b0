package cedarrudder.footprint;

/**
 * What a process takes before the first list and the first client.
 *
 * @param heap bytes of the heap after a collection
 * @param resident bytes of the machine's memory
 * @param direct bytes of direct memory
 * @param descriptors this many, those of the watch with them
 */
public record ProcessBaseline(long heap, long resident, long direct, int descriptors) {

    /** Measured on a process that the platform's command starts with an operator's file. */
    static ProcessBaseline usual(ObjectLayout layout) {
        return new ProcessBaseline(
                ProcessFootprint.measured(layout, 2_970_000), 68_600_000, 538_000, 13);
    }
}
