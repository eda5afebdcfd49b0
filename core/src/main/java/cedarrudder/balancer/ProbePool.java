package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Prequal's probe pool and the hot-cold rule over it (Wydrowski, Kleinberg, Rumble and Archer,
 * "Load is not what you should balance: Introducing Prequal", NSDI 2024, sections 3 and 4).
 *
 * <p>The pool holds at most a fixed number of answers to probes, one an endpoint; an answer leaves
 * when it is old, when a newer one needs its place, or when the endpoint may no longer be sent to.
 * A pick takes the entry of lowest latency among the cold ones, whose requests in flight (RIF) stay
 * within a quantile of the pool, and where all are hot the one of lowest RIF.
 */
final class ProbePool {

    /**
     * Added to the RIF of an endpoint that is failing or unresponsive: such a one holds few
     * requests, which must not speak for it.
     */
    private static final double SUSPECT_RIF = 1e9;

    /** One answer to a probe. Entries are reused, since a pick allocates nothing per entry. */
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
         * Estimates RIF and latency for now.
         *
         * <p>RIF is this replica's own attempts, which it knows, and those of others as reported.
         * What was reported of others ages towards the pool's mean as requests turn over: many
         * replicas would else follow the same outdated report at once. A connection that would have
         * to be opened counts as a request, since it costs the endpoint work and one of few places;
         * not so the first one since a start, which would never be made. Crossing zones counts as a
         * request too, so that it is done only to get past a queue.
         *
         * <p>Reported latency leaves waiting out, so the time of one request is counted for each
         * that is in flight and for the one to come.
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

        /** The hot-cold rule: cold entries first, by latency; then hot ones by RIF. */
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
    private final double[] soundRifs;
    private int size;

    ProbePool(BalancerParameters parameters) {
        this.parameters = parameters;
        this.entries = new Entry[(int) parameters.get(Parameter.POOL_CAPACITY)];
        this.soundRifs = new double[entries.length];
        Arrays.setAll(entries, i -> new Entry());
    }

    /** How many entries there are. */
    int size() {
        return size;
    }

    /**
     * Adds an answer in place of the oldest entry where the pool is full.
     *
     * @param reportedRif requests in flight at the endpoint
     * @param reportedLatency the endpoint's latency; only comparisons count, so any unit
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

    /** Removes the entry of an endpoint, if it has one. */
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
     * @param turnoverNanos how long a request stays at an endpoint, about
     * @param eligible whether an endpoint may take the request
     * @param suspect whether an endpoint counts as hot whatever its RIF
     * @return null where no entry is eligible
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

    /** Estimates all entries for now; returns the RIF above which an entry is hot. */
    private double estimateAll(long now, double turnoverNanos, Predicate<EndpointState> suspect) {
        double meanOfOthers = 0;
        for (int i = 0; i < size; i++) {
            meanOfOthers += Math.max(0, entries[i].reportedRifOfOthers()) / size;
        }
        int sound = 0;
        for (int i = 0; i < size; i++) {
            Entry entry = entries[i];
            entry.estimate(now, meanOfOthers, turnoverNanos);
            if (suspect.test(entry.endpoint)) {
                entry.rif += SUSPECT_RIF;
            } else {
                soundRifs[sound++] = entry.rif;
            }
        }
        if (sound == 0) {
            return -1;
        }
        Arrays.sort(soundRifs, 0, sound);
        return soundRifs[(int) (parameters.get(Parameter.RIF_QUANTILE) * (sound - 1))];
    }
}
