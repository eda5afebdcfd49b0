package cedarrudder.consensus;

/** The outcome of a proposal. */
public enum ProposalOutcome {
    /** The proposal took effect, at the position that is reported with this outcome. */
    COMMITTED,
    /** The proposal has not taken effect and will not. */
    NOT_TAKEN,
    /**
     * The proposal was forwarded and no outcome was known in time: it may still take effect.
     * Forwarding the same proposal again does no harm.
     */
    UNKNOWN
}
