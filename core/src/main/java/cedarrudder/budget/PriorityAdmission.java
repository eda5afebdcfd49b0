package cedarrudder.budget;

/**
 * Who is let in while the tier below says that it is overloaded: the share of requests that are
 * worth most for their work. After DAGOR (Zhou and others, SoCC 2018): a histogram of the worth of
 * what came lately finds the level that lets the wanted share through; the share falls by a factor
 * and rises by steps.
 */
final class PriorityAdmission {

    private static final int BUCKETS = 64;

    /** The histogram is halved when it holds this many: what came lately counts. */
    private static final double REMEMBERED = 256;

    /** The share is set anew this often. */
    private static final long STEP = 250_000_000L;

    /** More than this share of answers that say overload lowers the share ... */
    private static final double TOLERATED = 0.15;

    /**
     * ... of at least this many, over as many steps as it takes. This avoids a proxy with a few
     * calls a second turning the least worthy away because one of its calls met a full endpoint.
     */
    private static final int JUDGED = 20;

    private static final double DOWN = 0.8;
    private static final double UP = 0.05;

    private final double min;
    private final double[] arrived = new double[BUCKETS];
    private double total;
    private double share = 1;
    private long stepEnds = Long.MIN_VALUE;
    private long answers;
    private long overloads;
    private double carry;

    PriorityAdmission(double min) {
        this.min = min;
    }

    /** An attempt was answered; {@code overload}: by word that there was too much work below. */
    void onAnswer(long now, boolean overload) {
        step(now);
        answers++;
        overloads += overload ? 1 : 0;
    }

    /**
     * Whether a request of this worth, from 0 to 1, is let in. To be asked once for each that
     * comes.
     */
    boolean admits(long now, double weight) {
        step(now);
        int bucket = (int) Math.max(0, Math.min(BUCKETS - 1, weight * (BUCKETS - 1)));
        count(bucket);
        if (share >= 1) {
            return true;
        }
        double above = 0;
        for (int i = bucket + 1; i < BUCKETS; i++) {
            above += arrived[i];
        }
        double part = (share * total - above) / arrived[bucket];
        if (part >= 1 || part <= 0) {
            return part >= 1;
        }
        // Of those worth as much as the level itself a part is let in, evenly and without chance.
        carry += part;
        if (carry >= 1) {
            carry--;
            return true;
        }
        return false;
    }

    private void count(int bucket) {
        arrived[bucket]++;
        total++;
        if (total >= REMEMBERED) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                arrived[i] /= 2;
                total += arrived[i];
            }
        }
    }

    private void step(long now) {
        if (now < stepEnds) {
            return;
        }
        long steps = stepEnds == Long.MIN_VALUE ? 0 : 1 + (now - stepEnds) / STEP;
        if (answers >= JUDGED) {
            if (overloads > TOLERATED * answers) {
                share = Math.max(min, share * DOWN);
                steps--;
            }
            answers = 0;
            overloads = 0;
        }
        // This avoids a flood at once when the tier below is back: the share rises by steps.
        share = Math.min(1, share + UP * Math.min(steps, (long) (1 / UP)));
        stepEnds = now + STEP;
    }

    /** The share that is let in now. */
    double share() {
        return share;
    }
}
