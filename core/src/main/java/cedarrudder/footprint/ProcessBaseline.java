package cedarrudder.footprint;

/**
 * The resources that a process needs before the first list and the first client.
 *
 * @param heap bytes of heap after a collection
 * @param resident bytes of the machine's memory
 * @param direct bytes of direct memory
 * @param descriptors number of file descriptors, including those of the watch
 */
public record ProcessBaseline(long heap, long resident, long direct, int descriptors) {

    /**
     * Returns the baseline of a process that the platform's command starts with an operator's file.
     */
    static ProcessBaseline ofPlatformCommand(ObjectLayout layout) {
        return new ProcessBaseline(
                ProcessFootprint.scaledToLayout(layout, 2_970_000), 68_600_000, 538_000, 13);
    }
}
