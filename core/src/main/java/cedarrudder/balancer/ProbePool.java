package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Prequal's probe pool and its hot-cold rule (Wydrowski, Kleinberg, Rumble and Archer, "Load is not
 * what you should balance: Introducing Prequal", NSDI 2024, sections 3 and 4).
 *
 * <p>The pool contains at most a fixed number of probe responses, one per endpoint. A response is
 * removed when it is old, when the pool is full and a newer one is added, or when nothing more may
 * be sent to its endpoint. A pick selects the entry with the lowest latency among the cold ones,
 * whose requests in flight (RIF) are within a quantile of the pool, or, if all are hot, the one
 * with the lowest RIF.
 */
final class ProbePool {

    /**
     * Added to the RIF of an endpoint that is failing or unresponsive: such an endpoint has few
     * requests in flight, which must not count in its favour.
     */
    private static final double SUSPECT_RIF = 1e9;

    /** A probe response. Entries are reused, so that a pick allocates nothing per entry. */
    private final class Entry {
        private EndpointState endpoint;
        private double reportedRif;
        private double reportedLatency;
        private long receivedAt;
        private int ownInFlightAtProbe;
        private double rif;
        private double latency;

        private double reportedRifOfOthers() {
            return reportedRif - ownInFlightAtProbe;
        }

        /**
         * Estimates the current RIF and latency.
         *
         * <p>The RIF consists of this replica's own attempts, which are known, and those of other
         * replicas as reported. The reported part converges to the pool's mean as requests turn
         * over; otherwise many replicas would follow the same outdated report at the same time. If
         * an attempt would have to open a connection, that counts as one request, since the
         * connection costs the endpoint work and one of few slots. The first connection since a
         * start does not count, since otherwise it would never be opened. Crossing zones counts as
         * one request too, so that it happens only to avoid a queue.
         *
         * <p>Reported latency excludes waiting, so the time of one request is counted for each
         * request in flight and for the one to be sent.
         */
        private void estimate(long now, double meanOfOthers, double turnoverNanos) {
            double age = now - receivedAt + parameters.nanos(Parameter.REPORT_AGE_MS);
            double retained = Math.exp(-age / turnoverNanos);
            boolean newConnection = endpoint.needsNewConnection() && !endpoint.isUnused();
            double ofOthers = meanOfOthers + (reportedRifOfOthers() - meanOfOthers) * retained;
            rif =
                    endpoint.inFlight()
                            + (newConnection ? 1 : 0)
                            + (endpoint.isInOtherZone() ? 1 : 0)
                            + Math.max(0, ofOthers);
            latency = endpoint.isUnused() ? 0 : reportedLatency * (1 + rif);
        }

        /**
         * Returns whether this entry precedes another one by the hot-cold rule: cold entries first,
         * by latency; then hot ones, by RIF.
         */
        private boolean isBetterThan(Entry other, double hotThreshold) {
            boolean cold = rif <= hotThreshold;
            boolean otherCold = other.rif <= hotThreshold;
            if (cold && otherCold) {
                return latency < other.latency;
            }
            return cold || !otherCold && rif < other.rif;
        }
    }

    private final BalancerParameters parameters;
    private final Entry[] entries;
    private final double[] healthyRifs;
    private int size;

    ProbePool(BalancerParameters parameters) {
        this.parameters = parameters;
        this.entries = new Entry[(int) parameters.get(Parameter.POOL_CAPACITY)];
        this.healthyRifs = new double[entries.length];
        Arrays.setAll(entries, i -> new Entry());
    }

    int size() {
        return size;
    }

    /**
     * Adds a probe response, which replaces the oldest entry if the pool is full.
     *
     * @param reportedRif the requests in flight at the endpoint
     * @param reportedLatency the endpoint's latency, in any unit, since latencies are only compared
     */
    void add(long now, EndpointState endpoint, double reportedRif, double reportedLatency) {
        removeExpired(now);
        int index = size < entries.length ? size++ : oldest();
        Entry entry = entries[index];
        entry.endpoint = endpoint;
        entry.reportedRif = reportedRif;
        entry.reportedLatency = reportedLatency;
        entry.receivedAt = now;
        entry.ownInFlightAtProbe = endpoint.probe().ownInFlightAtSend();
    }

    private int oldest() {
        int oldest = 0;
        for (int i = 1; i < size; i++) {
            if (entries[i].receivedAt < entries[oldest].receivedAt) {
                oldest = i;
            }
        }
        return oldest;
    }

    void removeExpired(long now) {
        removeIf(entry -> now - entry.receivedAt > parameters.nanos(Parameter.PROBE_MAX_AGE_MS));
    }

    /** Removes the entry of an endpoint, if there is one. */
    void remove(EndpointState endpoint) {
        removeIf(entry -> entry.endpoint == endpoint);
    }

    private void removeIf(Predicate<Entry> matches) {
        for (int i = size - 1; i >= 0; i--) {
            Entry entry = entries[i];
            if (matches.test(entry)) {
                entries[i] = entries[--size];
                entries[size] = entry;
                entry.endpoint = null;
            }
        }
    }

    /**
     * Picks an endpoint by the hot-cold rule.
     *
     * @param turnoverNanos the approximate time that a request spends at an endpoint
     * @param eligible the endpoints that may receive the request
     * @param suspect the endpoints that count as hot whatever their RIF
     * @return null if no entry is eligible
     */
    EndpointState pick(
            long now,
            double turnoverNanos,
            Predicate<EndpointState> eligible,
            Predicate<EndpointState> suspect) {
        removeExpired(now);
        double hotThreshold = estimateAll(now, turnoverNanos, suspect);
        Entry best = null;
        for (int i = 0; i < size; i++) {
            Entry entry = entries[i];
            if (eligible.test(entry.endpoint)
                    && (best == null || entry.isBetterThan(best, hotThreshold))) {
                best = entry;
            }
        }
        return best == null ? null : best.endpoint;
    }

    /** Updates the estimates of all entries and returns the RIF above which an entry is hot. */
    private double estimateAll(long now, double turnoverNanos, Predicate<EndpointState> suspect) {
        double meanOfOthers = 0;
        for (int i = 0; i < size; i++) {
            meanOfOthers += Math.max(0, entries[i].reportedRifOfOthers()) / size;
        }
        int healthyCount = 0;
        for (int i = 0; i < size; i++) {
            Entry entry = entries[i];
            entry.estimate(now, meanOfOthers, turnoverNanos);
            if (suspect.test(entry.endpoint)) {
                entry.rif += SUSPECT_RIF;
            } else {
                healthyRifs[healthyCount++] = entry.rif;
            }
        }
        if (healthyCount == 0) {
            return -1;
        }
        Arrays.sort(healthyRifs, 0, healthyCount);
        return healthyRifs[(int) (parameters.get(Parameter.RIF_QUANTILE) * (healthyCount - 1))];
    }
}
