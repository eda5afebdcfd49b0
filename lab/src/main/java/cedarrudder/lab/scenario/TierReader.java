package cedarrudder.lab.scenario;

import cedarrudder.lab.scenario.Scenario.Choke;
import cedarrudder.lab.scenario.Scenario.Connections;
import cedarrudder.lab.scenario.Scenario.Kind;
import cedarrudder.lab.scenario.Scenario.Probing;
import cedarrudder.lab.scenario.Scenario.Report;
import cedarrudder.lab.scenario.Scenario.Tier;
import cedarrudder.toml.ConfigTable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads the tiers of a scenario and their kinds of machines. */
final class TierReader {

    private static final int MAX_NODES = 10_000;

    private final Set<String> names = new HashSet<>();

    List<Tier> read(ConfigTable top) {
        List<ConfigTable> tables = top.tables("tier");
        if (tables.isEmpty()) {
            top.problem("tier", "nothing", "at least one [[tier]]");
        }
        List<Tier> tiers = new ArrayList<>();
        for (int i = 0; i < tables.size(); i++) {
            tiers.add(tier(tables.get(i), i, i == tables.size() - 1));
        }
        double sum = tiers.stream().mapToDouble(Tier::workShare).sum();
        if (!tiers.isEmpty()
                && tables.stream().allMatch(each -> each.sound("work_share"))
                && Math.abs(sum - 1) > ScenarioReader.SLACK) {
            top.problem("tier", "work_share that sums to " + Figures.shown(sum), "a sum of 1");
        }
        return tiers;
    }

    private Tier tier(ConfigTable t, int index, boolean last) {
        String name = ScenarioReader.ownName(t, names);
        Draw nodes = Figures.drawOrNull(t, "nodes", 1, MAX_NODES);
        Draw relative = Figures.drawOrNull(t, "nodes_of_first", 0.01, 100);
        if (index == 0 && relative != null) {
            t.problem(
                    "nodes_of_first",
                    "a multiple of the first tier",
                    "none at the first tier: nodes");
        } else if (nodes != null && relative != null) {
            t.problem(
                    "nodes_of_first",
                    "a second figure beside nodes",
                    "either nodes or nodes_of_first");
        } else if (nodes == null && relative == null) {
            t.problem(
                    "nodes",
                    "nothing",
                    index == 0
                            ? "a number from 1 to " + MAX_NODES
                            : "either nodes or nodes_of_first");
        }
        Draw proxies = Figures.drawOrNull(t, "proxies", 1, 1000);
        if (index == 0 && proxies == null) {
            t.problem("proxies", "nothing", "a number from 1 to 1000 at the first tier");
        } else if (index > 0 && proxies != null) {
            t.problem(
                    "proxies",
                    "a key that is not used",
                    "none behind the first tier: each node above has its own proxy");
        }
        double workShare = t.number("work_share", 0, 1, 1);
        Draw calls = Figures.draw(t, "calls", 0, 20, 1);
        if (last && t.has("calls")) {
            t.problem("calls", "calls to the next tier", "no such key at the last tier");
        }
        Draw cellSize = Figures.draw(t, "cell_size", 1, MAX_NODES, 4);
        double passes = t.number("passes_deadline", 0, 1, 1);
        if (last && t.has("passes_deadline")) {
            t.problem(
                    "passes_deadline",
                    "a habit of calls to the next tier",
                    "no such key at the last tier");
        }
        Draw none = Draw.fixed(1);
        Tier tier =
                new Tier(
                        name,
                        nodes != null ? nodes : relative != null ? relative : none,
                        nodes == null && relative != null,
                        proxies != null ? proxies : none,
                        workShare,
                        last ? Draw.fixed(0) : calls,
                        cellSize,
                        passes,
                        kinds(t),
                        report(t.tableOrEmpty("report")),
                        connections(t.tableOrEmpty("connections")),
                        probing(t.tableOrEmpty("probing")),
                        choke(t.table("choke")));
        t.done();
        return tier;
    }

    private static List<Kind> kinds(ConfigTable tier) {
        List<ConfigTable> tables = tier.tables("kind");
        if (tables.isEmpty()) {
            tier.problem("kind", "nothing", "at least one [[tier.kind]]");
        }
        Set<String> names = new HashSet<>();
        List<Kind> kinds = new ArrayList<>();
        for (ConfigTable t : tables) {
            kinds.add(
                    new Kind(
                            ScenarioReader.ownName(t, names),
                            Figures.draw(t, "share", 0, 1, 1),
                            (int) t.integer("cores", 1, 256, 1),
                            Figures.draw(t, "speed", 0.01, 100, 1),
                            Figures.draw(t, "speed_spread", 0, 2, 0),
                            Figures.draw(t, "slots_per_core", 1, 10_000, 8),
                            Figures.draw(t, "queue_per_core", 0, 10_000, 4),
                            Figures.draw(t, "thrash", 0, 1, 0),
                            Figures.draw(t, "thrash_at_per_core", 0, 10_000, 16),
                            Figures.draw(t, "cold_from", 0.01, 1, 0.2),
                            Figures.draw(t, "cold_s", 0, 600, 10, 20),
                            Figures.draw(t, "error_rate", 0, 1, 0),
                            t.flag("stops_cancelled", true),
                            t.number("drops_expired", 0, 1, 0.5)));
            t.done();
        }
        ScenarioReader.sum(tier, "kind", tables, kinds.stream().map(Kind::share).toList());
        return kinds;
    }

    private static Report report(ConfigTable t) {
        Report report =
                new Report(
                        Figures.draw(t, "period_ms", 0.1, 60_000, 60, 240),
                        Figures.draw(t, "delay_ms", 0, 60_000, 10, 100),
                        Figures.draw(t, "noise", 0, 2, 0.1));
        t.done();
        return report;
    }

    private static Connections connections(ConfigTable t) {
        Connections connections =
                new Connections(
                        Figures.draw(t, "handshake_trips", 0, 10, 1, 3),
                        Figures.draw(t, "handshake_work_us", 0, 1_000_000, 2000),
                        Figures.time(t, "idle_s", 0.1, 3600, 30),
                        Figures.time(t, "connect_timeout_ms", 1, 60_000, 100),
                        Figures.draw(t, "cap_per_core", 1, 1_000_000, 800),
                        Figures.draw(t, "full_tax", 0, 0.9, 0.3));
        t.done();
        return connections;
    }

    private static Probing probing(ConfigTable t) {
        Probing probing =
                new Probing(
                        Figures.draw(t, "work_us", 0, 1_000_000, 150),
                        Figures.draw(t, "cap_per_core_per_s", 0.1, 1_000_000, 60, 150),
                        Figures.time(t, "timeout_ms", 1, 60_000, 150));
        t.done();
        return probing;
    }

    private static Choke choke(ConfigTable t) {
        if (t == null) {
            return null;
        }
        Choke choke =
                new Choke(
                        t.number("chance", 0, 1, 1),
                        Figures.draw(t, "at_per_core", 0, 10_000, 5),
                        Figures.draw(t, "over_s", 0.01, 600, 2),
                        Figures.draw(t, "slower", 1, 100, 2, 3),
                        Figures.draw(t, "rest_s", 0.01, 600, 3, 5),
                        Figures.draw(t, "below_per_core", 0.01, 10_000, 0.3),
                        Figures.draw(t, "most_s", 0.01, 3600, 20, 30),
                        t.number("price", 0, 1, 0));
        if (t.sound("most_s", "rest_s") && choke.max().high() < choke.rest().low()) {
            t.problem(
                    "most_s",
                    Figures.shown("most_s", choke.max().high()),
                    "no less than rest_s, " + Figures.shown("rest_s", choke.rest().low()));
        }
        t.done();
        return choke;
    }
}
