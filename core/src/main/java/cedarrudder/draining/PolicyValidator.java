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
 * What is wrong with policies that are each well formed: one that can never let anybody go, with a
 * state of nodes that shows it, and two that contradict each other. It tries states; it proves
 * nothing beyond them.
 */
public final class PolicyValidator {

    /**
     * A tier's size.
     *
     * @param pods in each zone, and {@code nodes} in each pod
     */
    public record Fleet(int zones, int pods, int nodes) {
        /** Checks the ranges; what lies outside is an IllegalArgumentException that names it. */
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

    /** What is wrong with a policy, by its place in the list and the key that is to blame. */
    public record Finding(int policy, String key, String found, String allowed) {}

    /** Two policies that are for some node both, and which of them is stricter in each bound. */
    public record OverlappingPolicies(int one, int other, List<String> stricter) {}

    /** Larger ones come last: the last that is tried is the most generous. */
    private static final List<Fleet> DEFAULT_FLEETS = defaultFleets();

    private static final String NONE_OF_BOTH = "none that both are for may leave";
    private static final int[] REPLICAS = {1, 3, 30};

    private final List<DrainPolicy> policies;
    private final ConditionCompiler conditions;
    private final List<Fleet> fleets;
    private final List<Finding> findings = new ArrayList<>();
    private final List<DrainableNode> samples = new ArrayList<>();
    private final List<OverlappingPolicies> overlapping = new ArrayList<>();
    private final Map<String, ConditionCompiler.PolicyCondition> figureConditions = new HashMap<>();
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

    /** What came of a check: what is wrong, and the pairs that are for some node both. */
    public record Result(List<Finding> findings, List<OverlappingPolicies> overlapping) {}

    /**
     * Checks policies whose conditions can be read.
     *
     * @param stated the size of the tier; null where it is not known, and many are tried
     */
    public static Result check(
            List<DrainPolicy> policies, ConditionCompiler conditions, Fleet stated) {
        PolicyValidator check = new PolicyValidator(policies, conditions, stated);
        check.checkAll();
        return new Result(List.copyOf(check.findings), List.copyOf(check.overlapping));
    }

    private void checkAll() {
        Set<Integer> never = new LinkedHashSet<>();
        for (int i = 0; i < policies.size(); i++) {
            samples.add(sampleNodes.find(List.of(policies.get(i))));
            int before = findings.size();
            checkPolicy(i);
            if (findings.size() > before) {
                never.add(i);
            }
        }
        for (int i = 0; i < policies.size(); i++) {
            for (int j = i + 1; j < policies.size(); j++) {
                DrainableNode node =
                        never.contains(i) || never.contains(j)
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
                    "'"
                            + policy.selector().where()
                            + "', which holds for none of the nodes that were tried",
                    "a condition that some node of this policy meets");
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
                    "a minute at least in which a wave may begin; " + shownBy("none may leave"));
        }
    }

    private void checkConditions(int index, DrainPolicy policy) {
        if (!canBeFalse(policy.pauseIf(), List.of(""), 0)) {
            add(
                    index,
                    "pause_if",
                    "'"
                            + policy.pauseIf()
                            + "', which holds, or can't be told, with nothing refused, failed or"
                            + " late",
                    "a condition that is false while all is well; " + shownBy("none may leave"));
        }
        if (!canBeFalse(policy.giveBackIf(), List.of(""), 1)) {
            add(
                    index,
                    "give_back_if",
                    "'"
                            + policy.giveBackIf()
                            + "', which holds, or can't be told, with one node out and nothing"
                            + " refused, failed or late",
                    "a condition that is false while all is well; "
                            + shownBy("each that leaves is given back"));
        }
    }

    private void checkBounds(int index, DrainPolicy policy) {
        Bound bound = blockingBound(List.of(policy), samples.get(index));
        if (bound != null) {
            add(
                    index,
                    BoundText.key(bound),
                    BoundText.configuredValue(policy, bound),
                    BoundText.allowed(bound) + "; " + shownBy("none may leave"));
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

    /** A minute of the week in which a wave may begin by all of them; -1 where there is none. */
    private static int firstOpenMinute(List<DrainPolicy> all) {
        for (int minute = 0; minute < DrainPolicy.MINUTES_PER_WEEK; minute++) {
            int at = minute;
            if (all.stream().noneMatch(policy -> policy.isClosedAt(at))) {
                return minute;
            }
        }
        return -1;
    }

    /** Whether none of the conditions holds while all is well, for some number of replicas. */
    private boolean canBeFalse(String text, List<String> others, int out) {
        for (int replicas : REPLICAS) {
            PolicyConditionInputs figures =
                    new PolicyConditionInputs(0, 0, 0, 1 - out * 0.01, replicas, replicas, out, 0);
            boolean calm = isFalse(text, figures);
            for (String other : others) {
                calm &= isFalse(other, figures);
            }
            if (calm) {
                return true;
            }
        }
        return false;
    }

    private boolean isFalse(String text, PolicyConditionInputs figures) {
        try {
            return text.isEmpty()
                    || !figureConditions
                            .computeIfAbsent(text, conditions::compilePolicyCondition)
                            .holds(figures);
        } catch (RuntimeException e) {
            return false;
        }
    }

    /**
     * What keeps each node of each fleet from going, as the last shows it; null where one may go.
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

    /** What keeps the sample in a fleet of which all that the policy can be for is like it. */
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
        String beside = " beside '" + one.name() + "', which is for the same nodes";
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
                    "a minute at least in which a wave may begin by both; "
                            + shownBy(NONE_OF_BOTH));
        }
    }

    private void checkPauses(DrainPolicy one, DrainPolicy other, int index, String beside) {
        if (!canBeFalse(other.pauseIf(), List.of(one.pauseIf()), 0)) {
            add(
                    index,
                    "pause_if",
                    "'" + other.pauseIf() + "'" + beside + " and pauses if '" + one.pauseIf() + "'",
                    "conditions that can both be false while all is well; "
                            + shownBy(NONE_OF_BOTH));
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
                    BoundText.configuredValue(stricter, bound) + " at the most" + beside,
                    "bounds that let one node go; " + shownBy(NONE_OF_BOTH));
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
                            + " and says "
                            + written(one.onDeadline())
                            + " at the same time",
                    "one end, or different times: the shorter one's end counts");
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
                    written(other.order()) + beside + " and says " + written(one.order()),
                    "one of them");
        }
    }

    private boolean breaks(DrainPolicy policy, DrainableNode node, Bound bound) {
        return blockingBound(policy, node, largestFleet()) == bound;
    }

    private static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
