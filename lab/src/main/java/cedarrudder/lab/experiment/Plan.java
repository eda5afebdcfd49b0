package cedarrudder.lab.experiment;

import cedarrudder.lab.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/**
 * What an experiment compares: every variant on every scenario with every seed.
 *
 * @param name a short name, for reports
 * @param about the question, a sentence
 * @param entries the scenarios; their names differ
 * @param variants at least one; their names differ
 * @param baseline the variant that the others are compared to
 * @param firstSeed the first seed
 * @param lastSeed and the last, inclusive
 * @param metrics what is compared, the most important first
 * @param measured whether the time inside decisions is measured; runs then have no referee, whose
 *     time would count as theirs
 */
public record Plan(
        String name,
        String about,
        List<Entry> entries,
        List<Variant> variants,
        String baseline,
        long firstSeed,
        long lastSeed,
        List<Metric> metrics,
        boolean measured) {

    /**
     * A scenario of the plan.
     *
     * @param scenario with the changes of its entry made, and the entry's name
     * @param family scenarios of one family differ in size: their results make growth curves; may
     *     be empty
     */
    public record Entry(Scenario scenario, String family) {}

    /**
     * All runs. Seeds come outermost, so that an experiment cut short holds whole pairs, and all
     * scenarios are met early, from which the time left is estimated.
     */
    public List<Job> jobs() {
        List<Job> jobs = new ArrayList<>();
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            for (Entry entry : entries) {
                for (Variant variant : variants) {
                    Scenario scenario = entry.scenario();
                    for (Change change : variant.changes()) {
                        scenario = change.apply(scenario);
                    }
                    jobs.add(new Job(scenario, variant, seed));
                }
            }
        }
        return jobs;
    }
}
