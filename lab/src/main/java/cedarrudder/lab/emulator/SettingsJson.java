package cedarrudder.lab.emulator;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.lab.scenario.Scenario;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Writes settings as a proxy's configuration holds them: the counterpart of the daemon's reader.
 */
final class SettingsJson {

    private SettingsJson() {}

    /**
     * @param tier the tier that the proxy sends to
     */
    static ObjectNode of(BalancerSettings settings, Scenario scenario, Scenario.Tier tier) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("balancers", settings.replicas())
                .put("ordinal", settings.self())
                .put("layer", settings.tier())
                .put("zone", settings.zone())
                .put("discovery", settings.pollsEndpoints() ? "ask" : "push")
                .put("over-share-worth", settings.goal().overQuotaWeight());
        names(json.putArray("tiers"), scenario.tiers().stream().map(Scenario.Tier::name).toList());
        names(json.putArray("localities"), scenario.network().zones());
        names(json.putArray("kinds"), tier.kinds().stream().map(Scenario.Kind::name).toList());
        ArrayNode classes = json.putArray("request-classes");
        for (BalancerSettings.RequestClass kind : settings.classes()) {
            classes.addObject()
                    .put("name", kind.name())
                    .put(
                            "idempotency",
                            switch (kind.idempotency()) {
                                case SAFE -> "retryable";
                                case KEYED -> "dedup";
                                case UNSAFE -> "fragile";
                            })
                    .put(
                            "key-scope",
                            switch (kind.keyScope()) {
                                case ALL -> "all";
                                case ZONE -> "zone";
                                case CELL -> "cell";
                            })
                    .put("goal-time-ns", kind.latencyObjectiveNanos())
                    .put("give-up-ns", kind.deadlineNanos())
                    .put("value", kind.priorityWeight())
                    .put("late-worth", kind.lateWeight())
                    .put("repeat-window-ns", kind.keyWindowNanos())
                    .put("stream", kind.streaming());
        }
        ArrayNode tenants = json.putArray("tenants");
        for (BalancerSettings.Tenant tenant : settings.tenants()) {
            tenants.addObject()
                    .put("name", tenant.name())
                    .put("share", tenant.quotaShare())
                    .put("quota-per-s", tenant.quotaPerSecond());
        }
        BalancerSettings.Limits limits = settings.limits();
        json.putObject("limits")
                .put("probes", limits.probing())
                .put("cancel", limits.cancellation())
                .put("parallel-tries", limits.hedging())
                .put("retry-after", limits.retryAfterAdvice())
                .put("max-attempts", limits.maxAttempts())
                .put("max-retry-after-ns", limits.maxRetryAfterNanos())
                .put("dial-timeout-ns", limits.connectTimeoutNanos())
                .put("conn-idle-ns", limits.connectionIdleNanos());
        BalancerSettings.SafetyRules safety = settings.safety();
        json.putObject("safety")
                .put("stop-sending-within-ns", safety.drainGraceNanos())
                .put("cold-share", safety.coldCapacityShare())
                .put("ramp-time-ns", safety.slowStartNanos())
                .put("fall-multiple", safety.overloadMultiple())
                .put("fall-ns", safety.overloadWindowNanos())
                .put("ask-within-ns", safety.pollIntervalNanos());
        BalancerSettings.ServiceGoal goal = settings.goal();
        json.putObject("goal")
                .put("whole", goal.overallWeight())
                .put("worst-window", goal.worstWindowWeight())
                .put("worst-class", goal.worstClassWeight())
                .put("worst-tenant", goal.worstTenantWeight());
        json.putObject("costs")
                .put("probe", settings.prices().probe())
                .put("handshake", settings.prices().handshake());
        ObjectNode report = json.putObject("report");
        names(report.putArray("fields"), List.of("latency_ms", "inflight", "util"));
        report.put("via", "probe");
        return json;
    }

    private static void names(ArrayNode to, List<String> names) {
        names.forEach(to::add);
    }
}
