package cedarrudder.drainage;

/** Calls that have ended in the last window, and of those the refused, the failed and the late. */
public record Flow(int ended, int refused, int failed, int late) {

    /** No calls. */
    public static final Flow NONE = new Flow(0, 0, 0, 0);

    Flow plus(Flow other) {
        return new Flow(
                ended + other.ended,
                refused + other.refused,
                failed + other.failed,
                late + other.late);
    }
}
