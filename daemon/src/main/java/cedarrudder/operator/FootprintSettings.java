package cedarrudder.operator;

/**
 * How much of the heap lists of endpoints may take.
 *
 * @param heapShare of the heap's maximum, for endpoints and their lists at the peak of loading
 * @param fromNodes with fewer endpoints than that, nothing is left out
 * @param again this long after endpoints were left out the whole list is asked for anew;
 *     nanoseconds
 */
public record FootprintSettings(double heapShare, int fromNodes, long again) {

    public static final FootprintSettings DEFAULT =
            new FootprintSettings(0.5, 1_000, 30_000_000_000L);
}
