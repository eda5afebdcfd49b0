package cedarrudder.lab.experiment;

import cedarrudder.balancer.BalancerParameters;
import cedarrudder.balancer.BalancerParametersParser;
import cedarrudder.budget.BudgetSettings;
import cedarrudder.lab.policy.TierBudgets;
import cedarrudder.lab.scenario.Scenario;
import cedarrudder.operator.BudgetTable;
import cedarrudder.toml.ConfigDocument;
import cedarrudder.toml.ConfigProblem;
import cedarrudder.toml.ConfigTable;
import cedarrudder.toml.InvalidFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Reads a plan, and with it the scenarios that it names; one run reports all that is wrong with
 * them.
 */
public final class PlanReader {

    /** The policy of variants that name none: our own decisions. */
    public static final String OWN = "cedarrudder";

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,39}");
    private static final String NAMES = "up to 40 small letters, digits, dots and hyphens";
    private static final Pattern SEEDS = Pattern.compile("(\\d{1,9})\\.\\.(\\d{1,9})");
    private static final String SEED_RANGE = "the first and the last seed, such as \"1..20\"";

    /** This avoids a slip of the keyboard that would run for weeks. */
    private static final long MAX_SEEDS = 10_000;

    private static final double ANY = 1e12;
    private static final List<Metric> USUAL =
            List.of(
                    Metric.GOODPUT,
                    Metric.WHOLE,
                    Metric.WORST_WINDOW,
                    Metric.WORST_CLASS,
                    Metric.P99,
                    Metric.ATTEMPTS,
                    Metric.PROBES);

    /** Reads the scenario that a file holds. */
    public interface Scenarios {
        /**
         * @throws InvalidFileException with everything that is wrong with the file
         */
        Scenario read(Path file) throws InvalidFileException;
    }

    private final Collection<String> policies;
    private final Scenarios scenarios;
    private final List<ConfigProblem> elsewhere = new ArrayList<>();
    private final Set<Path> broken = new HashSet<>();

    private PlanReader(Collection<String> policies, Scenarios scenarios) {
        this.policies = policies;
        this.scenarios = scenarios;
    }

    /**
     * Reads a plan. Scenarios are named relative to its folder.
     *
     * @param policies the names of the policies there are
     * @throws InvalidFileException with everything that is wrong with the plan and its scenarios
     */
    public static Plan read(Path file, Collection<String> policies, Scenarios scenarios)
            throws InvalidFileException {
        ConfigDocument document = ConfigDocument.read(file);
        PlanReader reader = new PlanReader(policies, scenarios);
        Plan plan = reader.plan(document.root(), file);
        List<ConfigProblem> problems = new ArrayList<>(document.problems());
        problems.addAll(reader.elsewhere);
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems);
        }
        return plan;
    }

    private Plan plan(ConfigTable root, Path file) {
        String name = name(root, file.getFileName().toString().replaceFirst("\\.toml$", ""));
        String about = root.text("about", null);
        long[] seeds = seeds(root);
        List<Metric> metrics = metrics(root);
        boolean measured = root.flag("measure_decisions", false);
        List<Variant> variants = variants(root);
        String baseline = root.text("baseline", variants.isEmpty() ? "" : variants.get(0).name());
        if (!variants.isEmpty() && variants.stream().noneMatch(v -> v.name().equals(baseline))) {
            root.problem(
                    "baseline",
                    "\"" + baseline + "\"",
                    "a variant: "
                            + variants.stream()
                                    .map(Variant::name)
                                    .collect(Collectors.joining(", ")));
        }
        List<Plan.Entry> entries = entries(root, file, variants);
        root.done();
        return new Plan(
                name, about, entries, variants, baseline, seeds[0], seeds[1], metrics, measured);
    }

    private static String name(ConfigTable table, String otherwise) {
        String name = table.text("name", otherwise);
        if (!NAME.matcher(name).matches()) {
            table.problem("name", "\"" + name + "\"", NAMES);
        }
        return name;
    }

    private static long[] seeds(ConfigTable root) {
        String text = root.text("seeds", null);
        Matcher range = SEEDS.matcher(text);
        if (!range.matches()) {
            if (root.has("seeds") && !text.isEmpty()) {
                root.problem("seeds", "\"" + text + "\"", SEED_RANGE);
            }
            return new long[] {1, 1};
        }
        long first = Long.parseLong(range.group(1));
        long last = Long.parseLong(range.group(2));
        if (last < first || last - first >= MAX_SEEDS) {
            root.problem(
                    "seeds", "\"" + text + "\"", SEED_RANGE + ", " + MAX_SEEDS + " at the most");
        }
        return new long[] {first, last};
    }

    private static List<Metric> metrics(ConfigTable root) {
        List<Metric> metrics = new ArrayList<>();
        for (String text : root.texts("metrics")) {
            Metric metric =
                    Arrays.stream(Metric.values())
                            .filter(m -> m.toString().equals(text))
                            .findAny()
                            .orElse(null);
            if (metric == null || metrics.contains(metric)) {
                root.problem(
                        "metrics",
                        metric == null ? "\"" + text + "\"" : text + " twice",
                        Arrays.stream(Metric.values())
                                .map(Metric::toString)
                                .collect(Collectors.joining(", ")));
            } else {
                metrics.add(metric);
            }
        }
        return metrics.isEmpty() ? USUAL : metrics;
    }

    private List<Variant> variants(ConfigTable root) {
        List<Variant> variants = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigTable table : root.tables("variant")) {
            String policy = table.text("policy", OWN);
            if (!policies.contains(policy)) {
                table.problem("policy", "\"" + policy + "\"", String.join(", ", policies));
            }
            String name = name(table, policy);
            if (!names.add(name)) {
                table.problem(
                        "name", "a second \"" + name + "\"", "a name that no other variant has");
            }
            BalancerParameters tuning = tuning(table, policy);
            ConfigTable changes = table.table("change");
            variants.add(
                    new Variant(
                            name,
                            policy,
                            tuning,
                            budgets(table),
                            changes == null ? List.of() : Change.read(changes)));
            table.done();
        }
        if (variants.isEmpty()) {
            root.problem("variant", "none", "tables written [[variant]]");
        }
        return variants;
    }

    private static BalancerParameters tuning(ConfigTable variant, String policy) {
        ConfigTable set = variant.table("set");
        List<String> assignments = new ArrayList<>();
        if (set != null && !policy.equals(OWN)) {
            variant.problem(
                    "set", "figures for \"" + policy + "\"", "figures for \"" + OWN + "\" alone");
        } else if (set != null) {
            for (String key : set.keys()) {
                double value = set.number(key, -ANY, ANY, Double.NaN);
                String assignment = key + "=" + value;
                if (!Double.isNaN(value) && allowed(set, key, assignment)) {
                    assignments.add(assignment);
                }
            }
        }
        return BalancerParametersParser.parse(assignments);
    }

    /** The budgets of a variant; null where it has none. */
    private static TierBudgets budgets(ConfigTable variant) {
        ConfigTable table = variant.table("budget");
        if (table == null) {
            return null;
        }
        BudgetSettings settings = BudgetTable.BUDGET.read(table);
        if (!settings.hop().isEmpty()) {
            table.problem("hop", "\"" + settings.hop() + "\"", "none: each tier has its own name");
        }
        TierBudgets budgets = new TierBudgets(settings, table.texts("strips"), table.texts("old"));
        table.done();
        return budgets;
    }

    private static boolean allowed(ConfigTable set, String key, String assignment) {
        try {
            BalancerParametersParser.parse(List.of(assignment));
            return true;
        } catch (IllegalArgumentException e) {
            set.problem(key, assignment, e.getMessage());
            return false;
        }
    }

    private List<Plan.Entry> entries(ConfigTable root, Path file, List<Variant> variants) {
        List<Plan.Entry> entries = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigTable table : root.tables("scenario")) {
            String text = table.text("file", null);
            Scenario scenario =
                    text.isEmpty() ? null : scenario(file.resolveSibling(text).normalize());
            String name = name(table, scenario == null ? "unread" : scenario.name());
            if (scenario != null && !names.add(name)) {
                table.problem(
                        "name", "a second \"" + name + "\"", "a name that no other scenario has");
            }
            String family = table.text("family", "");
            ConfigTable change = table.table("change");
            List<Change> changes = change == null ? List.of() : Change.read(change);
            table.done();
            if (scenario != null) {
                scenario = changed(table, scenario, changes);
                for (Variant variant : variants) {
                    Scenario played = changed(table, scenario, variant.changes());
                    if (variant.budgets() != null) {
                        variant.budgets()
                                .wrongFor(played.tiers().stream().map(Scenario.Tier::name).toList())
                                .forEach(
                                        wrong ->
                                                table.problem(
                                                        "file",
                                                        wrong,
                                                        "as the budget of variant \""
                                                                + variant.name()
                                                                + "\" has it"));
                    }
                }
                entries.add(new Plan.Entry((Scenario) Change.with(scenario, "name", name), family));
            }
        }
        if (!root.has("scenario")) {
            root.problem("scenario", "none", "tables written [[scenario]]");
        }
        return entries;
    }

    /** A scenario, or null where it can't be read; its problems are then noted once. */
    private Scenario scenario(Path file) {
        try {
            return scenarios.read(file);
        } catch (InvalidFileException e) {
            if (broken.add(file)) {
                elsewhere.addAll(e.problems());
            }
            return null;
        }
    }

    private static Scenario changed(ConfigTable table, Scenario scenario, List<Change> changes) {
        Scenario changed = Objects.requireNonNull(scenario);
        for (Change change : changes) {
            try {
                changed = change.apply(changed);
            } catch (IllegalArgumentException e) {
                table.problem(
                        "file", "no tier \"" + change.tier() + "\" to change", e.getMessage());
            }
        }
        return changed;
    }
}
