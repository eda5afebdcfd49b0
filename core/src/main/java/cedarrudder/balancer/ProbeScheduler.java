package cedarrudder.balancer;

import cedarrudder.balancer.BalancerParameters.Parameter;
import cedarrudder.balancer.LoadBalancer.Actions;
import cedarrudder.balancer.LoadBalancer.LoadReport;
import cedarrudder.balancer.LoadBalancer.Outcome;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * When and whom to probe. Each request pays for a part of a probe to a random endpoint of the
 * subset (Prequal, section 4.1): a small one while attempts succeed, since answers then change few
 * picks, and a larger one the more attempts fail or while the pool is nearly empty.
 */
final class ProbeScheduler {

    /** Weight of the newest outcome in the share of failed attempts: about the last fifty count. */
    private static final double NEWEST_FAILURE_WEIGHT = 0.02;

    private final BalancerSettings settings;
    private final BalancerParameters parameters;
    private final RandomGenerator random;
    private final Actions actions;
    private final EndpointSubset subset;
    private final ProbePool pool;

    /** The share of this replica's recent attempts that failed. */
    private double failureShare;

    /** Probes that requests have paid for and that were not sent yet. */
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
            failureShare += NEWEST_FAILURE_WEIGHT * (failed - failureShare);
        }
    }

    /** Sends the probes that a request has paid for. */
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
        double calm = parameters.get(Parameter.PROBES_PER_REQUEST);
        double failing = parameters.get(Parameter.PROBES_PER_REQUEST_FAILING);
        double severity =
                Math.min(1, failureShare / parameters.get(Parameter.PROBE_RATE_FAILURE_SHARE));
        return calm + Math.max(0, failing - calm) * severity;
    }

    /** Keeps the pool of a replica without requests from running dry; called now and then. */
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

    /** Probes an endpoint unless a probe to it is in flight. */
    void probe(long now, EndpointState endpoint) {
        if (settings.limits().probing() && endpoint.probe().maySend(now)) {
            endpoint.probe().onSent(now, endpoint.inFlight());
            lastProbeAt = now;
            actions.sendProbe(endpoint.id());
        }
    }

    /**
     * Takes the answer to a probe; one that failed removes the endpoint's entry.
     *
     * @param sentAt when the probe was sent that is answered
     * @param load null where no report came
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
