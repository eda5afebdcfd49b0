package cedarrudder.lab.scenario;

import cedarrudder.lab.scenario.Scenario.Allowed;
import cedarrudder.lab.scenario.Scenario.Arrivals;
import cedarrudder.lab.scenario.Scenario.Clients;
import cedarrudder.lab.scenario.Scenario.Customer;
import cedarrudder.lab.scenario.Scenario.Discovery;
import cedarrudder.lab.scenario.Scenario.Fault;
import cedarrudder.lab.scenario.Scenario.Front;
import cedarrudder.lab.scenario.Scenario.Goal;
import cedarrudder.lab.scenario.Scenario.Network;
import cedarrudder.lab.scenario.Scenario.Prices;
import cedarrudder.lab.scenario.Scenario.RequestKind;
import cedarrudder.lab.scenario.Scenario.Rules;
import cedarrudder.lab.scenario.Scenario.Run;
import cedarrudder.lab.scenario.Scenario.Tier;
import cedarrudder.lab.scenario.Scenario.Trouble;
import cedarrudder.lab.scenario.Scenario.Wire;
import cedarrudder.lab.scenario.Scenario.WireTrouble;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigKey;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads a scenario from TOML, strictly: every key has a unit in its name, a range and mostly a
 * default, and one run reports everything that is wrong. The format is described in {@code
 * docs/SCENARIOS.md}.
 *
 * <p>A file may extend another one beside it: its tables at the top take the place of the other's,
 * whole. Problems name the file in which they stand.
 */
public final class ScenarioReader {

    private static final double HOUR = 3600;
    private static final double MINUTE = 60;
    private static final double MAX_SCALE = 100;

    /**
     * Weights and shares may miss their sum by as much: decimals of the file, not of the machine.
     */
    static final double SLACK = 1e-6;

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");
    private static final String NAMES = "up to 40 small letters, digits and hyphens";

    /** A file beside the scenario: this avoids a scenario that reads from anywhere. */
    static final Pattern FILE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private final ConfigDocument own;
    private final ConfigDocument base;
    private final Path folder;
    private final List<ConfigProblem> elsewhere = new ArrayList<>();

    /** The shortest run in nanoseconds; infinite where the length is wrong. */
    private double shortest = Double.POSITIVE_INFINITY;

    private ScenarioReader(ConfigDocument own, ConfigDocument base, Path folder) {
        this.own = own;
        this.base = base;
        this.folder = folder;
    }

    /**
     * Reads a file, the one it extends, and the trace it names.
     *
     * @throws InvalidFileException with everything that is wrong with them
     */
    public static Scenario read(Path file) throws InvalidFileException {
        ConfigDocument own = ConfigDocument.read(file);
        String extended = own.root().text("extends", "");
        Path folder = file.resolveSibling("");
        ConfigDocument base = null;
        if (FILE.matcher(extended).matches()) {
            try {
                base = ConfigDocument.read(folder.resolve(extended));
            } catch (InvalidFileException e) {
                own.root()
                        .problem(
                                "extends",
                                e.problems().get(0).found() + ", " + extended,
                                "a scenario beside this one");
            }
        } else if (!extended.isEmpty()) {
            own.root()
                    .problem(
                            "extends",
                            "\"" + extended + "\"",
                            "the name of a scenario beside this one");
        }
        if (!own.root().sound("extends")) {
            // This avoids errors that only follow: without its base all that it inherits is
            // missing.
            own.check();
        }
        ScenarioReader reader = new ScenarioReader(own, base, folder);
        Scenario scenario =
                reader.scenario(file.getFileName().toString().replaceFirst("\\.toml$", ""));
        reader.check();
        return scenario;
    }

    /** Every key of the format, in the order of reading, with what it allows and its default. */
    public static List<ConfigKey> keys() {
        ConfigDocument whole =
                ConfigDocument.parse(
                        "keys",
                        "[[tier]]\n[[tier.kind]]\n[tier.choke]\n[[class]]\n"
                                + "[[tenant]]\n[[fault]]\n[[wire]]\n");
        whole.root().text("extends", "");
        new ScenarioReader(whole, null, Path.of("")).scenario("");
        return whole.keys();
    }

    private void check() throws InvalidFileException {
        List<ConfigProblem> problems = new ArrayList<>(own.problems());
        if (base != null) {
            problems.addAll(base.problems());
        }
        problems.addAll(elsewhere);
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems);
        }
    }

    /**
     * The top of the file in which a table stands: the file's own, or that of the one it extends.
     */
    private ConfigTable top(String key) {
        boolean there = own.root().has(key);
        boolean inherited = base != null && base.root().has(key);
        return inherited && !there ? base.root() : own.root();
    }

    private ConfigTable table(String key) {
        return top(key).tableOrEmpty(key);
    }

    private Scenario scenario(String fileName) {
        ConfigTable root = own.root();
        String name = name(root, root.text("name", fileName));
        String about = root.text("about", null);
        Run run = run(table("run"));
        List<Tier> tiers = new TierReader().read(top("tier"));
        LoadReader load = new LoadReader(folder, elsewhere);
        List<RequestKind> classes = load.classes(top("class"));
        List<Customer> tenants = load.tenants(top("tenant"));
        Arrivals arrivals = load.arrivals(table("arrivals"), shortest, classes, tenants);
        Network network = network(table("network"));
        Front front = front(table("front"));
        Allowed allowed = allowed(table("allowed"));
        Clients clients = clients(table("clients"), allowed);
        Discovery discovery = discovery(table("discovery"));
        Rules rules = rules(table("rules"));
        Goal goal = goal(table("goal"), tenants);
        Prices prices = prices(table("prices"));
        List<Fault> faults = faults(top("fault"), tiers);
        List<Wire> wires = wires(top("wire"), tiers);
        root.done();
        if (base != null) {
            base.root().text("name", "");
            base.root().text("about", "");
            if (base.root().has("extends")) {
                root.problem(
                        "extends",
                        base.file() + ", which extends another one",
                        "a scenario that extends none");
            }
            base.root().done();
        }
        return new Scenario(
                name, about, run, arrivals, network, front, clients, discovery, allowed, rules,
                goal, prices, tiers, classes, tenants, faults, wires);
    }

    // ---- the parts ----

    private Run run(ConfigTable t) {
        Draw length = Figures.draw(t, "length_s", 1, HOUR);
        if (t.sound("length_s")) {
            shortest = length.low();
        }
        long lead = Figures.time(t, "lead_s", 0, HOUR, 1);
        int max = (int) t.integer("most_requests", 1, 5_000_000, 1_000_000);
        long window = Figures.time(t, "window_s", 0.1, HOUR, 10);
        if (lead >= shortest) {
            t.problem("lead_s", Figures.shown("lead_s", lead), beforeTheEnd(shortest));
        } else if (window > shortest - lead) {
            t.problem(
                    "window_s",
                    Figures.shown("window_s", window),
                    "no more than what counts of the "
                            + "shortest run, "
                            + Figures.shown("window_s", shortest - lead));
        }
        t.done();
        return new Run(length, lead, max, window);
    }

    private static Network network(ConfigTable t) {
        List<String> zones = t.texts("zones");
        for (String zone : zones) {
            if (!NAME.matcher(zone).matches()) {
                t.problem("zones", "\"" + zone + "\"", NAMES);
            }
        }
        if (new HashSet<>(zones).size() < zones.size()) {
            t.problem("zones", "a name twice", "a name for each zone");
        }
        Network network =
                new Network(
                        zones.isEmpty() ? List.of("zone") : zones,
                        Figures.draw(t, "same_ms", 0, 1000, 0.1, 0.3),
                        Figures.draw(t, "cross_ms", 0, 1000, 1, 3),
                        Figures.draw(t, "client_ms", 0, 1000, 0.2, 1),
                        Figures.draw(t, "peer_ms", 0, 1000, 1, 10),
                        Figures.draw(t, "jitter", 0, 10, 0.1),
                        t.number("peer_loss", 0, 1, 0));
        if (network.zones().size() == 1 && t.has("cross_ms")) {
            t.problem("cross_ms", "a delay between zones", "no such key where there is one zone");
        }
        t.done();
        return network;
    }

    private static Front front(ConfigTable t) {
        Front front = new Front(Figures.draw(t, "notice_s", 0, MINUTE, 1, 4));
        t.done();
        return front;
    }

    private static Clients clients(ConfigTable t, Allowed allowed) {
        Draw retries = Figures.draw(t, "retries", 0, 10, 0);
        Draw tryShare = Figures.draw(t, "try_share", 0.01, 1, 1);
        Draw backoff = Figures.draw(t, "backoff_ms", 0, 60_000, 20, 100);
        boolean exponential = t.flag("exponential", true);
        Draw honour = Figures.draw(t, "honour", 0, 1, 1);
        long max = Figures.time(t, "most_retry_after_ms", 0, 60_000, 2000);
        boolean marks = t.flag("marks_repeats", false);
        if (!allowed.retryAfter()) {
            if (t.has("honour") && honour.high() > 0) {
                t.problem(
                        "honour",
                        Figures.shown(honour.high()),
                        "0 where allowed.retry_after is false: nobody is told when to return");
            }
            honour = Draw.fixed(0);
        }
        t.done();
        return new Clients(retries, tryShare, backoff, exponential, honour, max, marks);
    }

    private static Discovery discovery(ConfigTable t) {
        Discovery discovery =
                new Discovery(
                        t.flag("ask", true),
                        Figures.draw(t, "notice_s", 0, MINUTE, 1, 4),
                        Figures.draw(t, "silent_notice_s", 0, 600, 5, 13),
                        Figures.draw(t, "add_s", 0, MINUTE, 0.5, 2),
                        Figures.draw(t, "period_ms", 1, 60_000, 200, 1000),
                        Figures.draw(t, "calls_per_s", 0.1, 1_000_000, 3, 6),
                        Figures.draw(t, "call_lines", 1, 1_000_000, 50),
                        Figures.time(t, "timeout_ms", 1, 60_000, 1000),
                        Figures.time(t, "ask_within_s", 0.1, 600, 10));
        t.done();
        return discovery;
    }

    private static Allowed allowed(ConfigTable t) {
        Allowed allowed =
                new Allowed(
                        t.flag("probes", true),
                        t.flag("peers", true),
                        t.flag("cancel", true),
                        t.flag("second_copies", true),
                        t.flag("retry_after", true),
                        (int) t.integer("attempts", 1, 16, 4));
        if (allowed.attempts() == 1 && t.has("second_copies") && allowed.secondCopies()) {
            t.problem("second_copies", "true", "false where attempts is 1");
        }
        t.done();
        return allowed;
    }

    private static Rules rules(ConfigTable t) {
        Rules rules =
                new Rules(
                        Figures.time(t, "drain_grace_ms", 1, 600_000, 2000),
                        t.number("fall_multiple", 1, MAX_SCALE, 3),
                        Figures.time(t, "fall_window_ms", 1, 600_000, 3000),
                        Figures.time(t, "answer_grace_ms", 0, 60_000, 10));
        t.done();
        return rules;
    }

    private static Goal goal(ConfigTable t, List<Customer> tenants) {
        Goal goal =
                new Goal(
                        t.number("whole", 0, 1, 1),
                        t.number("worst_window", 0, 1, 0),
                        t.number("worst_class", 0, 1, 0),
                        t.number("worst_tenant", 0, 1, 0),
                        t.number("over_share_worth", 0, 1, 1));
        double sum = goal.whole() + goal.worstWindow() + goal.worstClass() + goal.worstTenant();
        if (t.sound("whole", "worst_window", "worst_class", "worst_tenant")
                && Math.abs(sum - 1) > SLACK) {
            t.problem(
                    "",
                    "weights that sum to " + Figures.shown(sum),
                    "whole, worst_window, worst_class and worst_tenant that sum to 1");
        }
        if (goal.worstTenant() > 0 && tenants.isEmpty()) {
            t.problem(
                    "worst_tenant",
                    Figures.shown(goal.worstTenant()),
                    "0 where there are no tenants");
        }
        t.done();
        return goal;
    }

    private static Prices prices(ConfigTable t) {
        Prices prices =
                new Prices(
                        t.number("waste", 0, 1, 0),
                        t.number("probe", 0, 1, 0),
                        t.number("peer", 0, 1, 0),
                        t.number("late_fail", 0, 1, 0),
                        t.number("overdriven", 0, 1, 1));
        t.done();
        return prices;
    }

    private List<Fault> faults(ConfigTable top, List<Tier> tiers) {
        List<Fault> faults = new ArrayList<>();
        List<String> names = tiers.stream().map(Tier::name).toList();
        for (ConfigTable t : top.tables("fault")) {
            Trouble trouble = t.choice("trouble", Trouble.class, null);
            boolean known = t.sound("trouble");
            int tier = tier(t, trouble, known, names);
            Draw at = Figures.draw(t, "at_s", 0, HOUR);
            if (at.high() >= shortest) {
                t.problem("at_s", Figures.shown("at_s", at.high()), beforeTheEnd(shortest));
            }
            Draw length = Figures.draw(t, "length_s", 0.01, HOUR);
            Draw part = Figures.drawOrNull(t, "part", 0.001, 1);
            Draw size = Figures.drawOrNull(t, "size", 1, 1000);
            if (known) {
                fits(
                        t,
                        "part",
                        part,
                        trouble != Trouble.DISCOVERY_DOWN,
                        trouble,
                        "a number from 0.001 to 1, or two such as [low, high]");
                fits(
                        t,
                        "size",
                        size,
                        trouble == Trouble.SLOW,
                        trouble,
                        "a factor from 1 to 1000, or two such as [low, high]");
            }
            t.done();
            faults.add(
                    new Fault(
                            trouble,
                            tier,
                            at,
                            length,
                            part == null ? Draw.fixed(1) : part,
                            size == null ? Draw.fixed(1) : size));
        }
        return faults;
    }

    private List<Wire> wires(ConfigTable top, List<Tier> tiers) {
        List<Wire> wires = new ArrayList<>();
        List<String> names = tiers.stream().map(Tier::name).toList();
        for (ConfigTable t : top.tables("wire")) {
            WireTrouble trouble = t.choice("trouble", WireTrouble.class, null);
            int tier = -1;
            if (t.sound("trouble") && trouble.ofProxies()) {
                if (t.has("tier")) {
                    t.problem(
                            "tier",
                            "a key that is not used",
                            "none with "
                                    + ConfigTable.written(trouble)
                                    + ": it strikes the first tier's proxies");
                }
                t.text("tier", "");
            } else {
                tier = tier(t, t.sound("trouble"), names);
            }
            Draw at = Figures.draw(t, "at_s", 0, HOUR);
            if (at.high() >= shortest) {
                t.problem("at_s", Figures.shown("at_s", at.high()), beforeTheEnd(shortest));
            }
            wires.add(
                    new Wire(
                            trouble,
                            tier,
                            at,
                            Figures.draw(t, "length_s", 0.01, HOUR),
                            Figures.draw(t, "part", 0.001, 1, 1)));
            t.done();
        }
        return wires;
    }

    private static void fits(
            ConfigTable t,
            String key,
            Draw found,
            boolean needed,
            Trouble trouble,
            String allowed) {
        if (needed && found == null) {
            t.problem(key, "nothing", allowed);
        } else if (!needed && found != null) {
            t.problem(key, "a key that is not used", "none with " + ConfigTable.written(trouble));
        }
    }

    private static int tier(ConfigTable t, Trouble trouble, boolean known, List<String> names) {
        boolean needed = trouble != Trouble.DISCOVERY_DOWN && trouble != Trouble.PROXY_CRASH;
        if (known && !needed) {
            t.text("tier", "");
            if (t.has("tier")) {
                t.problem(
                        "tier",
                        "a key that is not used",
                        "none with "
                                + ConfigTable.written(trouble)
                                + (trouble == Trouble.PROXY_CRASH
                                        ? ": the first tier's proxies die"
                                        : ""));
            }
            return -1;
        }
        return tier(t, known, names);
    }

    private static int tier(ConfigTable t, boolean known, List<String> names) {
        String name = t.text("tier", "");
        int index = names.indexOf(name);
        if (known && index < 0) {
            String nearest = ConfigTable.nearest(name, names);
            t.problem(
                    "tier",
                    name.isEmpty() ? "nothing" : "\"" + name + "\", which names no tier",
                    nearest != null && !name.isEmpty()
                            ? "did you mean '" + nearest + "'?"
                            : String.join(", ", names));
        }
        return index;
    }

    // ---- what the parts share ----

    /** A name that may stand in plans, reports and the names of files. */
    static String name(ConfigTable t, String name) {
        if (t.has("name") && !NAME.matcher(name).matches()) {
            t.problem("name", "\"" + name + "\"", NAMES);
        }
        return name;
    }

    /** A name as above that no other of its kind has. */
    static String ownName(ConfigTable t, Set<String> taken) {
        String name = name(t, t.text("name", null));
        if (!name.isEmpty() && !taken.add(name)) {
            t.problem("name", "\"" + name + "\" again", "a name of its own");
        }
        return name;
    }

    /** What an instant may be that a run must reach. */
    static String beforeTheEnd(double shortest) {
        return "less than the shortest run, " + Figures.shown("length_s", shortest);
    }

    /** Shares that are drawn and then scaled to sum to 1 must be able to. */
    static void sum(ConfigTable top, String key, List<ConfigTable> of, List<Draw> shares) {
        if (of.stream().anyMatch(each -> !each.sound("share"))) {
            return;
        }
        double low = shares.stream().mapToDouble(Draw::low).sum();
        double high = shares.stream().mapToDouble(Draw::high).sum();
        if (!shares.isEmpty() && (low > 1 + SLACK || high < 1 - SLACK)) {
            String found = Figures.shown(low) + (low == high ? "" : " to " + Figures.shown(high));
            top.problem(key, "shares that sum to " + found, "shares that can sum to 1");
        }
    }
}
