package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.LoadReport;

/**
 * A node's reports of its load: taken at the ends of periods, each figure off by an error of
 * chance, and read some time later.
 *
 * <p>What is reported: the mean time that recent requests had the cores for themselves, without
 * waiting (exponentially weighted); requests held; the share of the cores in use (smoothed over a
 * second).
 */
final class Reports {

    /** Weight of the newest request in the service time. */
    private static final double SERVICE_WEIGHT = 0.1;

    /** Time over which the use of the cores is smoothed. */
    private static final double USE_NANOS = 1e9;

    private final Node node;
    private final Run run;
    private final long seed;
    private final long period;
    private final long phase;
    private final double kept;

    /** The latest reports, the newest at {@code refreshes - 1} modulo their number. */
    private final double[] latencies;

    private final double[] inFlights;
    private final double[] uses;
    private long refreshes;
    private long due;

    /** Core time used since the last refresh; the node adds to it. */
    double busy;

    private double service;
    private double use;

    Reports(Node node, Run run) {
        this.node = node;
        this.run = run;
        this.seed =
                run.streams.seedOf(Streams.Concern.REPORTS, (long) node.tier << 32 | node.index);
        this.period = node.drawn.reportPeriod();
        this.phase = (long) (HashRandom.unit(seed) * period);
        this.kept = StrictMath.exp(-period / USE_NANOS);
        int size = (int) Math.min(1000, 2 + node.drawn.reportDelay() / period);
        latencies = new double[size];
        inFlights = new double[size];
        uses = new double[size];
        due = run.agenda.now() + phase;
    }

    /** When the next one is to be taken. */
    long due() {
        return due;
    }

    /** A request has been served; so long it had a core. */
    void took(double nanos) {
        service += SERVICE_WEIGHT * (nanos / 1e6 - service);
    }

    /** Takes a report of what is now; {@code holds}: requests that the node holds. */
    void refresh(int holds) {
        use = kept * use + (1 - kept) * busy / ((double) period * node.kind.cores());
        busy = 0;
        int at = (int) (refreshes % latencies.length);
        int before = (int) ((refreshes + latencies.length - 1) % latencies.length);
        if (node.reportsFrozen() && refreshes > 0) {
            latencies[at] = latencies[before];
            inFlights[at] = inFlights[before];
            uses[at] = uses[before];
        } else {
            latencies[at] = noisy(service, 0);
            inFlights[at] = noisy(holds, 1);
            uses[at] = noisy(use, 2);
        }
        refreshes++;
        due += period;
    }

    private double noisy(double figure, int which) {
        double error = node.drawn.reportNoise() * HashRandom.normal(seed + 3 * refreshes + which);
        return Math.max(0, figure * (1 + error));
    }

    /**
     * The report that a probe finds now: the newest that has been on its way for long enough; or
     * null.
     */
    LoadReport sent(long now) {
        long age = now - (due - period);
        long back =
                age >= node.drawn.reportDelay()
                        ? 0
                        : (node.drawn.reportDelay() - age + period - 1) / period;
        if (refreshes == 0) {
            return null;
        }
        back = Math.min(back, Math.min(refreshes, latencies.length) - 1);
        int at = (int) ((refreshes - 1 - back) % latencies.length);
        return new LoadReport(
                inFlights[at], Double.NaN, uses[at], latencies[at], Double.NaN, Double.NaN);
    }

    /** A new machine knows nothing of its load. */
    void clear() {
        service = 0;
        use = 0;
        busy = 0;
        refreshes = 0;
    }
}
