package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.StatUtils;

/**
 * A figure over several seeds.
 *
 * @param seeds how many
 * @param mean over them; not a number where there are none, as with the next four
 * @param interval of the mean
 * @param median the middle value
 * @param worst the worst value: the least, or the most where less is better
 * @param worstSeed the seed that had it
 */
public record Summary(
        int seeds,
        double mean,
        Bootstrap.Interval interval,
        double median,
        double worst,
        long worstSeed) {

    /** A metric over the runs of one variant on one scenario. */
    public static Summary of(Metric metric, List<RunResult> runs) {
        return of(
                metric,
                runs.stream().mapToLong(RunResult::seed).toArray(),
                runs.stream().mapToDouble(metric::of).toArray());
    }

    /**
     * The variant's metric less the baseline's, paired by seed; seeds that only one has are left
     * out.
     */
    public static Summary difference(
            Metric metric, List<RunResult> variant, List<RunResult> baseline) {
        Map<Long, RunResult> base =
                baseline.stream().collect(Collectors.toMap(RunResult::seed, Function.identity()));
        List<RunResult> paired = new ArrayList<>(variant);
        paired.removeIf(run -> !base.containsKey(run.seed()));
        return of(
                metric,
                paired.stream().mapToLong(RunResult::seed).toArray(),
                paired.stream()
                        .mapToDouble(run -> metric.of(run) - metric.of(base.get(run.seed())))
                        .toArray());
    }

    private static Summary of(Metric metric, long[] seeds, double[] values) {
        if (values.length == 0) {
            return new Summary(0, Double.NaN, Bootstrap.Interval.NONE, Double.NaN, Double.NaN, 0);
        }
        int worst = 0;
        for (int i = 1; i < values.length; i++) {
            if (metric.more() ? values[i] < values[worst] : values[i] > values[worst]) {
                worst = i;
            }
        }
        return new Summary(
                values.length,
                Arrays.stream(values).sum() / values.length,
                Bootstrap.mean(values),
                StatUtils.percentile(values, 50),
                values[worst],
                seeds[worst]);
    }

    /**
     * Of a difference: 1 if the variant is surely better, -1 if it is surely worse, 0 if that is
     * open.
     */
    public int verdict(Metric metric) {
        return !interval.excludes(0) ? 0 : mean > 0 == metric.more() ? 1 : -1;
    }
}
