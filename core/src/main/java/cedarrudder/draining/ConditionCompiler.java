package cedarrudder.draining;

/** Reads conditions, in whatever language they are written. */
public interface ConditionCompiler {

    /** What is asked of the figures that replicas share. */
    interface PolicyCondition {
        /**
         * Whether it holds.
         *
         * @throws RuntimeException where it can't be decided; that counts as a reason to pause
         */
        boolean holds(PolicyConditionInputs figures);
    }

    /** What is asked of a node. */
    interface NodeCondition {
        /**
         * Whether it holds.
         *
         * @throws RuntimeException where it can't be decided; the policy then counts for the node,
         *     and pauses
         */
        boolean holds(DrainableNode node);
    }

    /**
     * Reads a condition over figures.
     *
     * @throws InvalidConditionException where it is none
     */
    PolicyCondition compilePolicyCondition(String text);

    /**
     * Reads a condition over a node.
     *
     * @throws InvalidConditionException where it is none
     */
    NodeCondition compileNodeCondition(String text);
}
