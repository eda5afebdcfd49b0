package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides when to send probes, and to which endpoints. Each request contributes a fraction of a
 * probe to a random endpoint of the subset (Prequal, section 4.1): a small fraction while attempts
 * succeed, since probe responses then change few picks, and a larger one the more attempts fail or
 * while the pool is nearly empty.
 */
final class ProbeScheduler {

    /**
     * Weight of the newest outcome in the average rate of failed attempts: about the last fifty
     * outcomes count.
     */
    private static final double NEWEST_FAILURE_WEIGHT = 0.02;

    private final BalancerSettings settings;
    private final BalancerParameters parameters;
    private final RandomGenerator random;
    private final Actions actions;
    private final EndpointSubset subset;
    private final ProbePool pool;

    /** The fraction of this replica's recent attempts that failed. */
    private double recentFailureRate;

    /** Probes that requests have contributed and that were not sent yet. */
    private double credit;

    private long lastProbeAt = Long.MIN_VALUE / 2;

    ProbeScheduler(
            BalancerSettings settings,
            BalancerParameters parameters,
            RandomGenerator random,
            Actions actions,
            EndpointSubset subset,
            ProbePool pool) {
        this.settings = settings;
        this.parameters = parameters;
        this.random = random;
        this.actions = actions;
        this.subset = subset;
        this.pool = pool;
    }

    void onAttemptEnded(Outcome outcome) {
        if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_STARTED) {
            double failed = outcome == Outcome.OK ? 0 : 1;
            recentFailureRate += NEWEST_FAILURE_WEIGHT * (failed - recentFailureRate);
        }
    }

    /** Adds a request's contribution of probes and sends those that are complete. */
    void onRequest(long now) {
        pool.removeExpired(now);
        credit +=
                pool.size() < parameters.get(Parameter.SPARSE_POOL_SIZE)
                        ? parameters.get(Parameter.PROBES_PER_REQUEST_SPARSE)
                        : probesPerRequest();
        for (; credit >= 1; credit--) {
            probeRandom(now);
        }
    }

    private double probesPerRequest() {
        double rateWhenHealthy = parameters.get(Parameter.PROBES_PER_REQUEST);
        double rateWhenFailing = parameters.get(Parameter.PROBES_PER_REQUEST_FAILING);
        double severity =
                Math.min(1, recentFailureRate / parameters.get(Parameter.PROBE_RATE_FAILURE_SHARE));
        return rateWhenHealthy + Math.max(0, rateWhenFailing - rateWhenHealthy) * severity;
    }

    /**
     * Sends a probe if none was sent for a while, so that the pool of a replica without requests
     * does not become empty; called periodically.
     */
    void onTick(long now) {
        if (now - lastProbeAt >= parameters.nanos(Parameter.IDLE_PROBE_INTERVAL_MS)) {
            probeRandom(now);
        }
    }

    private void probeRandom(long now) {
        List<EndpointState> members = subset.members();
        if (!members.isEmpty()) {
            probe(now, members.get(random.nextInt(members.size())));
        }
    }

    /** Probes an endpoint unless a probe to it is in flight or probing is not permitted. */
    void probe(long now, EndpointState endpoint) {
        if (settings.limits().probing() && endpoint.probe().maySend(now)) {
            endpoint.probe().onSent(now, endpoint.inFlight());
            lastProbeAt = now;
            actions.sendProbe(endpoint.id());
        }
    }

    /**
     * Records the end of a probe; a probe that failed removes the endpoint's entry from the pool.
     *
     * @param sentAt the instant at which the probe was sent
     * @param load null if nothing was reported
     */
    void onProbeEnded(
            long now, EndpointState endpoint, Outcome outcome, long sentAt, LoadReport load) {
        if (!endpoint.probe().onAnswer(sentAt)) {
            return;
        }
        if (outcome != Outcome.NOT_STARTED) {
            pool.remove(endpoint);
            endpoint.probe().setLastFailed(outcome != Outcome.OK && outcome != Outcome.REJECTED);
        }
        if (outcome == Outcome.OK
                && load != null
                && !Double.isNaN(load.inFlight())
                && endpoint.isReady()) {
            addReport(now, endpoint, load);
        }
    }

    private void addReport(long now, EndpointState endpoint, LoadReport load) {
        ProbeState probe = endpoint.probe();
        endpoint.onLoadReport(now, load.inFlight() - probe.ownInFlightAtSend());
        double reported = Double.isNaN(load.latencyMillis()) ? 0 : load.latencyMillis();
        double latency =
                probe.smoothLatency(reported, parameters.get(Parameter.REPORTED_LATENCY_WEIGHT));
        pool.add(now, endpoint, load.inFlight(), latency);
    }
}
