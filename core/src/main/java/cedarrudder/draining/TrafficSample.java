package cedarrudder.draining;

/**
 * The outcomes of requests in a window.
 *
 * @param ended how many requests have ended
 * @param refused how many of them were rejected
 * @param failed how many of them failed
 * @param deadlineMissed how many of them ended past their deadline
 */
public record TrafficSample(int ended, int refused, int failed, int deadlineMissed) {

    /** A sample without requests. */
    public static final TrafficSample NONE = new TrafficSample(0, 0, 0, 0);

    TrafficSample plus(TrafficSample other) {
        return new TrafficSample(
                ended + other.ended,
                refused + other.refused,
                failed + other.failed,
                deadlineMissed + other.deadlineMissed);
    }
}
