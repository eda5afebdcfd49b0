package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The results of an experiment, finished or not.
 *
 * @param manifest what they belong to
 * @param runs by scenario, variant and seed
 * @param costs what the runs cost, by the same
 */
public record Results(
        Manifest manifest,
        SortedMap<RunKey, RunResult> runs,
        SortedMap<RunKey, RunResult.Cost> costs) {

    /** The runs of a variant on a scenario, by seed. */
    public List<RunResult> of(String scenario, String variant) {
        return new ArrayList<>(range(runs, scenario, variant).values());
    }

    /** What these cost. */
    public SortedMap<RunKey, RunResult.Cost> costsOf(String scenario, String variant) {
        return range(costs, scenario, variant);
    }

    private static <T> SortedMap<RunKey, T> range(
            SortedMap<RunKey, T> of, String scenario, String variant) {
        RunKey first = new RunKey(scenario, variant, Long.MIN_VALUE);
        RunKey last = new RunKey(scenario, variant, Long.MAX_VALUE);
        return Collections.unmodifiableSortedMap(new TreeMap<>(of.subMap(first, last)));
    }
}
