package cedarrudder.operator;

/**
 * The limits on the heap for lists of endpoints.
 *
 * @param heapShare the fraction of the heap's maximum for endpoints and their lists at the peak of
 *     loading
 * @param fromNodes lists with fewer endpoints are always loaded completely
 * @param again the delay after which the whole list is requested again where endpoints were left
 *     out, in nanoseconds
 */
public record FootprintSettings(double heapShare, int fromNodes, long again) {

    public static final FootprintSettings DEFAULT =
            new FootprintSettings(0.5, 1_000, 30_000_000_000L);
}
