package cedarrudder.consensus;

/**
 * An entry of the log.
 *
 * @param term the term of the leader that created the entry
 * @param bytes the encoded contents, which must not be modified
 */
public record LogEntry(long term, Kind kind, byte[] bytes) {

    /** The kind of a log entry. */
    public enum Kind {
        /** The first entry of a new leader, which commits the entries before it. */
        TERM_START,
        /** Content whose bytes only the application reads. */
        CONTENT,
        /** Content of a forwarded proposal, which takes effect once. */
        FORWARDED,
        /** The voters from this entry on. */
        VOTERS
    }

    /** Returns the content to apply, if the entry is one that is applied. */
    public byte[] content() {
        return kind == Kind.FORWARDED ? Proposal.decode(bytes).content() : bytes;
    }
}
