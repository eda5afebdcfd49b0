package cedarrudder.lab.model;

import cedarrudder.budget.PropagatedBudget;

/**
 * What a caller asks of a proxy with one try. Times are nanoseconds.
 *
 * @param work its work if one request went through all tiers: each tier does its part of that
 * @param hint what the proxy is told of it; 0: nothing
 * @param key of a keyed request; 0 where it has none
 * @param repeat whether it is marked as a repeat
 * @param seed from which all chance about it follows
 * @param deadline when the caller gives up
 * @param reported what the caller says of budgets, and whether it says how long it waits
 * @param local whether the caller is the node that the proxy stands beside
 */
public record ClientAttempt(
        int classIndex,
        int tenant,
        double work,
        long hint,
        long key,
        boolean repeat,
        long seed,
        long deadline,
        PropagatedBudget reported,
        boolean local) {

    /**
     * A node's call to the next tier: a request of the same class with work of its own. Where
     * clients give hints, nodes do, and theirs are exact.
     */
    static ClientAttempt below(
            World world,
            int tier,
            ClientAttempt above,
            long seed,
            long deadline,
            PropagatedBudget reported) {
        double work = world.classes.get(above.classIndex).drawn(HashRandom.of(seed, -5));
        long hint =
                above.hint == 0
                        ? 0
                        : Math.max(1, (long) (work * world.tiers.get(tier).workShare()));
        return new ClientAttempt(
                above.classIndex,
                above.tenant,
                work,
                hint,
                above.key,
                false,
                seed,
                deadline,
                reported,
                true);
    }
}
