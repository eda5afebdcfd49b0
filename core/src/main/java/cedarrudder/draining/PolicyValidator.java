package cedarrudder.draining;

import cedarrudder.draining.DrainCommand.Bound;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainableNode.Standing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

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
    private static final List<Fleet> DEFAULT_FLEETS = usual();

    private static final Pattern TEXT = Pattern.compile("'([^']*)'|\"([^\"]*)\"");
    private static final Pattern NUMBER = Pattern.compile("\\d+(\\.\\d+)?");
    private static final int MAX_SAMPLES = 20_000;
    private static final int MAX_PODS = 64;
    private static final int[] REPLICAS = {1, 3, 30};

    private final List<DrainPolicy> policies;
    private final ConditionCompiler conditions;
    private final List<Fleet> fleets;
    private final List<Finding> findings = new ArrayList<>();
    private final List<DrainableNode> samples = new ArrayList<>();
    private final List<OverlappingPolicies> overlapping = new ArrayList<>();
    private final Map<String, ConditionCompiler.OfFigures> figureConditions = new HashMap<>();
    private final Map<String, ConditionCompiler.OfNode> nodeConditions = new HashMap<>();

    private PolicyValidator(
            List<DrainPolicy> policies, ConditionCompiler conditions, Fleet stated) {
        this.policies = policies;
        this.conditions = conditions;
        this.fleets = stated == null ? DEFAULT_FLEETS : List.of(stated);
    }

    private static List<Fleet> usual() {
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
            samples.add(sample(List.of(policies.get(i))));
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
                                : sample(List.of(policies.get(i), policies.get(j)));
                if (node != null) {
                    checkPair(i, j, node);
                }
            }
        }
    }

    // ---- one policy ----

    private void checkPolicy(int index) {
        DrainPolicy policy = policies.get(index);
        if (samples.get(index) == null) {
            findings.add(
                    new Finding(
                            index,
                            "where",
                            "'"
                                    + policy.selector().where()
                                    + "', which holds for none of the nodes that were tried",
                            "a condition that some node of " + "this policy meets"));
            return;
        }
        if (firstOpenMinute(List.of(policy)) < 0) {
            findings.add(
                    new Finding(
                            index,
                            "closed",
                            "windows that cover the whole week",
                            "a minute at least in which a wave may begin; shown by "
                                    + largestFleet()
                                    + ": none may leave"));
        }
        if (!canBeFalse(policy.pauseIf(), List.of(""), 0)) {
            findings.add(
                    new Finding(
                            index,
                            "pause_if",
                            "'"
                                    + policy.pauseIf()
                                    + "', which holds, or can't "
                                    + "be told, with nothing refused, failed or late",
                            "a condition that is false while all "
                                    + "is well; shown by "
                                    + largestFleet()
                                    + ": none may leave"));
        }
        if (!canBeFalse(policy.giveBackIf(), List.of(""), 1)) {
            findings.add(
                    new Finding(
                            index,
                            "give_back_if",
                            "'"
                                    + policy.giveBackIf()
                                    + "', which holds, or can't be told, with one node out and"
                                    + " nothing refused, failed or late",
                            "a condition "
                                    + "that is false while all is well; shown by "
                                    + largestFleet()
                                    + ": each that leaves is given back"));
        }
        Bound bound = blockingBound(List.of(policy), samples.get(index));
        if (bound != null) {
            findings.add(
                    new Finding(
                            index,
                            key(bound),
                            configuredValue(policy, bound),
                            allowed(bound) + "; shown by " + largestFleet() + ": none may leave"));
        }
    }

    private Fleet largestFleet() {
        return fleets.get(fleets.size() - 1);
    }

    /** A minute of the week in which a wave may begin by all of them; -1 where there is none. */
    private static int firstOpenMinute(List<DrainPolicy> all) {
        for (int minute = 0; minute < DrainPolicy.WEEK; minute++) {
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
                    || !figureConditions.computeIfAbsent(text, conditions::figures).holds(figures);
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
                                    Standing.SERVING,
                                    0),
                            false);
                }
            }
        }
        return counted.exceededBound(sample, false);
    }

    private static String key(Bound bound) {
        return switch (bound) {
            case POD -> "out_per_pod";
            case ZONE -> "out_per_zone";
            case TIER -> "out_per_tier";
            case LEFT_POD -> "left.per_pod";
            case LEFT_ZONE -> "left.per_zone";
            case LEFT_TIER -> "left.per_tier";
            default -> "left.weight";
        };
    }

    private static String configuredValue(DrainPolicy policy, Bound bound) {
        return switch (bound) {
            case POD -> max(policy.maxPerPod());
            case ZONE -> max(policy.maxPerZone());
            case TIER -> max(policy.maxPerTier());
            case LEFT_POD -> String.valueOf(policy.minAvailable().pod());
            case LEFT_ZONE -> String.valueOf(policy.minAvailable().zone());
            case LEFT_TIER -> String.valueOf(policy.minAvailable().tier());
            default -> String.valueOf(policy.minAvailable().weight());
        };
    }

    private static String max(DrainPolicy.MaxUnavailable max) {
        return max.share() == 1
                ? "nodes = " + max.nodes()
                : max.nodes() == DrainPolicy.MAX_NODES
                        ? "share = " + max.share()
                        : "nodes = " + max.nodes() + ", share = " + max.share();
    }

    private static String allowed(Bound bound) {
        return switch (bound) {
            case POD, ZONE, TIER -> "a number and a share that come to one node at least";
            default -> "less than there are";
        };
    }

    // ---- two policies ----

    private void checkPair(int i, int j, DrainableNode node) {
        DrainPolicy one = policies.get(i);
        DrainPolicy other = policies.get(j);
        List<DrainPolicy> two = List.of(one, other);
        String beside = " beside '" + one.name() + "', which is for the same nodes";
        if (firstOpenMinute(two) < 0) {
            findings.add(
                    new Finding(
                            j,
                            "closed",
                            "windows that cover the whole week with those of '" + one.name() + "'",
                            "a minute at least in which a wave may begin by both; shown by "
                                    + largestFleet()
                                    + ": none that both are for may leave"));
        }
        if (!canBeFalse(other.pauseIf(), List.of(one.pauseIf()), 0)) {
            findings.add(
                    new Finding(
                            j,
                            "pause_if",
                            "'"
                                    + other.pauseIf()
                                    + "'"
                                    + beside
                                    + " and pauses if '"
                                    + one.pauseIf()
                                    + "'",
                            "conditions that can both be false while all is well; shown by "
                                    + largestFleet()
                                    + ": none that both are for may leave"));
        }
        Bound bound = blockingBound(two, node);
        if (bound != null) {
            findings.add(
                    new Finding(
                            j,
                            key(bound),
                            configuredValue(breaks(other, node, bound) ? other : one, bound)
                                    + " at the most"
                                    + beside,
                            "bounds that let one node go; shown by "
                                    + largestFleet()
                                    + ": none that both are for may leave"));
        }
        if (one.deadlineNanos() == other.deadlineNanos()
                && one.onDeadline() != other.onDeadline()) {
            findings.add(
                    new Finding(
                            j,
                            "at_end",
                            written(other.onDeadline())
                                    + beside
                                    + " and says "
                                    + written(one.onDeadline())
                                    + " at the same time",
                            "one end, or different times: the shorter " + "one's end counts"));
        }
        if (one.order() == DrainOrder.LIGHT_FIRST && other.order() == DrainOrder.HEAVY_FIRST
                || one.order() == DrainOrder.HEAVY_FIRST
                        && other.order() == DrainOrder.LIGHT_FIRST) {
            findings.add(
                    new Finding(
                            j,
                            "order",
                            written(other.order()) + beside + " and says " + written(one.order()),
                            "one of them"));
        }
        overlapping.add(new OverlappingPolicies(i, j, stricter(one, other)));
    }

    private boolean breaks(DrainPolicy policy, DrainableNode node, Bound bound) {
        return blockingBound(policy, node, largestFleet()) == bound;
    }

    private static String written(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static List<String> stricter(DrainPolicy one, DrainPolicy other) {
        List<String> all = new ArrayList<>();
        stricter(all, "out_per_pod", one, other, (a, b) -> tighter(a.maxPerPod(), b.maxPerPod()));
        stricter(
                all, "out_per_zone", one, other, (a, b) -> tighter(a.maxPerZone(), b.maxPerZone()));
        stricter(
                all, "out_per_tier", one, other, (a, b) -> tighter(a.maxPerTier(), b.maxPerTier()));
        stricter(
                all,
                "left.per_pod",
                one,
                other,
                (a, b) -> a.minAvailable().pod() > b.minAvailable().pod());
        stricter(
                all,
                "left.per_zone",
                one,
                other,
                (a, b) -> a.minAvailable().zone() > b.minAvailable().zone());
        stricter(
                all,
                "left.per_tier",
                one,
                other,
                (a, b) -> a.minAvailable().tier() > b.minAvailable().tier());
        stricter(
                all,
                "left.weight",
                one,
                other,
                (a, b) -> a.minAvailable().weight() > b.minAvailable().weight());
        stricter(all, "wave", one, other, (a, b) -> a.maxWaveSize() < b.maxWaveSize());
        stricter(all, "pace_ms", one, other, (a, b) -> a.minWaveInterval() > b.minWaveInterval());
        stricter(all, "died", one, other, (a, b) -> a.maxDied() < b.maxDied());
        stricter(all, "node_ms", one, other, (a, b) -> a.deadlineNanos() < b.deadlineNanos());
        return all;
    }

    /** Whether a bound is lower in number or share, and higher in neither. */
    private static boolean tighter(DrainPolicy.MaxUnavailable a, DrainPolicy.MaxUnavailable b) {
        return a.nodes() <= b.nodes() && a.share() <= b.share() && !a.equals(b);
    }

    private static void stricter(
            List<String> all,
            String key,
            DrainPolicy one,
            DrainPolicy other,
            BiPredicate<DrainPolicy, DrainPolicy> than) {
        if (than.test(one, other)) {
            all.add(key + " of '" + one.name() + "'");
        } else if (than.test(other, one)) {
            all.add(key + " of '" + other.name() + "'");
        }
    }

    // ---- nodes to try ----

    /** A node that all of these are for; null where none was found. */
    private DrainableNode sample(List<DrainPolicy> all) {
        Set<String> texts = new LinkedHashSet<>();
        Set<Double> weights = new LinkedHashSet<>();
        Set<Integer> pods = new LinkedHashSet<>();
        texts.add("a");
        weights.add(1.0);
        for (DrainPolicy policy : all) {
            DrainPolicy.NodeSelector whom = policy.selector();
            for (String text : List.of(whom.tier(), whom.zone(), whom.kind())) {
                if (!text.isEmpty()) {
                    texts.add(text);
                }
            }
            weights.add(whom.min());
            weights.add(Math.min(whom.max(), 1_000));
            if (whom.pod() != DrainPolicy.ANY_POD) {
                pods.add(whom.pod());
            }
            Matcher quoted = TEXT.matcher(whom.where());
            while (quoted.find()) {
                texts.add(quoted.group(1) == null ? quoted.group(2) : quoted.group(1));
            }
            Matcher number = NUMBER.matcher(whom.where());
            while (number.find()) {
                double value = Double.parseDouble(number.group());
                weights.add(value);
                weights.add(value + 0.5);
                weights.add(Math.max(0, value - 0.5));
                pods.add((int) Math.min(value, 1_000_000));
            }
        }
        for (int pod = 0; pod < MAX_PODS; pod++) {
            pods.add(pod);
        }
        List<ConditionCompiler.OfNode> where =
                all.stream()
                        .filter(policy -> !policy.selector().where().isEmpty())
                        .map(
                                policy ->
                                        nodeConditions.computeIfAbsent(
                                                policy.selector().where(), conditions::node))
                        .toList();
        int left = MAX_SAMPLES;
        for (double weight : weights) {
            for (String kind : texts) {
                for (String zone : texts) {
                    for (String tier : texts) {
                        for (int pod : pods) {
                            DrainableNode node =
                                    new DrainableNode(
                                            0, tier, zone, pod, kind, weight, Standing.SERVING, 0);
                            if (all.stream().allMatch(policy -> policy.selector().matches(node))) {
                                if (where.stream().allMatch(each -> holds(each, node))) {
                                    return node;
                                } else if (--left == 0) {
                                    return null;
                                }
                            }
                        }
                    }
                }
            }
        }
        return null;
    }

    private static boolean holds(ConditionCompiler.OfNode condition, DrainableNode node) {
        try {
            return condition.holds(node);
        } catch (RuntimeException e) {
            return false;
        }
    }
}
