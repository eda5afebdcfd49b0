package cedarrudder.lab.failover;

import java.util.ArrayList;
import java.util.List;

/** What became of calls, second by second. */
final class Score {

    private final Site site;
    private final List<double[]> seconds = new ArrayList<>();

    private static final int CAME = 0;
    private static final int SERVED = 1;
    private static final int SENT = 2;
    private static final int OUT = 3;

    Score(Site site) {
        this.site = site;
    }

    private double[] of(long at) {
        int second = (int) (at / Site.SECOND);
        while (seconds.size() <= second) {
            seconds.add(new double[4]);
        }
        return seconds.get(second);
    }

    /** A call came. */
    void came(SimulatedRequest call) {
        of(call.came)[CAME] += call.worth();
    }

    /** It was served in time. */
    void served(SimulatedRequest call) {
        of(call.came)[SERVED] += call.worth();
    }

    /** An attempt went to a zone. */
    void sent(int from, int to) {
        of(site.now())[SENT]++;
        of(site.now())[OUT] += from == to ? 0 : 1;
    }

    private double sum(int what, long from, long to) {
        double sum = 0;
        for (int i = (int) (from / Site.SECOND);
                i < Math.min(seconds.size(), to / Site.SECOND);
                i++) {
            sum += seconds.get(i)[what];
        }
        return sum;
    }

    /** The worth that was served of that which came, between two instants. */
    double goodput(long from, long to) {
        return sum(SERVED, from, to) / sum(CAME, from, to);
    }

    /** The share of attempts that left their zone. */
    double out(long from, long to) {
        return sum(OUT, from, to) / sum(SENT, from, to);
    }
}
