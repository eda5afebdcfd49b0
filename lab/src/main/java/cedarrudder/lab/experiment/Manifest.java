package cedarrudder.lab.experiment;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * What a directory of results belongs to. Results of one directory were all made by one plan and
 * one code.
 *
 * @param name of the plan
 * @param about the plan's question
 * @param planHash of the plan's scenarios, variants and seeds as they were read: neither comments
 *     count nor what only changes the report
 * @param codeHash of the classes that make a run
 * @param baseline the variant that others are compared to
 * @param scenarios in the plan's order
 * @param variants in the plan's order
 * @param firstSeed the first seed
 * @param lastSeed and the last, inclusive
 * @param metrics what is compared
 * @param judged whether a referee watched the runs
 */
public record Manifest(
        String name,
        String about,
        String planHash,
        String codeHash,
        String baseline,
        List<Stage> scenarios,
        List<Contestant> variants,
        long firstSeed,
        long lastSeed,
        List<Metric> metrics,
        boolean judged) {

    /** A scenario: its name, what it is for, and its family; empty where it has none. */
    public record Stage(String name, String about, String family) {}

    /** A variant: its name, its policy and what it sets. */
    public record Contestant(String name, String policy, String sets) {}

    /** The manifest of a plan. */
    public static Manifest of(Plan plan, String codeHash) {
        List<Contestant> variants =
                plan.variants().stream()
                        .map(v -> new Contestant(v.name(), v.policy(), v.differences()))
                        .toList();
        String makesRuns =
                plan.entries().stream().map(Plan.Entry::scenario).toList()
                        + "\n"
                        + variants
                        + "\n"
                        + plan.firstSeed()
                        + " "
                        + plan.lastSeed()
                        + " "
                        + plan.measured();
        return new Manifest(
                plan.name(),
                plan.about(),
                hash(makesRuns),
                codeHash,
                plan.baseline(),
                plan.entries().stream()
                        .map(e -> new Stage(e.scenario().name(), e.scenario().about(), e.family()))
                        .toList(),
                variants,
                plan.firstSeed(),
                plan.lastSeed(),
                plan.metrics(),
                !plan.measured());
    }

    /** How many runs the plan has. */
    @JsonIgnore
    public long runs() {
        return scenarios.size() * variants.size() * (lastSeed - firstSeed + 1);
    }

    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    private static String hash(String text) {
        return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
    }
}
