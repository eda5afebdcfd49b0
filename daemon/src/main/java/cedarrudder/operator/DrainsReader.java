package cedarrudder.operator;

import cedarrudder.draining.ConditionCompiler;
import cedarrudder.draining.DrainPolicy;
import cedarrudder.draining.DrainPolicy.DrainOrder;
import cedarrudder.draining.DrainPolicy.MaxUnavailable;
import cedarrudder.draining.DrainPolicy.MinAvailable;
import cedarrudder.draining.DrainPolicy.NodeSelector;
import cedarrudder.draining.DrainPolicy.OnDeadline;
import cedarrudder.draining.DrainPolicy.OnRestart;
import cedarrudder.draining.DrainPolicy.Window;
import cedarrudder.draining.InvalidConditionException;
import cedarrudder.draining.PolicyCodec;
import cedarrudder.draining.PolicyValidator;
import cedarrudder.draining.PolicyValidator.Finding;
import cedarrudder.draining.PolicyValidator.Fleet;
import cedarrudder.toml.ConfigTable;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads the table {@code [drains]}. Separate from {@link DrainsTable}, so that a process without
 * the table loads no class of draining.
 */
final class DrainsReader {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MAX_REVISION = 1L << 52;
    private static final int MAX_POD = 1_000_000;
    private static final double MAX_WEIGHT = 1_000_000;
    private static final long DEFAULT_DEADLINE = 60_000 * NANOS_PER_MILLI;
    private static final int MAX_FLEET = 4_096;
    private static final List<String> DAYS =
            List.of("mon", "tue", "wed", "thu", "fri", "sat", "sun");
    private static final List<String> BOUNDS =
            List.of("out_per_pod", "out_per_zone", "out_per_tier", "left");
    private static final String LEFT = "left.";

    private DrainsReader() {}

    static DrainsConfiguration read(ConfigTable table) {
        ConditionCompiler conditions = new ConditionsJar();
        long revision = table.integer("revision", 1, MAX_REVISION);
        Fleet fleet = fleet(table.table("fleet"));
        List<ConfigTable> tables = table.tables("policy");
        if (tables.isEmpty() && table.sound("policy") || tables.size() > DrainPolicy.MAX_POLICIES) {
            table.problem(
                    "policy",
                    tables.size() + " policies",
                    "1 to " + DrainPolicy.MAX_POLICIES + " tables written [[drains.policy]]");
        }
        List<DrainPolicy> policies = new ArrayList<>();
        boolean sound = readPolicies(tables, conditions, policies);
        PolicyValidator.Result result =
                sound && policies.size() <= DrainPolicy.MAX_POLICIES
                        ? PolicyValidator.check(policies, conditions, fleet)
                        : new PolicyValidator.Result(List.of(), List.of());
        result.findings().forEach(finding -> report(finding, tables.get(finding.policy())));
        int bytes = PolicyCodec.encode(policies).length;
        if (bytes > PolicyCodec.MAX_BYTES) {
            table.problem(
                    "policy",
                    "policies of " + bytes + " bytes as replicas exchange them",
                    "up to " + PolicyCodec.MAX_BYTES);
        }
        return new DrainsConfiguration(revision, policies, result.overlapping(), conditions);
    }

    /**
     * Adds the policies that can be read; returns whether all could be read, each with a different
     * name.
     */
    private static boolean readPolicies(
            List<ConfigTable> tables, ConditionCompiler conditions, List<DrainPolicy> policies) {
        Set<String> names = new HashSet<>();
        boolean sound = true;
        for (ConfigTable each : tables) {
            DrainPolicy policy = policy(each, conditions);
            if (policy == null) {
                sound = false;
                continue;
            }
            if (!names.add(policy.name())) {
                each.problem(
                        "name",
                        "\"" + policy.name() + "\" twice",
                        "a name of its own for each policy");
                sound = false;
            }
            policies.add(policy);
        }
        return sound;
    }

    private static void report(Finding finding, ConfigTable policy) {
        boolean left = finding.key().startsWith(LEFT);
        ConfigTable table = left ? policy.tableOrEmpty("left") : policy;
        String key = left ? finding.key().substring(LEFT.length()) : finding.key();
        table.problem(key, finding.found(), finding.allowed());
    }

    private static Fleet fleet(ConfigTable table) {
        if (table == null) {
            return null;
        }
        long zones = table.integer("zones", 1, MAX_FLEET);
        long pods = table.integer("pods_per_zone", 1, MAX_FLEET);
        long nodes = table.integer("nodes_per_pod", 1, MAX_FLEET);
        boolean fits = zones * pods * nodes <= MAX_FLEET;
        if (!fits) {
            table.problem("", zones * pods * nodes + " nodes", "up to " + MAX_FLEET);
        }
        table.done();
        return fits ? new Fleet((int) zones, (int) pods, (int) nodes) : null;
    }

    /** Reads a policy; returns null where part of it is wrong, which the table reports. */
    private static DrainPolicy policy(ConfigTable table, ConditionCompiler conditions) {
        PolicyFields fields = new PolicyFields(table);
        String name = fields.text("name", null);
        NodeSelector selector = fields.selector();
        MaxUnavailable perPod = fields.max("out_per_pod");
        MaxUnavailable perZone = fields.max("out_per_zone");
        MaxUnavailable perTier = fields.max("out_per_tier");
        MinAvailable minAvailable = fields.minAvailable();
        if (BOUNDS.stream().noneMatch(table::has)) {
            fields.problem(
                    "out_per_tier", "no bound", "one at least of " + String.join(", ", BOUNDS));
        }
        DrainOrder order = table.choice("order", DrainOrder.class, DrainOrder.AS_ASKED);
        int wave = (int) table.integer("wave", 1, DrainPolicy.MAX_NODES, DrainPolicy.MAX_NODES);
        long pace =
                CommonKeys.millis(
                        table, "pace_ms", 0, DrainPolicy.MAX_DURATION_NANOS / NANOS_PER_MILLI, 0);
        int died = (int) table.integer("died", 0, DrainPolicy.MAX_NODES, 1);
        String pauseIf = fields.text("pause_if", "");
        String resumeIf = fields.text("go_on_if", "");
        String giveBackIf = fields.text("give_back_if", "");
        long deadline = fields.deadline();
        OnDeadline onDeadline = table.choice("at_end", OnDeadline.class, OnDeadline.KEEP_WAITING);
        OnRestart onRestart = table.choice("restarted", OnRestart.class, OnRestart.BACK);
        List<Window> closed = fields.windows();
        fields.nodeCondition("where", fields.where, conditions);
        fields.condition("pause_if", pauseIf, conditions);
        fields.condition("go_on_if", resumeIf, conditions);
        fields.condition("give_back_if", giveBackIf, conditions);
        table.done();
        return !fields.sound
                ? null
                : new DrainPolicy(
                        name,
                        selector,
                        perPod,
                        perZone,
                        perTier,
                        minAvailable,
                        order,
                        wave,
                        pace,
                        died,
                        pauseIf,
                        resumeIf,
                        giveBackIf,
                        deadline,
                        onDeadline,
                        onRestart,
                        closed);
    }

    /**
     * Reads the parts of a policy and records whether one was wrong, in which case no policy is
     * created.
     */
    private static final class PolicyFields {
        private final ConfigTable table;
        private boolean sound = true;
        private String where;

        PolicyFields(ConfigTable table) {
            this.table = table;
        }

        void problem(String key, String found, String allowed) {
            table.problem(key, found, allowed);
            sound = false;
        }

        String text(String key, String defaultValue) {
            String text = table.text(key, defaultValue);
            sound &= table.sound(key);
            if (text.length() > DrainPolicy.MAX_TEXT
                    || text.isEmpty() && defaultValue == null && table.sound(key)) {
                problem(key, text.length() + " characters", "1 to " + DrainPolicy.MAX_TEXT);
            }
            return text;
        }

        MaxUnavailable max(String key) {
            ConfigTable max = table.table(key);
            if (max == null) {
                sound &= table.sound(key);
                return MaxUnavailable.ANY;
            }
            int nodes = (int) max.integer("nodes", 0, DrainPolicy.MAX_NODES, DrainPolicy.MAX_NODES);
            double share = max.number("share", 0, 1, 1);
            if (!max.has("nodes") && !max.has("share")) {
                problem(key, "an empty table", "nodes, share or both");
            }
            max.done();
            return new MaxUnavailable(nodes, share);
        }

        MinAvailable minAvailable() {
            ConfigTable left = table.table("left");
            if (left == null) {
                sound &= table.sound("left");
                return MinAvailable.NOTHING;
            }
            MinAvailable all =
                    new MinAvailable(
                            (int) left.integer("per_pod", 0, DrainPolicy.MAX_NODES, 0),
                            (int) left.integer("per_zone", 0, DrainPolicy.MAX_NODES, 0),
                            (int) left.integer("per_tier", 0, DrainPolicy.MAX_NODES, 0),
                            left.number("weight", 0, 1, 0));
            left.done();
            return all;
        }

        List<Window> windows() {
            List<Window> windows = new ArrayList<>();
            for (ConfigTable each : table.tables("closed")) {
                int days = 0;
                for (String day : each.texts("days")) {
                    int at = DAYS.indexOf(day);
                    if (at < 0) {
                        each.problem("days", ConfigTable.shown(day), String.join(", ", DAYS));
                        sound = false;
                    } else {
                        days |= 1 << at;
                    }
                }
                if (!each.has("days")) {
                    days = (1 << DAYS.size()) - 1;
                }
                LocalTime from = each.time("from");
                LocalTime to = each.time("to");
                sound &= each.sound("days") && each.sound("from") && each.sound("to");
                each.done();
                if (days > 0) {
                    windows.add(new Window(days, minute(from), minute(to)));
                } else if (sound) {
                    each.problem("days", "[]", String.join(", ", DAYS));
                    sound = false;
                }
            }
            if (windows.size() > DrainPolicy.MAX_WINDOWS) {
                problem("closed", windows.size() + " windows", "up to " + DrainPolicy.MAX_WINDOWS);
            }
            return windows;
        }

        private static int minute(LocalTime time) {
            return time.getHour() * 60 + time.getMinute();
        }

        /** Reads the selector of the policy; returns null where a part read so far is wrong. */
        NodeSelector selector() {
            String tier = text("tier", "");
            String zone = text("zone", "");
            int pod =
                    table.has("pod") ? (int) table.integer("pod", 0, MAX_POD) : DrainPolicy.ANY_POD;
            String kind = text("kind", "");
            double[] weight = table.range("weight", 0, MAX_WEIGHT, new double[] {0, MAX_WEIGHT});
            where = text("where", "");
            return sound
                    ? new NodeSelector(tier, zone, pod, kind, weight[0], weight[1], where)
                    : null;
        }

        long deadline() {
            return CommonKeys.millis(
                    table,
                    "node_ms",
                    DrainPolicy.MIN_DEADLINE_NANOS / NANOS_PER_MILLI,
                    DrainPolicy.MAX_DURATION_NANOS / NANOS_PER_MILLI,
                    DEFAULT_DEADLINE);
        }

        void nodeCondition(String key, String condition, ConditionCompiler conditions) {
            if (!condition.isEmpty()) {
                compile(key, () -> conditions.compileNodeCondition(condition));
            }
        }

        void condition(String key, String condition, ConditionCompiler conditions) {
            if (!condition.isEmpty()) {
                compile(key, () -> conditions.compilePolicyCondition(condition));
            }
        }

        private void compile(String key, Runnable compilation) {
            try {
                compilation.run();
            } catch (InvalidConditionException e) {
                problem(key, e.found(), e.allowed());
            }
        }
    }
}
