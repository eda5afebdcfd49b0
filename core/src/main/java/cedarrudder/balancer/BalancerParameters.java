package cedarrudder.balancer;

import java.util.Arrays;

/**
 * The tuning parameters of the balancer, as one immutable value. {@link #DEFAULTS} is used unless a
 * variant changes some of them. Parameters are read with each request, so they are stored in an
 * array.
 */
public final class BalancerParameters {

    /**
     * A parameter, with its setting name, its default and its range. Most are plain numbers; a unit
     * is part of the name.
     */
    public enum Parameter {
        /**
         * Probes per request while requests are served: a probe costs real work and changes little.
         */
        PROBES_PER_REQUEST("probes-per-call", 0.1, 0, 16),
        /**
         * Minimum number of probes per request while attempts fail, since endpoints differ then.
         */
        PROBES_PER_REQUEST_FAILING("probes-per-call-failing", 0.3, 0, 16),
        /**
         * Fraction of failed attempts at which {@link #PROBES_PER_REQUEST_FAILING} is reached;
         * below it the rate rises linearly.
         */
        PROBE_RATE_FAILURE_SHARE("probes-failed-share", 0.1, 0.001, 1),
        /**
         * Probes per request while the pool is sparse, since picks from an empty pool are
         * uninformed.
         */
        PROBES_PER_REQUEST_SPARSE("probes-per-call-thin", 1, 0, 16),
        /** A pool with fewer entries than this is sparse; 0: never. */
        SPARSE_POOL_SIZE("thin-pool", 3, 0, 256),
        /** Maximum number of entries in the pool, as in the paper; a fraction is ignored. */
        POOL_CAPACITY("pool-size", 16, 1, 256),
        /**
         * Maximum age of an entry in the pool. Its RIF has lost its influence long before; its
         * latency remains valid longer.
         */
        PROBE_MAX_AGE_MS("max-age-ms", 5000, 1, 600_000),
        /**
         * Age of a report when it is received: endpoints refresh their reports a few times a
         * second.
         */
        REPORT_AGE_MS("report-age-ms", 200, 0, 60_000),
        /**
         * Weight of the newest reported latency in the average: a report is a mean over few
         * requests, and noisy.
         */
        REPORTED_LATENCY_WEIGHT("report-weight", 0.3, 0.001, 1),
        /** A replica that has sent no probe for this long sends one. */
        IDLE_PROBE_INTERVAL_MS("idle-ms", 1000, 1, 600_000),
        /** An entry is hot if its RIF exceeds this quantile of the pool's. */
        RIF_QUANTILE("rif-quantile", 0.25, 0, 1),
        /** Minimum number of endpoints that a replica probes. */
        SUBSET_MIN_SIZE("roster-least", 6, 1, 100_000),
        /** Endpoints in the subset per attempt that is in flight on average. */
        SUBSET_PER_REQUEST("roster-per-call", 0.4, 0, 100),
        /**
         * Minimum number of replicas that have an endpoint in their subsets, so that no endpoint
         * goes unused.
         */
        SUBSET_COVERAGE("roster-cover", 2, 0, 100_000),
        /**
         * Number of mean latencies after which most of an endpoint's requests have been replaced by
         * others.
         */
        TURNOVER_LATENCIES("turnover-latencies", 2, 0.01, 1000),
        /** Weight of the newest latency in the averages. */
        LATENCY_WEIGHT("latency-weight", 0.05, 0.001, 1),
        /** An endpoint that has sent nothing for this many mean latencies is unresponsive. */
        UNRESPONSIVE_LATENCIES("silent-latencies", 6, 1, 1000),
        /** Maximum time of a request in the queue, as a fraction of its latency objective. */
        QUEUE_TIMEOUT_SHARE("hold-share", 0.1, 0, 1),
        /** Initial and minimum concurrency limit of an endpoint; 0: no limit. */
        INITIAL_ENDPOINT_LIMIT("held-start", 4, 0, 1e6),
        /** Influence of priority on the order of the queue; 0: first come, first served. */
        QUEUE_PRIORITY_EXPONENT("line-by-worth", 1, 0, 1),
        /**
         * Exponent of the number of attempts in flight by which the advice when to retry is
         * divided.
         */
        RETRY_AFTER_EXPONENT("come-back-turn", 1, 0, 1),
        /** A response is late if it takes this many times longer than others; 0: no hedging. */
        HEDGE_STRETCH("late-stretch", 3, 0, 1000),
        /** Further attempts that an admitted request adds to the retry budget. */
        RETRY_BUDGET_PER_REQUEST("extra-per-call", 0.1, 0, 16),
        /** Maximum number of further attempts in the retry budget, to bridge a short fault. */
        RETRY_BUDGET_MAX("extra-most", 10, 0, 1e6),
        /** Amount by which one slow response lowers the concurrency limit; 0: there is no limit. */
        LIMIT_DECREASE("limit-less", 1, 0, 1000),
        /**
         * Amount by which a quick response raises the concurrency limit, which settles where one
         * response in six is slow.
         */
        LIMIT_INCREASE("limit-more", 0.2, 0, 1000),
        /** A slow response cuts the limit to at most this many times the recent peak. */
        LIMIT_CUT_FACTOR("limit-cut", 4, 1, 1e6),
        /** A response is slow after this fraction of its latency objective. */
        SLOW_OBJECTIVE_SHARE("slow-share", 0.8, 0.01, 100),
        /**
         * Fraction of the limit that is not open to the requests with the least weight for their
         * work.
         */
        LIMIT_RESERVED_SHARE("kept-from-least", 0.8, 0, 1),
        /**
         * Fraction of the slow-start budget that is planned for; the rest is headroom for random
         * variation.
         */
        SLOW_START_BUDGET_SHARE("cold-share-used", 0.5, 0.01, 1);

        private final String settingName;
        private final double defaultValue;
        private final double min;
        private final double max;

        Parameter(String settingName, double defaultValue, double min, double max) {
            this.settingName = settingName;
            this.defaultValue = defaultValue;
            this.min = min;
            this.max = max;
        }

        /**
         * Returns the name under which the parameter is set and reported: lower-case letters and
         * hyphens.
         */
        public String settingName() {
            return settingName;
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

    /** The default parameters. */
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

    /** Returns a parameter, in its unit. */
    public double get(Parameter parameter) {
        return values[parameter.ordinal()];
    }

    /** Returns a parameter that is set in milliseconds, converted to nanoseconds. */
    long nanos(Parameter parameter) {
        return (long) (get(parameter) * NANOS_PER_MILLI);
    }

    /**
     * Returns these parameters with one of them changed.
     *
     * @throws IllegalArgumentException if the value is out of its range
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
