package cedarrudder.lab.scenario;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;

/** The formula behind {@code recorded.csv}, and that the file is what it gives. */
public class RecordedTraceTest {

    private static final long SEED = 20;
    private static final double LENGTH = 40;
    private static final double MAX_PER_SECOND = 300;
    private static final String[] CLASSES = {"status", "single", "batch"};
    private static final double[] CLASS_SHARES = {0.5, 0.28, 0.22};
    private static final double[] WORK_MS = {26, 87, 155};
    private static final String[] TENANTS = {
        "clinics", "market", "health", "shops", "dental", "pharmacy"
    };
    private static final double[] TENANT_SHARES = {0.24, 0.22, 0.22, 0.2, 0.07, 0.05};

    /** First tries a second: waves of 18 s about 90, and three times as many for 1.5 s. */
    private static double rate(double at) {
        double wave = 90 * (1 + 0.5 * StrictMath.sin(2 * Math.PI * at / 18));
        return at >= 26 && at < 27.5 ? 3 * wave : wave;
    }

    /**
     * Thinning of a Poisson process (Lewis and Shedler, 1979); work is exponential, each tenth left
     * out.
     */
    private static String trace() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);
        StringBuilder text = new StringBuilder("time_ms,class,tenant,work_ms\n");
        int lines = 0;
        for (double at = 0; ; ) {
            at -= StrictMath.log(1 - random.nextDouble()) / MAX_PER_SECOND;
            if (at >= LENGTH) {
                return text.toString();
            }
            if (random.nextDouble() * MAX_PER_SECOND < rate(at)) {
                int kind = pick(random, CLASS_SHARES);
                int tenant = pick(random, TENANT_SHARES);
                double work = -WORK_MS[kind] * StrictMath.log(1 - random.nextDouble());
                text.append(
                        String.format(
                                Locale.ROOT,
                                "%.1f,%s,%s,%s\n",
                                at * 1000,
                                CLASSES[kind],
                                TENANTS[tenant],
                                ++lines % 10 == 0 ? "" : String.format(Locale.ROOT, "%.2f", work)));
            }
        }
    }

    private static int pick(RandomGenerator random, double[] shares) {
        double left = random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    @Test
    public void theRecordingIsWhatItsFormulaGives() throws Exception {
        assertEquals(Files.readString(Path.of("lab", "scenarios", "recorded.csv")), trace());
    }
}
