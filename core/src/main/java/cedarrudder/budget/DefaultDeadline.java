package cedarrudder.budget;

import cedarrudder.balancer.BalancerSettings;
import cedarrudder.balancer.BalancerSettings.RequestClass;

/**
 * How long a call that doesn't say may take: what the least patient tenth of the clients of its
 * class were seen to wait, but no less than the class's aim and no more than its deadline, both
 * times the share of the tiers that are still to come. Until 20 waits were seen it is the most.
 *
 * <p>This avoids work that goes on when nobody waits any more, and against clients who say nonsense
 * moving the others' time out of bounds.
 */
final class DefaultDeadline {

    private static final int KNOWN = 20;
    private static final double IMPATIENT = 0.1;

    private final QuantileEstimator[] waits;
    private final long[] min;
    private final long[] max;

    DefaultDeadline(BalancerSettings site) {
        int classes = site.classes().size();
        waits = new QuantileEstimator[classes];
        min = new long[classes];
        max = new long[classes];
        int tiers = Math.max(1, site.tierCount());
        double ahead = Math.max(1, tiers - site.tier()) / (double) tiers;
        for (int i = 0; i < classes; i++) {
            RequestClass kind = site.classes().get(i);
            waits[i] = new QuantileEstimator();
            min[i] =
                    Math.max(
                            1,
                            (long)
                                    (ahead
                                            * Math.min(
                                                    kind.latencyObjectiveNanos(),
                                                    kind.deadlineNanos())));
            max[i] = Math.max(1, (long) (ahead * kind.deadlineNanos()));
        }
    }

    /** A client said that it waits so long, or was seen to leave after this long. */
    void onWaited(int classIndex, long nanos) {
        waits[classIndex].add(nanos);
    }

    /** The safe wait for a call of this class, in nanoseconds. */
    long of(int classIndex) {
        QuantileEstimator seen = waits[classIndex];
        return seen.count() < KNOWN
                ? max[classIndex]
                : Math.max(min[classIndex], Math.min(max[classIndex], seen.atLeast(IMPATIENT)));
    }
}
