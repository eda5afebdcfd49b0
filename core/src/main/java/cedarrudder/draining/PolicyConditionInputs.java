package cedarrudder.draining;

/**
 * What the replicas share, as conditions see it.
 *
 * @param refused the part of all calls that was refused, over the replicas' last window
 * @param failed the part that failed
 * @param late the part that ended past its deadline
 * @param capacityLeft the weight that serves, as a part of the weight that is listed
 * @param liveReplicas replicas that live
 * @param replicas replicas that there may be
 * @param out nodes that are out, for whatever reason
 * @param died nodes that the policy is for, that fail, and that were not taken out by a drain
 */
public record PolicyConditionInputs(
        double refused,
        double failed,
        double late,
        double capacityLeft,
        int liveReplicas,
        int replicas,
        int out,
        int died) {

    /** Names by which conditions call the figures, and their types. */
    public enum Name {
        REFUSED(true),
        FAILED(true),
        LATE(true),
        CAPACITY_LEFT(true),
        LIVE_COPIES(false),
        COPIES(false),
        OUT(false),
        DIED(false);

        private final boolean isFraction;

        Name(boolean isFraction) {
            this.isFraction = isFraction;
        }

        /** Whether it is a part of one, such as 0.02; else it is a whole number. */
        public boolean isFraction() {
            return isFraction;
        }
    }

    /** One of them: a Double where it is a share, else a Long. */
    public Object of(Name name) {
        return switch (name) {
            case REFUSED -> refused;
            case FAILED -> failed;
            case LATE -> late;
            case CAPACITY_LEFT -> capacityLeft;
            case LIVE_COPIES -> (long) liveReplicas;
            case COPIES -> (long) replicas;
            case OUT -> (long) out;
            case DIED -> (long) died;
        };
    }
}
