package cedarrudder.draining;

/**
 * The shared inputs on which the conditions of a policy are evaluated.
 *
 * @param refused the fraction of all requests that was rejected, over the replicas' last window
 * @param failed the fraction of the requests that failed
 * @param late the fraction of the requests that ended past their deadline
 * @param capacityLeft the serving weight as a fraction of the listed weight
 * @param liveReplicas the number of live replicas
 * @param replicas the maximum number of replicas
 * @param out the number of unavailable nodes, whatever the reason
 * @param died the number of nodes that the policy applies to and that have failed without being
 *     drained
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

    /** The names of the inputs in conditions, with their types. */
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

        /** Returns whether the input is a fraction, such as 0.02; otherwise it is an integer. */
        public boolean isFraction() {
            return isFraction;
        }
    }

    /** Returns the value of an input: a Double if it is a fraction, otherwise a Long. */
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
