package cedarrudder.lab.policy;

import cedarrudder.budget.BudgetSettings;
import cedarrudder.budget.HopPath;
import java.util.ArrayList;
import java.util.List;

/**
 * The budgets of a run, at all of its tiers, and where the mix of old and new has none.
 *
 * @param settings as the operator's file has them; in paths each tier has its own name, whatever
 *     they say
 * @param strips tiers whose nodes pass on none of the fields, neither down nor up
 * @param old tiers whose proxies know nothing of budgets, and pass the fields on as they are
 */
public record TierBudgets(BudgetSettings settings, List<String> strips, List<String> old) {

    /** Replicas what it is given. */
    public TierBudgets {
        strips = List.copyOf(strips);
        old = List.copyOf(old);
    }

    /** The same settings at every tier. */
    public static TierBudgets everywhere(BudgetSettings settings) {
        return new TierBudgets(settings, List.of(), List.of());
    }

    /** The settings of the proxies to a tier; null where they have no budgets. */
    public BudgetSettings of(String tier) {
        return old.contains(tier)
                ? null
                : new BudgetSettings(
                        HopPath.hopOf(tier),
                        settings.tries(),
                        settings.triesWithoutFields(),
                        settings.keep(),
                        settings.share(),
                        settings.minPerSecond(),
                        settings.window(),
                        settings.maxHops(),
                        settings.minAdmitted());
    }

    /**
     * What is wrong with them for a platform of these tiers, a line each; empty where nothing is.
     */
    public List<String> wrongFor(List<String> tiers) {
        List<String> wrong = new ArrayList<>();
        List<String> named = new ArrayList<>(strips);
        named.addAll(old);
        for (String tier : named) {
            if (!tiers.contains(tier)) {
                wrong.add("no tier \"" + tier + "\" among " + String.join(", ", tiers));
            }
        }
        if (settings.maxHops() < tiers.size()) {
            wrong.add(
                    "path_most = "
                            + settings.maxHops()
                            + " with "
                            + tiers.size()
                            + " tiers: each call of the last would be taken for a loop");
        }
        return wrong;
    }

    /** What differs from the usual settings: {@code budget tries=2 strips=credit}. */
    @Override
    public String toString() {
        BudgetSettings usual = BudgetSettings.of(settings.hop());
        StringBuilder text = new StringBuilder("budget");
        add(text, "tries", settings.tries(), usual.tries());
        add(
                text,
                "tries_without_fields",
                settings.triesWithoutFields(),
                usual.triesWithoutFields());
        add(text, "keep_tries", settings.keep(), usual.keep());
        add(text, "retry_share", settings.share(), usual.share());
        add(text, "retry_least_per_s", settings.minPerSecond(), usual.minPerSecond());
        add(text, "window_ms", settings.window() / 1_000_000, usual.window() / 1_000_000);
        add(text, "path_most", settings.maxHops(), usual.maxHops());
        add(text, "let_in_least", settings.minAdmitted(), usual.minAdmitted());
        add(text, "strips", String.join(",", strips), "");
        add(text, "old", String.join(",", old), "");
        return text.toString();
    }

    private static void add(StringBuilder text, String key, Object value, Object usual) {
        if (!value.equals(usual)) {
            text.append(' ').append(key).append('=').append(value);
        }
    }
}
