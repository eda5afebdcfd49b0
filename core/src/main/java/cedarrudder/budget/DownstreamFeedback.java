package cedarrudder.budget;

/**
 * The feedback on a request's budget that a tier sends upstream with its response.
 *
 * @param attemptsSpent how many of the propagated further attempts were used; -1 if not given
 * @param reason the reason why the request was not served; {@link UnservedReason#UNKNOWN} also if
 *     it was served
 * @param path the path that closes a loop; empty if there is none
 */
public record DownstreamFeedback(int attemptsSpent, UnservedReason reason, HopPath path) {

    /** The feedback of a response without the field. */
    public static final DownstreamFeedback NOTHING =
            new DownstreamFeedback(-1, UnservedReason.UNKNOWN, HopPath.EMPTY);

    /** The reason why a request was not served. */
    public enum UnservedReason {
        /** The reason is not known, or the request was served. */
        UNKNOWN(""),
        /** A tier was overloaded. */
        OVERLOAD("overload"),
        /** The request passed the same tier twice, or too many tiers. */
        LOOP("loop"),
        /** The budget allowed no further attempt. */
        TRIES("tries"),
        /** Too little time was left to serve the request. */
        TIME("time");

        private static final UnservedReason[] ALL = values();

        private final String wireName;

        UnservedReason(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the value that is written to the field; empty if none is. */
        String wireName() {
            return wireName;
        }

        /** Returns the reason for a field value; {@link #UNKNOWN} for an unknown value or null. */
        static UnservedReason fromWireName(String wireName) {
            for (UnservedReason reason : ALL) {
                if (reason.wireName.equals(wireName)) {
                    return reason;
                }
            }
            return UNKNOWN;
        }
    }
}
