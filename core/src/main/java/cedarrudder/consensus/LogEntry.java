package cedarrudder.consensus;

/**
 * One entry of the log.
 *
 * @param term that of the leader who made it
 * @param bytes what it holds; not to be changed
 */
public record LogEntry(long term, Kind kind, byte[] bytes) {

    /** What an entry is for. */
    public enum Kind {
        /** A new leader's first, which commits what came before it. */
        TERM_START,
        /** What the replicas agree on; its bytes are their own affair. */
        CONTENT,
        /** The same, as a proposal that was handed on: it takes effect once. */
        FORWARDED,
        /** Those who vote from here on. */
        VOTERS
    }

    /** What is loaded of it, if it is loaded. */
    public byte[] content() {
        return kind == Kind.FORWARDED ? Proposal.decode(bytes).content() : bytes;
    }
}
