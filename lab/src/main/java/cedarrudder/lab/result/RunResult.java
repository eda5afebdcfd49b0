package cedarrudder.lab.result;

import java.util.List;

/**
 * What one run came to. Everything in it follows from scenario, variant and seed, so equal runs are
 * equal to the byte; what the run cost the machine stands in {@link Cost}, beside it.
 *
 * <p>Goodput is the worth answered within its aim over the worth asked for, from the lead on;
 * repeats by a client belong to its first try. Latencies are milliseconds from the first try's
 * start to the answer.
 *
 * @param seed the run's seed
 * @param requests first tries that counted
 * @param goodput the goal's mix of the four parts below, less the prices
 * @param whole over the whole run
 * @param worstWindow in the worst window
 * @param worstClass of the class served worst
 * @param worstTenant of the tenant served worst, within its share
 * @param latency over all that was served
 * @param groups first tries by class, and by whether their tenant was past its share
 * @param attempts attempts a first try, over all tiers
 * @param tiers each tier, from the first
 * @param series by second of the run, from its start
 * @param nodes each node that ever ran
 * @param breaches of the rules; empty on a clean run
 * @param finding why the run was ended early: a balancer that threw, looped or flooded; empty
 *     otherwise
 */
public record RunResult(
        String scenario,
        String variant,
        long seed,
        long requests,
        double goodput,
        double whole,
        double worstWindow,
        double worstClass,
        double worstTenant,
        Charges charges,
        Latency latency,
        double attempts,
        double probes,
        List<ClassResult> classes,
        List<TenantResult> tenants,
        List<Group> groups,
        List<TierResult> tiers,
        List<Second> series,
        List<NodeResult> nodes,
        List<Band> faults,
        List<Breach> breaches,
        String finding) {

    /** The same under another variant's name. */
    public RunResult as(String name) {
        return new RunResult(
                scenario,
                name,
                seed,
                requests,
                goodput,
                whole,
                worstWindow,
                worstClass,
                worstTenant,
                charges,
                latency,
                attempts,
                probes,
                classes,
                tenants,
                groups,
                tiers,
                series,
                nodes,
                faults,
                breaches,
                finding);
    }

    /** The same with what a referee found. */
    public RunResult judged(List<Breach> found) {
        return new RunResult(
                scenario,
                variant,
                seed,
                requests,
                goodput,
                whole,
                worstWindow,
                worstClass,
                worstTenant,
                charges,
                latency,
                attempts,
                probes,
                classes,
                tenants,
                groups,
                tiers,
                series,
                nodes,
                faults,
                found,
                finding);
    }

    /** What prices took off, each in parts of 1. */
    public record Charges(
            double waste, double probe, double peer, double lateFail, double overdriven) {
        /** All together. */
        public double sum() {
            return waste + probe + peer + lateFail + overdriven;
        }
    }

    /** Percentiles in milliseconds; all 0 where nothing was served. */
    public record Latency(double p50, double p90, double p99, double p999, double most) {}

    /**
     * One class: counts of first tries, and of how they ended.
     *
     * @param goodput the worth served within its aim over that asked for
     */
    public record ClassResult(
            String name,
            long requests,
            long inAim,
            long late,
            long refused,
            long failed,
            long unanswered,
            double goodput,
            Latency latency) {}

    /** One tenant: its goodput within its share. */
    public record TenantResult(String name, long requests, double goodput) {}

    /**
     * First tries of one class that were within their tenants' shares, or past them: one is past
     * when what its tenant had asked for before it, in the same second, had come to the share.
     *
     * @param worthPerWork as a part of that of the best class within its share
     * @param unserved that ended with no answer, for whatever reason
     */
    public record Group(
            String kind, boolean past, double worthPerWork, long requests, long unserved) {}

    /**
     * One tier.
     *
     * @param visits requests that come here for each of a client, on average, if none is ever
     *     repeated
     * @param work done for requests, in seconds on a core of speed 1
     * @param rpcs requests that its proxies took
     * @param attempts attempts that they sent
     * @param copies of which hedged requests: sent while another was out
     * @param outcomes by the order of {@code Balancer.Outcome}
     * @param refused requests that the proxies refused
     * @param failed requests that they failed
     * @param probes probes that they sent
     * @param wasted the share of the work done that went into nothing
     * @param chokes how often a node choked
     * @param fallen nodes pushed over while cold
     */
    public record TierResult(
            String name,
            int nodes,
            int proxies,
            double visits,
            long rpcs,
            long attempts,
            long copies,
            List<Long> outcomes,
            long refused,
            long failed,
            long probes,
            double work,
            double wasted,
            int chokes,
            int fallen) {}

    /**
     * One second of the run, by the first tries that came in it.
     *
     * @param asked worth asked for
     * @param served worth served within its aim
     * @param tries first tries
     * @param attempts attempts sent in it, over all tiers
     * @param byTier the same of each tier
     * @param inFlight requests held by nodes at its end, over all tiers
     */
    public record Second(
            double asked,
            double served,
            long tries,
            long attempts,
            List<Long> byTier,
            long inFlight) {}

    /** One node: its share of the time of its cores that was used, what it served and declined. */
    public record NodeResult(
            String tier,
            long endpoint,
            String kind,
            double speed,
            double busy,
            long served,
            long declined,
            double meanHeld,
            int chokes) {}

    /** A fault as it was played, in seconds since the start. */
    public record Band(String trouble, String tier, double from, double to, int machines) {}

    /**
     * The first breach of a rule in a run, and how many there were. Time in seconds since the
     * start.
     */
    public record Breach(
            int rule, double at, int proxy, long rpc, long endpoint, String what, long count) {}

    /**
     * What a run cost the machine it ran on.
     *
     * @param cpuSeconds of the thread that ran it
     * @param events that the model handled
     * @param decisionSeconds of which inside the balancers, as far as it was measured; 0 where it
     *     was not
     */
    public record Cost(double cpuSeconds, long events, double decisionSeconds) {}
}
