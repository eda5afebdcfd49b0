package cedarrudder.budget;

/**
 * The budget of further attempts, at this tier and all tiers below, of one request, or of the
 * requests of one endpoint under one grant.
 *
 * <p>At any time the remaining attempts, those spent here and those propagated downstream and not
 * refunded add up to the initial budget. So this tier and all tiers below never make more further
 * attempts than that, as long as no tier below spends more than was propagated to it.
 */
final class AttemptBudget {

    private final int initial;
    private int remaining;

    AttemptBudget(int initial) {
        this.initial = Math.max(0, initial);
        this.remaining = this.initial;
    }

    /** Returns whether a further attempt may be sent at this tier. */
    boolean hasRemaining() {
        return remaining > 0;
    }

    /** Charges a further attempt of this tier. */
    void spend() {
        remaining--;
    }

    /**
     * Returns the budget that is propagated with an attempt if {@code reserved} further attempts
     * are reserved for this tier. It counts as spent until it is refunded.
     */
    int propagate(int reserved) {
        int propagated = Math.max(0, remaining - reserved);
        remaining -= propagated;
        return propagated;
    }

    /**
     * Refunds the propagated budget that an attempt has not used. A response that claims to have
     * spent more than was propagated doesn't reduce the budget of the other attempts.
     */
    void refund(int propagated, int spentDownstream) {
        remaining += Math.max(0, propagated - spentDownstream);
    }

    /** Returns how many further attempts the client that propagated this budget counts as used. */
    int spent() {
        return initial - remaining;
    }
}
