package cedarrudder.consensus;

/** What became of a proposal. */
public enum ProposalOutcome {
    /** It took effect, under the number that comes with this. */
    COMMITTED,
    /** It has not taken effect and will not. */
    NOT_TAKEN,
    /**
     * It was forwarded and nothing came back in time: it may yet take effect. To forward the same
     * one on again does no harm.
     */
    UNKNOWN
}
