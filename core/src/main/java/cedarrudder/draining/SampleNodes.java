package cedarrudder.draining;

import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds a node that several policies all select, by trying the values that their selectors and
 * conditions contain, and values close to them.
 */
final class SampleNodes {

    private static final Pattern QUOTED_TEXT = Pattern.compile("'([^']*)'|\"([^\"]*)\"");
    private static final Pattern NUMBER = Pattern.compile("\\d+(\\.\\d+)?");
    private static final int MAX_SAMPLES = 20_000;
    private static final int MAX_PODS = 64;
    private static final int MAX_NAMED_POD = 1_000_000;
    private static final double MAX_WEIGHT = 1_000;
    private static final double NEAR = 0.5;

    private final ConditionCompiler conditions;
    private final Map<String, ConditionCompiler.NodeCondition> compiled = new HashMap<>();

    SampleNodes(ConditionCompiler conditions) {
        this.conditions = conditions;
    }

    /** Returns a node that all of these policies select, or null if none was found. */
    DrainableNode find(List<DrainPolicy> policies) {
        Candidates candidates = new Candidates();
        policies.forEach(policy -> candidates.addValuesOf(policy.selector()));
        candidates.addDefaultPods();
        Search search = new Search(policies, conditionsOf(policies));
        candidates.tryAll(search::test);
        return search.found;
    }

    /** Tests nodes until one matches or the maximum number of samples is reached. */
    private static final class Search {
        private final List<DrainPolicy> policies;
        private final List<ConditionCompiler.NodeCondition> conditions;
        private int samplesLeft = MAX_SAMPLES;
        private DrainableNode found;

        Search(List<DrainPolicy> policies, List<ConditionCompiler.NodeCondition> conditions) {
            this.policies = policies;
            this.conditions = conditions;
        }

        /** Tests a node; returns whether the search ends with it. */
        boolean test(DrainableNode node) {
            if (!policies.stream().allMatch(policy -> policy.selector().matches(node))) {
                return false;
            }
            if (conditions.stream().allMatch(condition -> holds(condition, node))) {
                found = node;
                return true;
            }
            samplesLeft--;
            return samplesLeft == 0;
        }
    }

    private List<ConditionCompiler.NodeCondition> conditionsOf(List<DrainPolicy> policies) {
        return policies.stream()
                .map(policy -> policy.selector().where())
                .filter(where -> !where.isEmpty())
                .map(where -> compiled.computeIfAbsent(where, conditions::compileNodeCondition))
                .toList();
    }

    private static boolean holds(ConditionCompiler.NodeCondition condition, DrainableNode node) {
        try {
            return condition.holds(node);
        } catch (RuntimeException e) {
            return false;
        }
    }

    /** The values that are tried for each property of a node. */
    private static final class Candidates {
        private final Set<String> texts = new LinkedHashSet<>();
        private final Set<Double> weights = new LinkedHashSet<>();
        private final Set<Integer> pods = new LinkedHashSet<>();

        Candidates() {
            texts.add("a");
            weights.add(1.0);
        }

        void addValuesOf(NodeSelector selector) {
            for (String text : List.of(selector.tier(), selector.zone(), selector.kind())) {
                if (!text.isEmpty()) {
                    texts.add(text);
                }
            }
            weights.add(selector.min());
            weights.add(Math.min(selector.max(), MAX_WEIGHT));
            if (selector.pod() != DrainPolicy.ANY_POD) {
                pods.add(selector.pod());
            }
            addTexts(selector.where());
            addNumbers(selector.where());
        }

        private void addTexts(String condition) {
            Matcher quoted = QUOTED_TEXT.matcher(condition);
            while (quoted.find()) {
                texts.add(quoted.group(1) == null ? quoted.group(2) : quoted.group(1));
            }
        }

        private void addNumbers(String condition) {
            Matcher number = NUMBER.matcher(condition);
            while (number.find()) {
                double value = Double.parseDouble(number.group());
                weights.add(value);
                weights.add(value + NEAR);
                weights.add(Math.max(0, value - NEAR));
                pods.add((int) Math.min(value, MAX_NAMED_POD));
            }
        }

        void addDefaultPods() {
            for (int pod = 0; pod < MAX_PODS; pod++) {
                pods.add(pod);
            }
        }

        /**
         * Tests each combination of the values until the test ends the search; returns whether it
         * did.
         */
        boolean tryAll(Predicate<DrainableNode> test) {
            for (double weight : weights) {
                for (String kind : texts) {
                    for (String zone : texts) {
                        for (String tier : texts) {
                            if (tryPods(tier, zone, kind, weight, test)) {
                                return true;
                            }
                        }
                    }
                }
            }
            return false;
        }

        private boolean tryPods(
                String tier,
                String zone,
                String kind,
                double weight,
                Predicate<DrainableNode> test) {
            for (int pod : pods) {
                if (test.test(
                        new DrainableNode(
                                0, tier, zone, pod, kind, weight, NodeStatus.SERVING, 0))) {
                    return true;
                }
            }
            return false;
        }
    }
}
