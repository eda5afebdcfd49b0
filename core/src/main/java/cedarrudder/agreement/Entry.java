package cedarrudder.agreement;

/**
 * One entry of the log.
 *
 * @param term that of the leader who made it
 * @param bytes what it holds; not to be changed
 */
public record Entry(long term, Kind kind, byte[] bytes) {

    /** What an entry is for. */
    public enum Kind {
        /** A new leader's first, which commits what came before it. */
        BEGIN,
        /** What the copies agree on; its bytes are their own affair. */
        CONTENT,
        /** Those who vote from here on. */
        VOTERS
    }
}
