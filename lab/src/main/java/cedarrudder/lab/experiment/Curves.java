package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import java.util.List;
import org.apache.commons.math3.stat.correlation.SpearmansCorrelation;

/** Figures of a run that follow from its course, its tiers or its groups of requests. */
final class Curves {

    private static final int WINDOW = 10;

    /**
     * Goodput is back when that of this many seconds is; a single heavy request pulls one second
     * down.
     */
    private static final int BACK_SECONDS = 5;

    /** Goodput counts as back at this share of what it was before the first fault. */
    private static final double BACK = 0.95;

    /** Groups of fewer first tries say nothing of a share. */
    private static final int MIN_GROUP = 20;

    private Curves() {}

    /** Attempts at the tier that has the most, for each that first tries need there. */
    static double attempts(RunResult run) {
        return attempts(run, 0, run.series().size(), 0);
    }

    /** The same in the worst window of 10 s before the last first try. */
    static double worstAttempts(RunResult run) {
        List<RunResult.Second> series = run.series();
        int end = series.size();
        while (end > 0 && series.get(end - 1).tries() == 0) {
            end--;
        }
        double worst = 0;
        for (int from = 0; from + WINDOW <= end; from++) {
            worst = attempts(run, from, from + WINDOW, worst);
        }
        return worst;
    }

    private static double attempts(RunResult run, int from, int to, double min) {
        double max = min;
        for (int tier = 0; tier < run.tiers().size(); tier++) {
            double sent = 0;
            double tries = 0;
            for (RunResult.Second second : run.series().subList(from, to)) {
                sent += second.byTier().get(tier);
                tries += second.tries();
            }
            max = Math.max(max, sent / Math.max(1, tries * run.tiers().get(tier).visits()));
        }
        return max;
    }

    /**
     * Seconds from the end of the last fault until the first of five seconds in which the share
     * served is back at 95 % of what it was before the first fault; the rest of the run where it
     * never is, 0 without any fault.
     */
    static double recovery(RunResult run) {
        if (run.faults().isEmpty()) {
            return 0;
        }
        double begin = run.faults().stream().mapToDouble(RunResult.Band::from).min().orElse(0);
        double end = run.faults().stream().mapToDouble(RunResult.Band::to).max().orElse(0);
        List<RunResult.Second> series = run.series();
        int last = series.size();
        while (last > 0 && series.get(last - 1).asked() == 0) {
            last--;
        }
        double before = served(series, 0, (int) begin);
        for (int from = (int) Math.ceil(end); from + BACK_SECONDS <= last; from++) {
            if (served(series, from, from + BACK_SECONDS) >= BACK * before) {
                return Math.max(0, from - end);
            }
        }
        return Math.max(0, last - end);
    }

    private static double served(List<RunResult.Second> series, int from, int to) {
        double asked = 0;
        double served = 0;
        for (RunResult.Second second : series.subList(Math.min(from, to), to)) {
            asked += second.asked();
            served += second.served();
        }
        return asked == 0 ? 1 : served / asked;
    }

    /** The share of all work done that went into no answer. */
    static double wasted(RunResult run) {
        double work = 0;
        double wasted = 0;
        for (RunResult.TierResult tier : run.tiers()) {
            work += tier.work();
            wasted += tier.work() * tier.wasted();
        }
        return work == 0 ? 0 : wasted / work;
    }

    /**
     * The rank correlation (Spearman) of the share unserved with the worth for work, over groups,
     * with its sign changed: 1 where who is worth less never does better. 1 too where all do
     * equally well.
     */
    static double shedOrder(RunResult run) {
        List<RunResult.Group> groups =
                run.groups().stream().filter(g -> g.requests() >= MIN_GROUP).toList();
        double[] worth = groups.stream().mapToDouble(RunResult.Group::worthPerWork).toArray();
        double[] unserved =
                groups.stream().mapToDouble(g -> (double) g.unserved() / g.requests()).toArray();
        if (groups.size() < 2) {
            return 1;
        }
        double correlation = new SpearmansCorrelation().correlation(worth, unserved);
        return Double.isNaN(correlation) ? 1 : -correlation;
    }
}
