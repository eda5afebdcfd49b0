package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Bound;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainableNode.NodeStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Validates policies that are each well formed: finds a policy under which no node can ever be
 * drained, with a fleet that shows it, and pairs of policies that contradict each other. It tests a
 * set of fleets and proves nothing beyond them.
 */
public final class PolicyValidator {

    /**
     * The size of a tier.
     *
     * @param zones the number of zones
     * @param pods the number of pods in each zone
     * @param nodes the number of nodes in each pod
     */
    public record Fleet(int zones, int pods, int nodes) {
        /** Checks the ranges; throws an IllegalArgumentException that names a size out of range. */
        public Fleet {
            DrainPolicy.check(
                    zones >= 1
                            && pods >= 1
                            && nodes >= 1
                            && (long) zones * pods * nodes <= DrainPolicy.MAX_NODES * 4L,
                    "fleet",
                    zones + " zones, " + pods + " pods, " + nodes + " nodes",
                    "1 or more of each, 16,384 nodes in all");
        }

        @Override
        public String toString() {
            return zones
                    + (zones == 1 ? " zone of " : " zones of ")
                    + pods
                    + (pods == 1 ? " pod of " : " pods of ")
                    + nodes
                    + (nodes == 1 ? " node" : " nodes")
                    + ", all serving";
        }
    }

    /**
     * A fault of a policy.
     *
     * @param policy the index of the policy
     * @param key the key at fault in the operator's file
     */
    public record Finding(int policy, String key, String found, String allowed) {}

    /** Two policies that select a common node, and which of them is stricter in each bound. */
    public record OverlappingPolicies(int one, int other, List<String> stricter) {}

    /** In rising size: the last fleet allows the most drains. */
    private static final List<Fleet> DEFAULT_FLEETS = defaultFleets();

    private static final String NO_COMMON_NODE = "no node that both select can be drained";
    private static final int[] REPLICAS = {1, 3, 30};

    private final List<DrainPolicy> policies;
    private final ConditionCompiler conditions;
    private final List<Fleet> fleets;
    private final List<Finding> findings = new ArrayList<>();
    private final List<DrainableNode> samples = new ArrayList<>();
    private final List<OverlappingPolicies> overlapping = new ArrayList<>();
    private final Map<String, ConditionCompiler.PolicyCondition> conditionsOnInputs =
            new HashMap<>();
    private final SampleNodes sampleNodes;

    private PolicyValidator(
            List<DrainPolicy> policies, ConditionCompiler conditions, Fleet stated) {
        this.policies = policies;
        this.conditions = conditions;
        this.sampleNodes = new SampleNodes(conditions);
        this.fleets = stated == null ? DEFAULT_FLEETS : List.of(stated);
    }

    private static List<Fleet> defaultFleets() {
        List<Fleet> fleets = new ArrayList<>();
        for (int zones : new int[] {1, 3, 8}) {
            for (int pods : new int[] {1, 4}) {
                for (int nodes : new int[] {1, 2, 3, 5, 8, 16, 100, 500}) {
                    fleets.add(new Fleet(zones, pods, nodes));
                }
            }
        }
        fleets.add(new Fleet(1, 1, DrainPolicy.MAX_NODES));
        return fleets;
    }

    /** The faults found, and the pairs of policies that select a common node. */
    public record Result(List<Finding> findings, List<OverlappingPolicies> overlapping) {}

    /**
     * Checks policies whose conditions can be compiled.
     *
     * @param stated the size of the tier; null if it is not known, so that many sizes are tried
     */
    public static Result check(
            List<DrainPolicy> policies, ConditionCompiler conditions, Fleet stated) {
        PolicyValidator validator = new PolicyValidator(policies, conditions, stated);
        validator.checkAll();
        return new Result(List.copyOf(validator.findings), List.copyOf(validator.overlapping));
    }

    private void checkAll() {
        Set<Integer> faulty = new LinkedHashSet<>();
        for (int i = 0; i < policies.size(); i++) {
            samples.add(sampleNodes.find(List.of(policies.get(i))));
            int before = findings.size();
            checkPolicy(i);
            if (findings.size() > before) {
                faulty.add(i);
            }
        }
        for (int i = 0; i < policies.size(); i++) {
            for (int j = i + 1; j < policies.size(); j++) {
                DrainableNode node =
                        faulty.contains(i) || faulty.contains(j)
                                ? null
                                : sampleNodes.find(List.of(policies.get(i), policies.get(j)));
                if (node != null) {
                    checkPair(i, j, node);
                }
            }
        }
    }

    private void checkPolicy(int index) {
        DrainPolicy policy = policies.get(index);
        if (samples.get(index) == null) {
            add(
                    index,
                    "where",
                    "'" + policy.selector().where() + "', which holds for none of the sample nodes",
                    "a condition that holds for some node of this policy");
            return;
        }
        checkWindows(index, policy);
        checkConditions(index, policy);
        checkBounds(index, policy);
    }

    private void checkWindows(int index, DrainPolicy policy) {
        if (firstOpenMinute(List.of(policy)) < 0) {
            add(
                    index,
                    "closed",
                    "windows that cover the whole week",
                    "at least one minute in which a wave may begin; "
                            + shownBy("no node can be drained"));
        }
    }

    private void checkConditions(int index, DrainPolicy policy) {
        if (!canBeFalse(policy.pauseIf(), List.of(""), 0)) {
            add(
                    index,
                    "pause_if",
                    "'"
                            + policy.pauseIf()
                            + "', which holds or can't be evaluated with nothing refused, failed"
                            + " or late",
                    "a condition that is false in normal operation; "
                            + shownBy("no node can be drained"));
        }
        if (!canBeFalse(policy.giveBackIf(), List.of(""), 1)) {
            add(
                    index,
                    "give_back_if",
                    "'"
                            + policy.giveBackIf()
                            + "', which holds or can't be evaluated with one node out and nothing"
                            + " refused, failed or late",
                    "a condition that is false in normal operation; "
                            + shownBy("each node being drained is given back"));
        }
    }

    private void checkBounds(int index, DrainPolicy policy) {
        Bound bound = blockingBound(List.of(policy), samples.get(index));
        if (bound != null) {
            add(
                    index,
                    BoundText.key(bound),
                    BoundText.configuredValue(policy, bound),
                    BoundText.allowed(bound) + "; " + shownBy("no node can be drained"));
        }
    }

    private void add(int policy, String key, String found, String allowed) {
        findings.add(new Finding(policy, key, found, allowed));
    }

    private String shownBy(String consequence) {
        return "shown by " + largestFleet() + ": " + consequence;
    }

    private Fleet largestFleet() {
        return fleets.get(fleets.size() - 1);
    }

    /** Returns the first minute of the week in which all policies allow a wave; -1 if none. */
    private static int firstOpenMinute(List<DrainPolicy> all) {
        for (int minute = 0; minute < DrainPolicy.MINUTES_PER_WEEK; minute++) {
            int at = minute;
            if (all.stream().noneMatch(policy -> policy.isClosedAt(at))) {
                return minute;
            }
        }
        return -1;
    }

    /** Returns whether all conditions are false in normal operation for some number of replicas. */
    private boolean canBeFalse(String text, List<String> otherTexts, int out) {
        for (int replicas : REPLICAS) {
            PolicyConditionInputs inputs =
                    new PolicyConditionInputs(0, 0, 0, 1 - out * 0.01, replicas, replicas, out, 0);
            boolean allFalse = isFalse(text, inputs);
            for (String other : otherTexts) {
                allFalse &= isFalse(other, inputs);
            }
            if (allFalse) {
                return true;
            }
        }
        return false;
    }

    private boolean isFalse(String text, PolicyConditionInputs inputs) {
        try {
            return text.isEmpty()
                    || !conditionsOnInputs
                            .computeIfAbsent(text, conditions::compilePolicyCondition)
                            .holds(inputs);
        } catch (RuntimeException e) {
            return false;
        }
    }

    /**
     * Returns the bound of the last fleet that blocks the sample node; null if some fleet allows
     * its drain.
     */
    private Bound blockingBound(List<DrainPolicy> all, DrainableNode sample) {
        Bound bound = null;
        for (Fleet fleet : fleets) {
            bound = null;
            for (DrainPolicy policy : all) {
                bound = bound == null ? blockingBound(policy, sample, fleet) : bound;
            }
            if (bound == null) {
                return null;
            }
        }
        return bound;
    }

    /** Returns the bound that blocks the sample in a fleet whose selected nodes are all like it. */
    private static Bound blockingBound(DrainPolicy policy, DrainableNode sample, Fleet fleet) {
        DisruptionCounts counted = new DisruptionCounts(policy);
        int zones = policy.selector().zone().isEmpty() ? fleet.zones : 1;
        int pods = policy.selector().pod() == DrainPolicy.ANY_POD ? fleet.pods : 1;
        long id = 0;
        for (int zone = 0; zone < zones; zone++) {
            for (int pod = 0; pod < pods; pod++) {
                for (int i = 0; i < fleet.nodes; i++) {
                    boolean own = zone == 0 && pod == 0;
                    counted.add(
                            new DrainableNode(
                                    id++,
                                    sample.tier(),
                                    zone == 0 ? sample.zone() : "zone " + zone,
                                    own ? sample.pod() : 1_000_000 + zone * pods + pod,
                                    sample.kind(),
                                    sample.weight(),
                                    NodeStatus.SERVING,
                                    0),
                            false);
                }
            }
        }
        return counted.exceededBound(sample, false);
    }

    private void checkPair(int i, int j, DrainableNode node) {
        DrainPolicy one = policies.get(i);
        DrainPolicy other = policies.get(j);
        String beside = " beside '" + one.name() + "', which selects the same nodes";
        checkWindows(one, other, j);
        checkPauses(one, other, j, beside);
        checkBounds(one, other, j, beside, node);
        checkDeadlines(one, other, j, beside);
        checkOrders(one, other, j, beside);
        overlapping.add(new OverlappingPolicies(i, j, StricterBounds.of(one, other)));
    }

    private void checkWindows(DrainPolicy one, DrainPolicy other, int index) {
        if (firstOpenMinute(List.of(one, other)) < 0) {
            add(
                    index,
                    "closed",
                    "windows that cover the whole week with those of '" + one.name() + "'",
                    "at least one minute in which both allow a wave; " + shownBy(NO_COMMON_NODE));
        }
    }

    private void checkPauses(DrainPolicy one, DrainPolicy other, int index, String beside) {
        if (!canBeFalse(other.pauseIf(), List.of(one.pauseIf()), 0)) {
            add(
                    index,
                    "pause_if",
                    "'" + other.pauseIf() + "'" + beside + " and sets '" + one.pauseIf() + "'",
                    "conditions that can both be false in normal operation; "
                            + shownBy(NO_COMMON_NODE));
        }
    }

    private void checkBounds(
            DrainPolicy one, DrainPolicy other, int index, String beside, DrainableNode node) {
        Bound bound = blockingBound(List.of(one, other), node);
        if (bound != null) {
            DrainPolicy stricter = breaks(other, node, bound) ? other : one;
            add(
                    index,
                    BoundText.key(bound),
                    BoundText.configuredValue(stricter, bound) + " at most" + beside,
                    "bounds that allow one drain; " + shownBy(NO_COMMON_NODE));
        }
    }

    private void checkDeadlines(DrainPolicy one, DrainPolicy other, int index, String beside) {
        if (one.deadlineNanos() == other.deadlineNanos()
                && one.onDeadline() != other.onDeadline()) {
            add(
                    index,
                    "at_end",
                    written(other.onDeadline())
                            + beside
                            + " and sets "
                            + written(one.onDeadline())
                            + " at the same deadline",
                    "the same action, or different deadlines: the action of the shorter applies");
        }
    }

    private void checkOrders(DrainPolicy one, DrainPolicy other, int index, String beside) {
        boolean opposite =
                one.order() == DrainOrder.LIGHT_FIRST && other.order() == DrainOrder.HEAVY_FIRST
                        || one.order() == DrainOrder.HEAVY_FIRST
                                && other.order() == DrainOrder.LIGHT_FIRST;
        if (opposite) {
            add(
                    index,
                    "order",
                    written(other.order()) + beside + " and sets " + written(one.order()),
                    "the same order");
        }
    }

    private boolean breaks(DrainPolicy policy, DrainableNode node, Bound bound) {
        return blockingBound(policy, node, largestFleet()) == bound;
    }

    private static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
