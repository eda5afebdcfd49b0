package cedarrudder.draining;

/**
 * Compiles the conditions of policies. The language of the conditions is up to the implementation.
 */
public interface ConditionCompiler {

    /** A condition on the inputs that the replicas share. */
    interface PolicyCondition {
        /**
         * Returns whether the condition holds.
         *
         * @throws RuntimeException if it can't be evaluated; that counts as a reason to pause
         */
        boolean holds(PolicyConditionInputs inputs);
    }

    /** A condition on a node. */
    interface NodeCondition {
        /**
         * Returns whether the condition holds.
         *
         * @throws RuntimeException if it can't be evaluated; the policy then applies to the node
         *     and pauses
         */
        boolean holds(DrainableNode node);
    }

    /**
     * Compiles a condition on the shared inputs.
     *
     * @throws InvalidConditionException if the text is not a valid condition
     */
    PolicyCondition compilePolicyCondition(String text);

    /**
     * Compiles a condition on a node.
     *
     * @throws InvalidConditionException if the text is not a valid condition
     */
    NodeCondition compileNodeCondition(String text);
}
