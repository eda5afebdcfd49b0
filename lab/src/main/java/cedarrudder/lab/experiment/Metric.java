package cedarrudder.lab.experiment;

import cedarrudder.lab.result.RunResult;
import cedarrudder.toml.ConfigTable;
import java.util.function.ToDoubleFunction;

/** A figure of a run by which variants are compared. */
public enum Metric {

    /** The goal's mix of the parts of goodput, less the prices. */
    GOODPUT("Goodput less prices", "share of worth", true, RunResult::goodput),

    /** Goodput over the whole run. */
    WHOLE("Goodput of the whole run", "share of worth", true, RunResult::whole),

    /** Goodput of the worst window. */
    WORST_WINDOW("Goodput in the worst window", "share of worth", true, RunResult::worstWindow),

    /** Goodput of the class served worst. */
    WORST_CLASS("Goodput of the worst class", "share of worth", true, RunResult::worstClass),

    /** Goodput of the tenant served worst. */
    WORST_TENANT("Goodput of the worst tenant", "share of worth", true, RunResult::worstTenant),

    /** What prices took off. */
    CHARGES("Prices", "share of worth", false, r -> r.charges().sum()),

    /** Median latency. */
    P50("Latency, 50th percentile", "ms", false, r -> r.latency().p50()),

    /** Latency, 90th percentile. */
    P90("Latency, 90th percentile", "ms", false, r -> r.latency().p90()),

    /** Latency, 99th percentile. */
    P99("Latency, 99th percentile", "ms", false, r -> r.latency().p99()),

    /** Latency, 99.9th percentile. */
    P999("Latency, 99.9th percentile", "ms", false, r -> r.latency().p999()),

    /** Attempts a first try, over all tiers. */
    ATTEMPTS("Attempts a request", "attempts", false, RunResult::attempts),

    /**
     * Attempts at a tier for each that a client's first try needs there; of the tier that has the
     * most.
     */
    ATTEMPTS_TIER("Attempts a needed call, worst tier", "attempts", false, Curves::attempts),

    /** The same in the worst 10 s. */
    ATTEMPTS_WINDOW(
            "Attempts a needed call, worst tier and 10 s",
            "attempts",
            false,
            Curves::worstAttempts),

    /** From the end of the last fault until goodput is back. */
    RECOVERY("Time to recover", "s", false, Curves::recovery),

    /** Work that went into no answer that a client got. */
    WASTED("Work wasted", "share of work", false, Curves::wasted),

    /** Whether what goes unserved is worth least for its work: 1 where it is in that order. */
    SHED_ORDER("Order of what is shed", "rank correlation", true, Curves::shedOrder),

    /** Probes a first try, over all tiers. */
    PROBES("Probes a request", "probes", false, RunResult::probes),

    /** Second replicas a first try, over all tiers. */
    COPIES(
            "Second copies a request",
            "copies",
            false,
            r ->
                    r.tiers().stream().mapToLong(RunResult.TierResult::copies).sum()
                            / (double) Math.max(1, r.requests())),

    /** The share of first tries that ended with a refusal. */
    REFUSED(
            "Refused",
            "share of requests",
            false,
            r ->
                    r.classes().stream().mapToLong(RunResult.ClassResult::refused).sum()
                            / (double) Math.max(1, r.requests())),

    /** The share of first tries that failed or never had an answer. */
    FAILED(
            "Failed or unanswered",
            "share of requests",
            false,
            r ->
                    r.classes().stream().mapToLong(c -> c.failed() + c.unanswered()).sum()
                            / (double) Math.max(1, r.requests())),

    /** How often nodes choked. */
    CHOKES(
            "Chokes",
            "times",
            false,
            r -> r.tiers().stream().mapToLong(RunResult.TierResult::chokes).sum()),

    /** Breaches of the rules. */
    BREACHES(
            "Breaches of rules",
            "times",
            false,
            r -> r.breaches().stream().mapToLong(RunResult.Breach::count).sum());

    private final String title;
    private final String unit;
    private final boolean more;
    private final ToDoubleFunction<RunResult> of;

    Metric(String title, String unit, boolean more, ToDoubleFunction<RunResult> of) {
        this.title = title;
        this.unit = unit;
        this.more = more;
        this.of = of;
    }

    /** The value of one run, in the unit. */
    public double of(RunResult result) {
        return of.applyAsDouble(result);
    }

    /** What it is, for headings. */
    public String title() {
        return title;
    }

    /** Its unit, for axes. */
    public String unit() {
        return unit;
    }

    /** Whether more is better. */
    public boolean more() {
        return more;
    }

    /** As plans write it: {@code worst-window}. */
    @Override
    public String toString() {
        return ConfigTable.written(this);
    }
}
