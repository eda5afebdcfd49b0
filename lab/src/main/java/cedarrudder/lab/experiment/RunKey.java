package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import java.util.Comparator;

/** What tells the runs of an experiment apart; ordered by scenario, variant and seed. */
public record RunKey(String scenario, String variant, long seed) implements Comparable<RunKey> {

    private static final Comparator<RunKey> ORDER =
            Comparator.comparing(RunKey::scenario)
                    .thenComparing(RunKey::variant)
                    .thenComparingLong(RunKey::seed);

    /** The key of a result. */
    public static RunKey of(RunResult result) {
        return new RunKey(result.scenario(), result.variant(), result.seed());
    }

    @Override
    public int compareTo(RunKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return scenario + ", " + variant + ", seed " + seed;
    }
}
