package cedarrudder.balancer;

import java.util.Arrays;

/**
 * The figures that the design leaves open, as one value. {@link #DEFAULTS} serves; a variant
 * changes some. Each has the unit that its name ends with; most are plain numbers. They are read
 * with each call, so they stand in an array.
 */
public final class BalancerParameters {

    /** What may be set: its default, and the least and the largest value allowed. */
    public enum Parameter {
        /**
         * Probes per call while calls go well: a probe costs real work, and can change little then.
         */
        PROBES_PER_REQUEST("probes-per-call", 0.1, 0, 16),
        /**
         * Probes per call, at least, where calls fail: endpoints differ then, and picks must
         * follow.
         */
        PROBES_PER_REQUEST_FAILING("probes-per-call-failing", 0.3, 0, 16),
        /**
         * Share of failed attempts from which on that many are sent; the rate rises evenly up to
         * it.
         */
        PROBE_RATE_FAILURE_SHARE("probes-failed-share", 0.1, 0.001, 1),
        /** Probes per call while the pool is thin: an empty pool means blind picks. */
        PROBES_PER_REQUEST_SPARSE("probes-per-call-thin", 1, 0, 16),
        /** A pool of fewer entries than this is thin; 0: never. */
        SPARSE_POOL_SIZE("thin-pool", 3, 0, 256),
        /** Entries kept at most, as in the paper; a part of one counts as none. */
        POOL_CAPACITY("pool-size", 16, 1, 256),
        /**
         * An older entry leaves. Its RIF has aged away long before; the latency holds for longer.
         */
        PROBE_MAX_AGE_MS("max-age-ms", 5000, 1, 600_000),
        /**
         * How old a report is when it comes: refreshed a few times a second, it is then on its way.
         */
        REPORT_AGE_MS("report-age-ms", 200, 0, 60_000),
        /** Weight of the newest reported latency: it is a mean over few requests, and noisy. */
        REPORTED_LATENCY_WEIGHT("report-weight", 0.3, 0.001, 1),
        /**
         * A replica that has sent no probe for this long sends one, so that its next call finds
         * some entry.
         */
        IDLE_PROBE_INTERVAL_MS("idle-ms", 1000, 1, 600_000),
        /** An entry is hot when its RIF exceeds this quantile of the pool's. */
        RIF_QUANTILE("rif-quantile", 0.25, 0, 1),
        /** Endpoints that a replica probes at least. */
        SUBSET_MIN_SIZE("roster-least", 6, 1, 100_000),
        /** Endpoints in the roster for each call that the replica has out on the average. */
        SUBSET_PER_REQUEST("roster-per-call", 0.4, 0, 100),
        /**
         * Replicas that have an endpoint in their rosters, at least: with few replicas none goes
         * unused.
         */
        SUBSET_COVERAGE("roster-cover", 2, 0, 100_000),
        /** An endpoint's requests have turned over, mostly, after this many mean latencies. */
        TURNOVER_LATENCIES("turnover-latencies", 2, 0.01, 1000),
        /** Weight of the newest latency in the means. */
        LATENCY_WEIGHT("latency-weight", 0.05, 0.001, 1),
        /** An endpoint from which nothing came back for this many mean latencies is silent. */
        UNRESPONSIVE_LATENCIES("silent-latencies", 6, 1, 1000),
        /**
         * A request is held for at most this share of its aim; then it is worth more told so than
         * kept.
         */
        QUEUE_TIMEOUT_SHARE("hold-share", 0.1, 0, 1),
        /** Requests that an endpoint may hold to begin with, and always; 0: no limit. */
        INITIAL_ENDPOINT_LIMIT("held-start", 4, 0, 1e6),
        /** How far worth decides who of those that wait goes first; 0: who came first does. */
        QUEUE_PRIORITY_EXPONENT("line-by-worth", 1, 0, 1),
        /**
         * How far the advice when to come back is divided by the calls out; 0: it is a request's
         * time.
         */
        RETRY_AFTER_EXPONENT("come-back-turn", 1, 0, 1),
        /**
         * An answer is late when it takes this many times longer than others for its work; 0: no
         * replicas.
         */
        HEDGE_STRETCH("late-stretch", 3, 0, 1000),
        /**
         * Further attempts that an ordinary call pays for: retries stay a small part of the load.
         */
        RETRY_BUDGET_PER_REQUEST("extra-per-call", 0.1, 0, 16),
        /** Further attempts that may be saved up, to get past a short trouble. */
        RETRY_BUDGET_MAX("extra-most", 10, 0, 1e6),
        /** What one slow answer takes off the limit of calls out at once; 0: there is no limit. */
        LIMIT_DECREASE("limit-less", 1, 0, 1000),
        /**
         * And what a quick one adds: it rests where one in six is slow, more than a bad endpoint
         * makes.
         */
        LIMIT_INCREASE("limit-more", 0.2, 0, 1000),
        /**
         * A slow answer cuts the limit to this many times the recent peak of calls out at most.
         * This avoids turning the least worthy away on quiet days: they stop at a small part of the
         * limit.
         */
        LIMIT_CUT_FACTOR("limit-cut", 4, 1, 1e6),
        /**
         * An answer is slow past this share of its aim: where one in six is, most are still in
         * time.
         */
        SLOW_OBJECTIVE_SHARE("slow-share", 0.8, 0.01, 100),
        /** Part of the limit that is kept from the requests worth least for their work. */
        LIMIT_RESERVED_SHARE("kept-from-least", 0.8, 0, 1),
        /** Part of the cold-start budget that is planned for; the rest is room for chance. */
        SLOW_START_BUDGET_SHARE("cold-share-used", 0.5, 0.01, 1);

        final String writtenName;
        final double standard;
        final double min;
        final double max;

        Parameter(String writtenName, double standard, double min, double max) {
            this.writtenName = writtenName;
            this.standard = standard;
            this.min = min;
            this.max = max;
        }
    }

    /** What serves where nothing else is said. */
    public static final BalancerParameters DEFAULTS =
            new BalancerParameters(
                    Arrays.stream(Parameter.values()).mapToDouble(f -> f.standard).toArray());

    private final double[] values;

    private BalancerParameters(double[] values) {
        this.values = values;
    }

    /** A figure, in its unit. */
    public double get(Parameter figure) {
        return values[figure.ordinal()];
    }

    /** A figure in milliseconds, as nanoseconds. */
    long nanos(Parameter figure) {
        return (long) (get(figure) * 1e6);
    }

    /** This value with one figure set; outside its range it is an IllegalArgumentException. */
    public BalancerParameters with(Parameter figure, double value) {
        if (!(value >= figure.min && value <= figure.max)) {
            throw BalancerParametersParser.notAllowed(figure, value);
        }
        double[] changed = values.clone();
        changed[figure.ordinal()] = value;
        return new BalancerParameters(changed);
    }
}
