package cedarrudder.draining;

import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The policies in force with their conditions compiled. A condition that can't be compiled or
 * evaluated counts as a reason to pause.
 */
final class CompiledPolicies {

    /** The result of a condition; UNDECIDED if it can't be evaluated. */
    enum Verdict {
        YES,
        NO,
        UNDECIDED
    }

    private record Rule(
            DrainPolicy policy,
            ConditionCompiler.NodeCondition where,
            ConditionCompiler.PolicyCondition pauseIf,
            ConditionCompiler.PolicyCondition resumeIf,
            ConditionCompiler.PolicyCondition giveBackIf,
            boolean compiled) {}

    private final List<Rule> rules = new ArrayList<>();
    private final Map<DrainableNode, Integer> cache = new HashMap<>();
    private int undecidedPolicies;

    CompiledPolicies(List<DrainPolicy> policies, ConditionCompiler conditions) {
        policies.forEach(policy -> rules.add(rule(policy, conditions)));
    }

    private static Rule rule(DrainPolicy policy, ConditionCompiler conditions) {
        try {
            return new Rule(
                    policy,
                    policy.selector().where().isEmpty()
                            ? node -> true
                            : conditions.compileNodeCondition(policy.selector().where()),
                    compileOrDefault(policy.pauseIf(), conditions, false),
                    compileOrDefault(policy.resumeIf(), conditions, true),
                    compileOrDefault(policy.giveBackIf(), conditions, false),
                    true);
        } catch (RuntimeException e) {
            // A replica of another version may be unable to compile the condition. The policy then
            // applies to every node and pauses, so that the replica drains nothing that it forbids.
            return new Rule(
                    policy, node -> true, inputs -> true, inputs -> false, inputs -> false, false);
        }
    }

    private static ConditionCompiler.PolicyCondition compileOrDefault(
            String text, ConditionCompiler conditions, boolean valueIfEmpty) {
        return text.isEmpty() ? inputs -> valueIfEmpty : conditions.compilePolicyCondition(text);
    }

    int size() {
        return rules.size();
    }

    DrainPolicy policy(int index) {
        return rules.get(index).policy;
    }

    /**
     * Returns the policies that apply to a node, as a bit set. A policy whose condition on the node
     * can't be evaluated applies and pauses.
     */
    int policiesFor(DrainableNode node) {
        if (cache.size() > 2 * DrainPolicy.MAX_NODES) {
            cache.clear();
        }
        return cache.computeIfAbsent(node.with(NodeStatus.SERVING), this::evaluate);
    }

    private int evaluate(DrainableNode node) {
        int policies = 0;
        for (int i = 0; i < rules.size(); i++) {
            Rule rule = rules.get(i);
            if (!rule.policy.selector().matches(node)) {
                continue;
            }
            try {
                policies |= rule.where.holds(node) ? 1 << i : 0;
            } catch (RuntimeException e) {
                policies |= 1 << i;
                undecidedPolicies |= 1 << i;
            }
        }
        return policies;
    }

    /** Returns whether a policy pauses for these inputs. */
    Verdict pauseVerdict(int index, PolicyConditionInputs inputs) {
        Rule rule = rules.get(index);
        if (!rule.compiled || (undecidedPolicies >> index & 1) != 0) {
            return Verdict.UNDECIDED;
        }
        return inputs.died() > rule.policy.maxFailedNodes()
                ? Verdict.YES
                : evaluate(rule.pauseIf, inputs);
    }

    Verdict resumeVerdict(int index, PolicyConditionInputs inputs) {
        return evaluate(rules.get(index).resumeIf, inputs);
    }

    Verdict giveBackVerdict(int index, PolicyConditionInputs inputs) {
        return evaluate(rules.get(index).giveBackIf, inputs);
    }

    private static Verdict evaluate(
            ConditionCompiler.PolicyCondition condition, PolicyConditionInputs inputs) {
        try {
            return condition.holds(inputs) ? Verdict.YES : Verdict.NO;
        } catch (RuntimeException e) {
            return Verdict.UNDECIDED;
        }
    }
}
