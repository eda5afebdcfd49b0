package cedarrudder.lab.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import cedarrudder.lab.result.RunResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;

/** Intervals and summaries on data whose truth is known. */
public class BootstrapTest {

    private static final long SEED = 7;

    /** The share of samples of this many values whose interval holds the true mean, 0. */
    private static double coverage(int values, ToDoubleFunction<RandomGenerator> draw) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
        int samples = 400;
        int held = 0;
        for (int i = 0; i < samples; i++) {
            double[] sample = new double[values];
            for (int j = 0; j < values; j++) {
                sample[j] = draw.applyAsDouble(random);
            }
            held += Bootstrap.mean(sample).excludes(0) ? 0 : 1;
        }
        return held / (double) samples;
    }

    @Test
    public void intervalsHoldTheTruthAsOftenAsTheySay() {
        double normal = coverage(20, RandomGenerator::nextGaussian);
        assertTrue(normal > 0.91 && normal < 0.98, "normal: " + normal + ", seed " + SEED);
        double skewed = coverage(40, random -> random.nextExponential() - 1);
        assertTrue(skewed > 0.90 && skewed < 0.98, "skewed: " + skewed + ", seed " + SEED);
    }

    @Test
    public void fewOrEqualValuesGiveNoFalsePrecision() {
        assertTrue(Double.isNaN(Bootstrap.mean(new double[] {1, 2}).low()));
        assertFalse(Bootstrap.mean(new double[] {1, 2}).excludes(0));
        assertEquals(Bootstrap.mean(new double[] {2, 2, 2, 2}), new Bootstrap.Interval(2, 2));
    }

    @Test
    public void ranksCorrelateWhateverTheScale() {
        double[] a = {1, 2, 3, 4, 5, 6, 7, 8};
        double[] cubes = {1, 8, 27, 64, 125, 216, 343, 512};
        double[] swapped = {2, 1, 4, 3, 6, 5, 8, 7};
        assertEquals(Bootstrap.spearman(a, cubes), 1, 1e-12);
        assertEquals(Bootstrap.spearmanInterval(a, cubes).low(), 1, 1e-12);
        // 1 - 6 * 8 / (8 * 63)
        assertEquals(Bootstrap.spearman(a, swapped), 1 - 48 / 504.0, 1e-12);
        Bootstrap.Interval interval = Bootstrap.spearmanInterval(a, swapped);
        assertTrue(interval.low() > 0.4 && interval.low() < 0.9, interval.toString());
        assertTrue(interval.high() > 0.9, interval.toString());
    }

    @Test
    public void differencesArePairedBySeed() {
        List<RunResult> base = new ArrayList<>();
        List<RunResult> better = new ArrayList<>();
        for (Job job : Fakes.plan(10).jobs()) {
            if (job.scenario().name().equals("calm-10")) {
                RunResult run = Fakes.run(job).result();
                if (job.variant().name().equals("cedarrudder")) {
                    base.add(run);
                    // A gain of 0.001 on each seed, far under the noise from seed to seed.
                    better.add(
                            0,
                            new RunResult(
                                    run.scenario(),
                                    "better",
                                    run.seed(),
                                    run.requests(),
                                    run.goodput() + (run.seed() == 4 ? 0.0005 : 0.001),
                                    0,
                                    0,
                                    0,
                                    0,
                                    run.charges(),
                                    run.latency(),
                                    0,
                                    0,
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    List.of(),
                                    ""));
                }
            }
        }
        better.remove(0);
        Summary gain = Summary.difference(Metric.GOODPUT, better, base);
        assertEquals(gain.seeds(), 9);
        assertEquals(gain.mean(), (8 * 0.001 + 0.0005) / 9, 1e-12);
        assertEquals(gain.median(), 0.001, 1e-12);
        assertEquals(gain.worstSeed(), 4);
        assertEquals(gain.verdict(Metric.GOODPUT), 1);
        assertEquals(Summary.of(Metric.GOODPUT, base).verdict(Metric.P99), -1);
        assertEquals(Summary.difference(Metric.GOODPUT, List.of(), base).seeds(), 0);
    }
}
