package cedarrudder.admission;

import java.util.Arrays;

/**
 * What it is worth to serve a request of each class next, for each unit of work, by the goal of the
 * site.
 *
 * <p>The goal counts the worth served as a share of that asked for, over all classes and once more
 * for the class that is served worst. So a unit of worth of class c adds {@code whole / asked} to
 * it, and {@code worstClass / asked(c)} too while c is served worst. That derivative is the worth
 * here. Which class is worst is not sharp: it would flip with each answer, so the second term is
 * shared out by how near each class is to the worst. A class that falls behind rises by itself, and
 * none is starved for good.
 *
 * <p>What is asked and served is counted over the recent past, and only what is within a tenant's
 * share.
 */
public final class ClassPriority {

    /**
     * Classes whose shares served differ by no more than this are about equally near the worst.
     * Shares run from 0 to 1 whatever the classes are, so it holds for all sites.
     */
    private static final double NEAR = 0.05;

    /**
     * The time over which is counted, in nanoseconds: the goal's shortest span, the worst 10 s,
     * anywhere.
     */
    private static final double WINDOW = 10e9;

    private final double[] perWork;
    private final double[] asked;
    private final double[] served;
    private final double whole;
    private final double worstClass;
    private final double overShare;
    private long at;

    /**
     * @param classes how many classes there are
     * @param whole the weight of all that is served, from 0 to 1
     * @param worstClass the weight of the class that is served worst, from 0 to 1
     * @param overShare what a request past its tenant's share counts, as a share of its worth
     */
    public ClassPriority(int classes, double whole, double worstClass, double overShare) {
        this.perWork = new double[classes];
        this.asked = new double[classes];
        this.served = new double[classes];
        this.whole = whole;
        this.worstClass = worstClass;
        this.overShare = overShare;
        Arrays.fill(perWork, 1);
    }

    /** Sets what a request of a class is worth for each unit of work; only the ratios count. */
    public void perWork(int index, double worth) {
        perWork[index] = worth;
    }

    /** Counts a request that has come in, within its tenant's share. */
    public void asked(long now, int index, double worth) {
        forget(now);
        asked[index] += worth;
    }

    /** Counts one that was served within its aim. */
    public void served(long now, int index, double worth) {
        forget(now);
        served[index] += worth;
    }

    private void forget(long now) {
        double kept = Math.min(1, Math.exp(-(now - at) / WINDOW));
        at = now;
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= kept;
            served[i] *= kept;
        }
    }

    /** The worth of serving a request of this class next, for each unit of work, in no unit. */
    public double next(int index, boolean pastShare) {
        double worth = perWork[index] * (pastShare ? Math.max(0.01, overShare) : 1);
        double all = 0;
        double nearness = 0;
        for (int i = 0; i < asked.length; i++) {
            all += asked[i];
            nearness += nearness(i);
        }
        return asked[index] > 0
                ? worth * (whole + worstClass * nearness(index) / nearness * all / asked[index])
                : worth;
    }

    private double nearness(int index) {
        return asked[index] > 0 ? Math.exp(-served[index] / asked[index] / NEAR) : 0;
    }
}
