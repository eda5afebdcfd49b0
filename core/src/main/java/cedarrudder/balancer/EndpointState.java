package cedarrudder.balancer;

import cedarrudder.admission.EndpointConcurrencyLimit;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * What this replica knows of one incarnation of an endpoint: its own attempts there and how they
 * ended, its probes, its connections, and how much it may still send while the endpoint warms up. A
 * restart of the endpoint begins a new one.
 */
final class EndpointState {

    private final long id;
    private final long ringOrder;
    private final EndpointConcurrencyLimit concurrencyLimit;
    private final SlowStartBudget slowStartBudget;
    private final ConnectionEstimate connections = new ConnectionEstimate();
    private final FailureRate failures = new FailureRate();
    private final ProbeState probe = new ProbeState();
    private Endpoint endpoint;
    private boolean inSubset;
    private boolean inOtherZone;
    private boolean unused = true;
    private int inFlight;
    private int uploading;

    /** Since when attempts have been in flight with nothing coming back; valid while any is. */
    private long waitingSince;

    /**
     * @param initialLimit how many requests it may hold until more is known of it; 0: any number
     * @param slowStartDebt where its slow-start budget begins, in mean requests below zero, from 0
     *     to 1
     */
    EndpointState(Endpoint endpoint, long now, double initialLimit, double slowStartDebt) {
        this.id = endpoint.id();
        this.ringOrder = scramble(endpoint.id());
        this.endpoint = endpoint;
        this.concurrencyLimit = new EndpointConcurrencyLimit(initialLimit);
        this.slowStartBudget = new SlowStartBudget(now, slowStartDebt);
    }

    /** A bijective hash (the finalizer of SplitMix64): neighbouring ids become unrelated. */
    private static long scramble(long id) {
        long z = id * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    // ---- what the endpoint list says

    long id() {
        return id;
    }

    /** Its position among ready endpoints, the same at every replica and unrelated to its id. */
    long ringOrder() {
        return ringOrder;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(Endpoint listed) {
        endpoint = listed;
    }

    int zone() {
        return endpoint.zone();
    }

    boolean isReady() {
        return endpoint.status() == EndpointStatus.READY;
    }

    /** Whether it is in another zone than this replica. */
    boolean isInOtherZone() {
        return inOtherZone;
    }

    void setInOtherZone(boolean other) {
        inOtherZone = other;
    }

    /** Whether this replica probes it. */
    boolean isInSubset() {
        return inSubset;
    }

    void setInSubset(boolean member) {
        inSubset = member;
    }

    // ---- slow start

    boolean isWarmingUp(long now, SafetyRules safety) {
        return endpoint.startedAt() != 0 && now - endpoint.startedAt() < safety.slowStartNanos();
    }

    /** The share of its whole capacity that it has at least, from the cold share to 1. */
    double capacity(long now, SafetyRules safety) {
        if (!isWarmingUp(now, safety)) {
            return 1;
        }
        double progress =
                Math.max(0, now - endpoint.startedAt()) / (double) safety.slowStartNanos();
        return safety.coldCapacityShare() + (1 - safety.coldCapacityShare()) * progress;
    }

    /**
     * Whether the slow-start budget has room for an attempt.
     *
     * @param warmRate what one warm endpoint does for this replica, in mean requests a second
     */
    boolean withinSlowStartBudget(
            long now, double warmRate, BalancerParameters parameters, SafetyRules safety) {
        return slowStartBudget.tryRefill(now, capacity(now, safety), warmRate, parameters, safety);
    }

    // ---- attempts

    /**
     * Records an attempt.
     *
     * @param cost what it costs, in mean requests
     */
    void onAttemptSent(long now, double cost) {
        unused = false;
        if (inFlight == 0) {
            waitingSince = now;
        }
        inFlight++;
        connections.onAttemptSent(inFlight);
        slowStartBudget.spend(cost);
    }

    void onAttemptEnded(long now, Outcome outcome) {
        inFlight--;
        if (outcome == Outcome.CONNECT_FAILED) {
            connections.onConnectFailed(now, inFlight);
        }
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_STARTED) {
            return; // says nothing of the endpoint
        }
        if (outcome != Outcome.TIMEOUT) {
            waitingSince = now;
        }
        failures.record(now, outcome == Outcome.OK);
    }

    /** Records a good answer, before {@link #onAttemptEnded}. */
    void onServed(long now, int replicas, long latency, long expectedWorkNanos) {
        concurrencyLimit.onResponse(held(now, replicas), latency, expectedWorkNanos);
    }

    /**
     * An answer that had begun, and was counted as good, was aborted: it counts as two failures to
     * make up for that. An attempt sent to a former incarnation says nothing of this one.
     */
    void onResponseAborted(long now, long sentAt) {
        if (sentAt < endpoint.startedAt()) {
            return;
        }
        failures.record(now, false);
        failures.record(now, false);
    }

    /** An attempt went out whose request is still being uploaded: it is not executed yet. */
    void uploadStarted() {
        uploading++;
    }

    void uploadEnded() {
        uploading--;
    }

    /** This replica's own attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Whether nothing was sent to it since it started. */
    boolean isUnused() {
        return unused;
    }

    // ---- what counts against it

    boolean isFailing(long now) {
        return failures.isFailing(now);
    }

    /**
     * Whether nothing came back for too long while attempts are in flight, though it may still
     * answer probes.
     */
    boolean isUnresponsive(long now, long timeoutNanos) {
        return inFlight > uploading && now - waitingSince > timeoutNanos;
    }

    /** Whether it may be given one more request. */
    boolean hasCapacity(long now, int replicas) {
        return concurrencyLimit.hasCapacity(held(now, replicas));
    }

    private double held(long now, int replicas) {
        return concurrencyLimit.inFlight(now, inFlight - uploading, replicas);
    }

    /** Takes what it reported to have in flight for other replicas. */
    void onLoadReport(long now, double inFlightOfOthers) {
        concurrencyLimit.onLoadReport(now, inFlightOfOthers);
    }

    // ---- connections and probes

    boolean needsNewConnection() {
        return connections.needsNewConnection(inFlight);
    }

    boolean isOutOfConnections(long now) {
        return connections.isOutOfConnections(now, inFlight);
    }

    boolean takeSurplusConnections() {
        return connections.takeSurplus(inFlight);
    }

    void onIdleConnectionsClosed() {
        connections.onIdleClosed(inFlight);
    }

    ProbeState probe() {
        return probe;
    }
}
