package cedarrudder.protocol;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.Limits;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.BalancerSettings.ServiceGoal;
import cedarrudder.balancer.BalancerSettings.ServicePrices;
import cedarrudder.balancer.BalancerSettings.Tenant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the settings that the simulator sends and that the proxy's configuration contains. Times
 * are in nanoseconds.
 */
public final class SettingsReader {

    /** Idempotency of a request class, by its name in the settings. */
    private static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of(
                    "retryable",
                    Idempotency.SAFE,
                    "dedup",
                    Idempotency.KEYED,
                    "fragile",
                    Idempotency.UNSAFE);

    private static final Map<String, KeyScope> SCOPES =
            Map.of("all", KeyScope.ALL, "zone", KeyScope.ZONE, "cell", KeyScope.CELL);
    private static final Map<String, SiteSettings.Reports> REPORTS =
            Map.of(
                    "answers",
                    SiteSettings.Reports.ANSWERS,
                    "probe",
                    SiteSettings.Reports.PROBES,
                    "none",
                    SiteSettings.Reports.NONE);

    /**
     * Limit on counts of machines, zones and attempts, so that no cast to int truncates a value.
     */
    private static final int MAX_COUNTED = 1_000_000;

    /** Limit on times: a week in nanoseconds, so that sums of times don't overflow. */
    private static final long MAX_TIME_NANOS = 7 * 86_400_000_000_000L;

    private SettingsReader() {}

    /**
     * Reads the settings. Unknown keys are ignored.
     *
     * @throws IllegalArgumentException if a setting is missing or wrong; the message names the
     *     place, the value found and the values allowed
     */
    public static SiteSettings read(JsonObject root) {
        List<RequestClass> classes = classes(root);
        List<Tenant> tenants = new ArrayList<>();
        for (JsonObject node : root.list("tenants", false)) {
            tenants.add(
                    new Tenant(
                            node.text("name", ""),
                            node.number("share", 0, 0, Double.MAX_VALUE),
                            node.number("quota-per-s", 0, 0, Double.MAX_VALUE)));
        }
        int replicas = (int) root.integer("balancers", 1, MAX_COUNTED);
        List<String> tiers = root.texts("tiers");
        List<String> zones = root.texts("localities");
        BalancerSettings settings =
                new BalancerSettings(
                        replicas,
                        (int) root.integer("ordinal", 0, replicas - 1),
                        (int) root.number("zone", 0, 0, maxIndex(zones)),
                        (int) root.number("layer", 0, 0, maxIndex(tiers)),
                        Math.max(1, tiers.size()),
                        root.word("discovery", "push", List.of("push", "ask")).equals("ask"),
                        List.copyOf(classes),
                        List.copyOf(tenants),
                        limits(root.child("limits")),
                        safety(root.child("safety")),
                        goal(root),
                        prices(root.child("costs")));
        JsonObject report = root.child("report");
        return new SiteSettings(
                settings,
                new LoadReportFields(report.texts("fields")),
                word(report, "via", "none", REPORTS),
                tiers,
                zones,
                root.texts("kinds"));
    }

    /**
     * Returns the largest index into a list of names; without names, any index up to the limit on
     * counts.
     */
    private static int maxIndex(List<String> names) {
        return names.isEmpty() ? MAX_COUNTED : names.size() - 1;
    }

    private static List<RequestClass> classes(JsonObject root) {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonObject node : root.list("request-classes", true)) {
            String name = node.text("name", "");
            if (!names.add(name)) {
                throw node.notAllowed(
                        "name", "'" + name + "' once more", "a name of its own for each class");
            }
            classes.add(
                    new RequestClass(
                            name,
                            word(node, "idempotency", null, IDEMPOTENCIES),
                            word(node, "key-scope", "all", SCOPES),
                            node.integer("goal-time-ns", 1, MAX_TIME_NANOS),
                            node.integer("give-up-ns", 1, MAX_TIME_NANOS),
                            node.number("value", 1, 0, Double.MAX_VALUE),
                            node.number("late-worth", 0),
                            (long) node.number("repeat-window-ns", 0, 0, MAX_TIME_NANOS),
                            node.flag("stream", false)));
        }
        if (classes.isEmpty()) {
            throw root.notAllowed("request-classes", "none", "one or more");
        }
        return classes;
    }

    private static Limits limits(JsonObject limits) {
        return new Limits(
                limits.flag("probes", false),
                limits.flag("cancel", false),
                limits.flag("parallel-tries", false),
                limits.flag("retry-after", false),
                (int) limits.number("max-attempts", 1, 1, MAX_COUNTED),
                (long) limits.number("max-retry-after-ns", 0, 0, MAX_TIME_NANOS),
                (long) limits.number("dial-timeout-ns", 0, 0, MAX_TIME_NANOS),
                (long) limits.number("conn-idle-ns", 0, 0, MAX_TIME_NANOS));
    }

    private static SafetyRules safety(JsonObject safety) {
        return new SafetyRules(
                safety.integer("stop-sending-within-ns", 0, MAX_TIME_NANOS),
                safety.number("cold-share", 1, 0, 1),
                (long) safety.number("ramp-time-ns", 0, 0, MAX_TIME_NANOS),
                safety.number("fall-multiple", 1, 0, Double.MAX_VALUE),
                (long) safety.number("fall-ns", 0, 0, MAX_TIME_NANOS),
                (long) safety.number("ask-within-ns", 0, 0, MAX_TIME_NANOS));
    }

    private static ServiceGoal goal(JsonObject root) {
        JsonObject goal = root.child("goal");
        return new ServiceGoal(
                goal.number("whole", 1),
                goal.number("worst-window", 0),
                goal.number("worst-class", 0),
                goal.number("worst-tenant", 0),
                root.number("over-share-worth", 1),
                root.word("worth-by", "request", List.of("request", "work")).equals("work"));
    }

    private static ServicePrices prices(JsonObject costs) {
        return new ServicePrices(costs.number("probe", 0), costs.number("handshake", 0));
    }

    private static <T> T word(
            JsonObject node, String key, String defaultWord, Map<String, T> valuesByWord) {
        return valuesByWord.get(
                node.word(key, defaultWord, valuesByWord.keySet().stream().sorted().toList()));
    }
}
