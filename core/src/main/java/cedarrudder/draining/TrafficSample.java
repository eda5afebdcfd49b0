package cedarrudder.draining;

/** Calls that have ended in the last window, and of those the refused, the failed and the late. */
public record TrafficSample(int ended, int refused, int failed, int deadlineMissed) {

    /** No calls. */
    public static final TrafficSample NONE = new TrafficSample(0, 0, 0, 0);

    TrafficSample plus(TrafficSample other) {
        return new TrafficSample(
                ended + other.ended,
                refused + other.refused,
                failed + other.failed,
                deadlineMissed + other.deadlineMissed);
    }
}
