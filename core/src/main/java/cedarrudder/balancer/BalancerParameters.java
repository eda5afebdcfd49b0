package cedarrudder.balancer;

import java.util.Arrays;

/**
 * The parameters that the design leaves open, as one immutable value. {@link #DEFAULTS} serves; a
 * variant changes some. They are read with each request, so they stand in an array.
 */
public final class BalancerParameters {

    /**
     * One parameter: its written name, its default and its range. Most are plain numbers; a unit
     * stands in the name.
     */
    public enum Parameter {
        /**
         * Probes a request while requests are served: a probe costs real work, and changes little.
         */
        PROBES_PER_REQUEST("probes-per-call", 0.1, 0, 16),
        /** Probes a request, at least, where attempts fail: endpoints differ then. */
        PROBES_PER_REQUEST_FAILING("probes-per-call-failing", 0.3, 0, 16),
        /**
         * Share of failed attempts from which on that rate is reached; it rises evenly up to it.
         */
        PROBE_RATE_FAILURE_SHARE("probes-failed-share", 0.1, 0.001, 1),
        /** Probes a request while the pool is sparse: an empty pool means blind picks. */
        PROBES_PER_REQUEST_SPARSE("probes-per-call-thin", 1, 0, 16),
        /** A pool of fewer entries than this is sparse; 0: never. */
        SPARSE_POOL_SIZE("thin-pool", 3, 0, 256),
        /** Entries of the pool, as in the paper; a fraction counts as none. */
        POOL_CAPACITY("pool-size", 16, 1, 256),
        /** An older entry leaves. Its RIF has aged away long before; the latency holds longer. */
        PROBE_MAX_AGE_MS("max-age-ms", 5000, 1, 600_000),
        /** How old a report is when it comes: endpoints refresh it a few times a second. */
        REPORT_AGE_MS("report-age-ms", 200, 0, 60_000),
        /** Weight of the newest reported latency: it is a mean over few requests, and noisy. */
        REPORTED_LATENCY_WEIGHT("report-weight", 0.3, 0.001, 1),
        /** A replica that has sent no probe for this long sends one. */
        IDLE_PROBE_INTERVAL_MS("idle-ms", 1000, 1, 600_000),
        /** An entry is hot when its RIF exceeds this quantile of the pool's. */
        RIF_QUANTILE("rif-quantile", 0.25, 0, 1),
        /** Endpoints that a replica probes, at least. */
        SUBSET_MIN_SIZE("roster-least", 6, 1, 100_000),
        /** Endpoints in the subset for each attempt that is in flight on average. */
        SUBSET_PER_REQUEST("roster-per-call", 0.4, 0, 100),
        /** Replicas that have an endpoint in their subsets, at least: none goes unused. */
        SUBSET_COVERAGE("roster-cover", 2, 0, 100_000),
        /** An endpoint's requests have turned over, mostly, after this many mean latencies. */
        TURNOVER_LATENCIES("turnover-latencies", 2, 0.01, 1000),
        /** Weight of the newest latency in the averages. */
        LATENCY_WEIGHT("latency-weight", 0.05, 0.001, 1),
        /** An endpoint that sent nothing for this many mean latencies is unresponsive. */
        UNRESPONSIVE_LATENCIES("silent-latencies", 6, 1, 1000),
        /** A request is queued for at most this share of its latency objective. */
        QUEUE_TIMEOUT_SHARE("hold-share", 0.1, 0, 1),
        /** Requests that an endpoint may hold to begin with, and always; 0: no limit. */
        INITIAL_ENDPOINT_LIMIT("held-start", 4, 0, 1e6),
        /** How far priority decides who of the queue goes first; 0: who came first does. */
        QUEUE_PRIORITY_EXPONENT("line-by-worth", 1, 0, 1),
        /** How far the advice when to retry is divided by the attempts in flight. */
        RETRY_AFTER_EXPONENT("come-back-turn", 1, 0, 1),
        /** An answer is late when it takes this many times longer than others; 0: no hedging. */
        HEDGE_STRETCH("late-stretch", 3, 0, 1000),
        /** Further attempts that an admitted request adds to the retry budget. */
        RETRY_BUDGET_PER_REQUEST("extra-per-call", 0.1, 0, 16),
        /** Further attempts that may be saved up, to get past a short fault. */
        RETRY_BUDGET_MAX("extra-most", 10, 0, 1e6),
        /** What one slow answer takes off the concurrency limit; 0: there is no limit. */
        LIMIT_DECREASE("limit-less", 1, 0, 1000),
        /** What a quick one adds: the limit rests where one answer in six is slow. */
        LIMIT_INCREASE("limit-more", 0.2, 0, 1000),
        /** A slow answer cuts the limit to at most this many times the recent peak. */
        LIMIT_CUT_FACTOR("limit-cut", 4, 1, 1e6),
        /** An answer is slow past this share of its latency objective. */
        SLOW_OBJECTIVE_SHARE("slow-share", 0.8, 0.01, 100),
        /** Part of the limit that is reserved from the requests of least weight for their work. */
        LIMIT_RESERVED_SHARE("kept-from-least", 0.8, 0, 1),
        /** Part of the slow-start budget that is planned for; the rest is room for chance. */
        SLOW_START_BUDGET_SHARE("cold-share-used", 0.5, 0.01, 1);

        private final String writtenName;
        private final double defaultValue;
        private final double min;
        private final double max;

        Parameter(String writtenName, double defaultValue, double min, double max) {
            this.writtenName = writtenName;
            this.defaultValue = defaultValue;
            this.min = min;
            this.max = max;
        }

        /** The name by which it is set and reported: small letters and hyphens. */
        public String writtenName() {
            return writtenName;
        }

        double defaultValue() {
            return defaultValue;
        }

        double min() {
            return min;
        }

        double max() {
            return max;
        }
    }

    /** What serves where nothing else is said. */
    public static final BalancerParameters DEFAULTS =
            new BalancerParameters(
                    Arrays.stream(Parameter.values())
                            .mapToDouble(Parameter::defaultValue)
                            .toArray());

    private static final double NANOS_PER_MILLI = 1e6;

    private final double[] values;

    private BalancerParameters(double[] values) {
        this.values = values;
    }

    /** A parameter, in its unit. */
    public double get(Parameter parameter) {
        return values[parameter.ordinal()];
    }

    /** A parameter in milliseconds, as nanoseconds. */
    long nanos(Parameter parameter) {
        return (long) (get(parameter) * NANOS_PER_MILLI);
    }

    /**
     * These parameters with one of them set.
     *
     * @throws IllegalArgumentException where the value is out of its range
     */
    public BalancerParameters with(Parameter parameter, double value) {
        if (!(value >= parameter.min() && value <= parameter.max())) {
            throw BalancerParametersParser.notAllowed(parameter, value);
        }
        double[] changed = values.clone();
        changed[parameter.ordinal()] = value;
        return new BalancerParameters(changed);
    }
}
