package cedarrudder.lab.model;

import cedarrudder.lab.scenario.Scenario;
import java.util.Arrays;

/**
 * What a cold node can bear: work that reaches it within any window, also work that it declines,
 * must stay under a multiple of what it can do at that moment, times the window. Past that it falls
 * over.
 */
final class ColdBudget {

    /** A window is counted in this many parts; it is this much longer at most than it should be. */
    private static final int PARTS = 30;

    private final double multiple;
    private final long window;
    private final double[] work = new double[PARTS];
    private final double[] largest = new double[PARTS];
    private long part;

    ColdBudget(Scenario.Rules rules, long now) {
        this.multiple = rules.fallMultiple();
        this.window = Math.max(PARTS, rules.fallWindow());
        clear(now);
    }

    void clear(long now) {
        Arrays.fill(work, 0);
        Arrays.fill(largest, 0);
        part = now / (window / PARTS);
    }

    /** Work has come; nanoseconds on a core of speed 1. */
    void came(long now, double nanos) {
        long next = now / (window / PARTS);
        for (long i = Math.max(part + 1, next - PARTS + 1); i <= next; i++) {
            work[(int) (i % PARTS)] = 0;
            largest[(int) (i % PARTS)] = 0;
        }
        part = next;
        int slot = (int) (next % PARTS);
        work[slot] += nanos;
        largest[slot] = Math.max(largest[slot], nanos);
    }

    /**
     * Whether more has come than it bears. The largest request of the window doesn't count: guards
     * against one heavy request alone, which nobody could foresee, pushing it over.
     *
     * @param capacity what it can do now, in cores of speed 1
     */
    boolean spent(double capacity) {
        double sum = 0;
        double max = 0;
        for (int i = 0; i < PARTS; i++) {
            sum += work[i];
            max = Math.max(max, largest[i]);
        }
        return sum - max > multiple * capacity * window;
    }
}
