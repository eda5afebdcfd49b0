package cedarrudder.budget;

/**
 * What goes up to a tier with an answer.
 *
 * @param attemptsSpent how much of what was handed down has been used; -1 where not said
 * @param why why the call wasn't served; {@link Why#UNKNOWN} also where it was
 * @param path the path that closes a loop; empty where there is none
 */
public record DownstreamFeedback(int attemptsSpent, Why why, HopPath path) {

    /** An answer that says nothing. */
    public static final DownstreamFeedback NOTHING =
            new DownstreamFeedback(-1, Why.UNKNOWN, HopPath.EMPTY);

    /** Why a call was not served. */
    public enum Why {
        /** It isn't known, or it was served. */
        UNKNOWN(""),
        /** There was too much work. */
        OVERLOAD("overload"),
        /** The tiers send to one another in a circle. */
        LOOP("loop"),
        /** No further attempt was allowed. */
        TRIES("tries"),
        /** The time left couldn't suffice. */
        TIME("time");

        private static final Why[] ALL = values();

        private final String word;

        Why(String word) {
            this.word = word;
        }

        /** How it is written. */
        String word() {
            return word;
        }

        /** What a word means; a word that isn't known, or none, says nothing. */
        static Why of(String word) {
            for (Why why : ALL) {
                if (why.word.equals(word)) {
                    return why;
                }
            }
            return UNKNOWN;
        }
    }
}
