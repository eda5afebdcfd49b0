package cedarrudder.draining;

import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Policies with their conditions read. What of them can't be decided counts as a reason to pause.
 */
final class CompiledPolicies {

    /** How a condition came out. */
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
            boolean readable) {}

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
            // This avoids a copy of another version, that can't read it, letting go what it
            // forbids.
            return new Rule(
                    policy,
                    node -> true,
                    figures -> true,
                    figures -> false,
                    figures -> false,
                    false);
        }
    }

    private static ConditionCompiler.PolicyCondition compileOrDefault(
            String text, ConditionCompiler conditions, boolean otherwise) {
        return text.isEmpty() ? figures -> otherwise : conditions.compilePolicyCondition(text);
    }

    int size() {
        return rules.size();
    }

    DrainPolicy policy(int index) {
        return rules.get(index).policy;
    }

    /** The policies that are for a node, as bits; one that can't be decided is, and pauses. */
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

    /** Whether no wave may begin by what a policy says of the figures. */
    Verdict pauseVerdict(int index, PolicyConditionInputs figures) {
        Rule rule = rules.get(index);
        if (!rule.readable || (undecidedPolicies >> index & 1) != 0) {
            return Verdict.UNDECIDED;
        }
        return figures.died() > rule.policy.maxFailedNodes()
                ? Verdict.YES
                : evaluate(rule.pauseIf, figures);
    }

    Verdict resumeVerdict(int index, PolicyConditionInputs figures) {
        return evaluate(rules.get(index).resumeIf, figures);
    }

    Verdict giveBackVerdict(int index, PolicyConditionInputs figures) {
        return evaluate(rules.get(index).giveBackIf, figures);
    }

    private static Verdict evaluate(
            ConditionCompiler.PolicyCondition condition, PolicyConditionInputs figures) {
        try {
            return condition.holds(figures) ? Verdict.YES : Verdict.NO;
        } catch (RuntimeException e) {
            return Verdict.UNDECIDED;
        }
    }
}
