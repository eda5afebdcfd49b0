package cedarrudder.lab.experiment;

import java.util.Arrays;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.apache.commons.math3.distribution.NormalDistribution;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.correlation.SpearmansCorrelation;
import org.apache.commons.math3.stat.descriptive.rank.Percentile;

/**
 * Intervals by resampling. All draws come from one seed, so equal data have equal intervals.
 *
 * <p>For means: the bias-corrected and accelerated interval, BCa (Efron, Better Bootstrap
 * Confidence Intervals, JASA 82, 1987), with its quantiles expanded for few values as Student's t
 * is (Hesterberg, What Teachers Should Know About the Bootstrap, The American Statistician 69,
 * 2015). For a rank correlation: the percentile interval. docs/EXPERIMENTS.md has the coverage that
 * was measured.
 */
public final class Bootstrap {

    /**
     * A 95 % interval.
     *
     * @param low its lower end; not a number where there are too few values to tell
     * @param high its upper end, likewise
     */
    public record Interval(double low, double high) {

        /** Where nothing can be told. */
        public static final Interval NONE = new Interval(Double.NaN, Double.NaN);

        /** Whether it is there and leaves a value out. */
        public boolean excludes(double value) {
            return low > value || high < value;
        }
    }

    /** With fewer values a resample says nothing. */
    private static final int MIN = 3;

    private static final int RESAMPLES = 10_000;
    private static final long SEED = 19_870_301;
    private static final double TAIL = 0.025;
    private static final NormalDistribution NORMAL = new NormalDistribution(null, 0, 1);

    private Bootstrap() {}

    private static RandomGenerator random() {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
    }

    /** The interval of the mean of independent values. */
    public static Interval mean(double[] values) {
        int n = values.length;
        if (n < MIN) {
            return Interval.NONE;
        }
        RandomGenerator random = random();
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < n; j++) {
                sum += values[random.nextInt(n)];
            }
            means[i] = sum / n;
        }
        Arrays.sort(means);
        double mean = Arrays.stream(values).sum() / n;
        if (means[0] == means[RESAMPLES - 1]) {
            return new Interval(mean, mean);
        }
        double quantile =
                Math.sqrt(n / (n - 1.0))
                        * new TDistribution(null, n - 1).inverseCumulativeProbability(1 - TAIL);
        return bca(means, mean, acceleration(values, mean), quantile);
    }

    /** The skewness of the mean by the jackknife, over 6. */
    private static double acceleration(double[] values, double mean) {
        double squares = 0;
        double cubes = 0;
        for (double value : values) {
            double off = value - mean;
            squares += off * off;
            cubes += off * off * off;
        }
        return cubes / (6 * Math.pow(squares, 1.5));
    }

    private static Interval bca(
            double[] sorted, double estimate, double acceleration, double quantile) {
        double below =
                Arrays.stream(sorted).map(v -> v < estimate ? 1 : v == estimate ? 0.5 : 0).sum();
        double min = 0.5 / sorted.length;
        double bias =
                NORMAL.inverseCumulativeProbability(
                        Math.max(min, Math.min(1 - min, below / sorted.length)));
        Percentile percentile = new Percentile();
        percentile.setData(sorted);
        double[] ends = new double[2];
        for (int i = 0; i < 2; i++) {
            double z = bias + (i == 0 ? -quantile : quantile);
            double share = NORMAL.cumulativeProbability(bias + z / (1 - acceleration * z));
            ends[i] = percentile.evaluate(100 * Math.max(min, Math.min(1 - min, share)));
        }
        return new Interval(ends[0], ends[1]);
    }

    /** Spearman's rank correlation of pairs. */
    public static double spearman(double[] a, double[] b) {
        return a.length < 2 ? Double.NaN : new SpearmansCorrelation().correlation(a, b);
    }

    /**
     * Its interval. Pairs are drawn together; draws in which one side is all equal are left out.
     */
    public static Interval spearmanInterval(double[] a, double[] b) {
        int n = a.length;
        if (n < MIN) {
            return Interval.NONE;
        }
        RandomGenerator random = random();
        double[] found = new double[RESAMPLES];
        int kept = 0;
        double[] drawnA = new double[n];
        double[] drawnB = new double[n];
        for (int i = 0; i < RESAMPLES; i++) {
            for (int j = 0; j < n; j++) {
                int pick = random.nextInt(n);
                drawnA[j] = a[pick];
                drawnB[j] = b[pick];
            }
            double rho = spearman(drawnA, drawnB);
            if (!Double.isNaN(rho)) {
                found[kept++] = rho;
            }
        }
        if (kept == 0) {
            return Interval.NONE;
        }
        Percentile percentile = new Percentile();
        percentile.setData(found, 0, kept);
        return new Interval(percentile.evaluate(100 * TAIL), percentile.evaluate(100 * (1 - TAIL)));
    }
}
