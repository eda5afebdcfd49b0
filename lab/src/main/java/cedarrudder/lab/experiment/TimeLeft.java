package cedarrudder.lab.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Estimates how long an experiment still takes, from the mean time of the finished runs of each
 * scenario: large ones take a hundred times longer than small ones. A scenario of which none is
 * finished is taken to be as long as the mean of the others.
 */
final class TimeLeft {

    private static final int MINUTE = 60;

    /** Runs of one scenario: those open, those finished now, and the seconds that these took. */
    private static final class Tally {
        private int open;
        private int finished;
        private double seconds;

        double mean(double otherwise) {
            return finished == 0 ? otherwise : seconds / finished;
        }
    }

    private final Map<String, Tally> tallies = new HashMap<>();
    private final Tally whole = new Tally();
    private final int threads;

    TimeLeft(List<Job> open, int threads) {
        this.threads = threads;
        open.forEach(job -> tallies.computeIfAbsent(job.key().scenario(), s -> new Tally()).open++);
        whole.open = open.size();
    }

    /** A run is finished that kept a thread for this long. */
    void finished(Job job, double seconds) {
        for (Tally tally : List.of(whole, tallies.get(job.key().scenario()))) {
            tally.open--;
            tally.finished++;
            tally.seconds += seconds;
        }
    }

    /** Seconds until all is done; not a number before the first run is finished. */
    double seconds() {
        if (whole.finished == 0) {
            return Double.NaN;
        }
        double mean = whole.mean(0);
        double work = tallies.values().stream().mapToDouble(t -> t.open * t.mean(mean)).sum();
        return work / Math.min(threads, Math.max(1, whole.open));
    }

    /** The line of progress: {@code 37/120 runs, 2.1 a second, 0:39 left}. */
    String line(long done, long all, int failed) {
        String rate =
                whole.finished == 0
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                ", %.2g a second",
                                threads * whole.finished / Math.max(1e-9, whole.seconds));
        double left = seconds();
        String time =
                Double.isNaN(left)
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                ", %d:%02d left",
                                (long) left / MINUTE,
                                (long) left % MINUTE);
        return done
                + "/"
                + all
                + " runs"
                + rate
                + time
                + (failed > 0 ? ", " + failed + " failed" : "");
    }
}
