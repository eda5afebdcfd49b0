package cedarrudder.consensus;

/** What became of a proposal. */
public enum ProposalOutcome {
    /** It took effect, under the number that comes with this. */
    COMMITTED,
    /** It has not taken effect and will not. */
    NOT_TAKEN,
    /**
     * It was handed on and nothing was heard of it in its time: it may yet take effect. To hand the
     * same one on again does no harm.
     */
    UNKNOWN
}
