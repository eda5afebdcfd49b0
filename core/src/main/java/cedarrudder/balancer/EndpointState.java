package cedarrudder.balancer;

import cedarrudder.admission.EndpointConcurrencyLimit;
import cedarrudder.balancer.BalancerSettings.SafetyRules;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.balancer.LoadBalancer.EndpointStatus;
import cedarrudder.balancer.LoadBalancer.Outcome;

/**
 * The state that this replica keeps for one incarnation of an endpoint: the attempts sent to it and
 * their outcomes, its probes, its connections, and how much may still be sent to it while it warms
 * up. A restart of the endpoint begins a new incarnation with a new state.
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

    /**
     * The instant since which attempts have been in flight with nothing received; valid while any
     * attempt is in flight.
     */
    private long waitingSince;

    /**
     * @param initialLimit the number of requests that may be in flight at the endpoint until more
     *     is known; 0: no limit
     * @param slowStartDebt the initial debt of the slow-start budget, in mean requests below zero,
     *     from 0 to 1
     */
    EndpointState(Endpoint endpoint, long now, double initialLimit, double slowStartDebt) {
        this.id = endpoint.id();
        this.ringOrder = scramble(endpoint.id());
        this.endpoint = endpoint;
        this.concurrencyLimit = new EndpointConcurrencyLimit(initialLimit);
        this.slowStartBudget = new SlowStartBudget(now, slowStartDebt);
    }

    /**
     * Hashes an id bijectively (the finalizer of SplitMix64), so that neighbouring ids become
     * unrelated.
     */
    private static long scramble(long id) {
        long z = id * 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    // ---- the entry in the endpoint list

    long id() {
        return id;
    }

    /**
     * Returns the endpoint's position in the ring of ready endpoints, the same at every replica and
     * unrelated to the endpoint's id.
     */
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

    /** Returns whether the endpoint is in another zone than this replica. */
    boolean isInOtherZone() {
        return inOtherZone;
    }

    void setInOtherZone(boolean other) {
        inOtherZone = other;
    }

    /** Returns whether the endpoint is in the subset, which this replica probes. */
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

    /**
     * Returns the minimum fraction of its full capacity that the endpoint has now, from {@link
     * SafetyRules#coldCapacityShare} to 1.
     */
    double capacity(long now, SafetyRules safety) {
        if (!isWarmingUp(now, safety)) {
            return 1;
        }
        double progress =
                Math.max(0, now - endpoint.startedAt()) / (double) safety.slowStartNanos();
        return safety.coldCapacityShare() + (1 - safety.coldCapacityShare()) * progress;
    }

    /**
     * Returns whether the slow-start budget permits an attempt.
     *
     * @param warmRate the rate at which one warm endpoint serves this replica, in mean requests per
     *     second
     */
    boolean withinSlowStartBudget(
            long now, double warmRate, BalancerParameters parameters, SafetyRules safety) {
        return slowStartBudget.refillAndCheck(
                now, capacity(now, safety), warmRate, parameters, safety);
    }

    // ---- attempts

    /**
     * Records an attempt that is sent.
     *
     * @param cost the cost of the attempt, in mean requests
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
            return; // reveals nothing about the endpoint
        }
        if (outcome != Outcome.TIMEOUT) {
            waitingSince = now;
        }
        failures.record(now, outcome == Outcome.OK);
    }

    /**
     * Records that another attempt was served while the response of this endpoint to the same
     * request paused.
     */
    void onOvertaken(long now) {
        failures.record(now, false);
    }

    /** Records a successful response; call it before {@link #onAttemptEnded}. */
    void onServed(long now, int replicas, long latency, long expectedWorkNanos) {
        concurrencyLimit.onResponse(estimatedInFlight(now, replicas), latency, expectedWorkNanos);
    }

    /**
     * Records that a response was aborted after it had begun and had been counted as successful;
     * counts two failures to compensate for that. Ignores an attempt that was sent to a former
     * incarnation.
     */
    void onResponseAborted(long now, long sentAt) {
        if (sentAt < endpoint.startedAt()) {
            return;
        }
        failures.record(now, false);
        failures.record(now, false);
    }

    /**
     * Records an attempt whose request is still being uploaded, and which the endpoint does not
     * execute yet.
     */
    void uploadStarted() {
        uploading++;
    }

    void uploadEnded() {
        uploading--;
    }

    /** Returns the number of this replica's own attempts in flight. */
    int inFlight() {
        return inFlight;
    }

    /** Returns whether nothing was sent to this incarnation yet. */
    boolean isUnused() {
        return unused;
    }

    // ---- health and load

    boolean isFailing(long now) {
        return failures.isFailing(now);
    }

    /**
     * Returns whether attempts are in flight and nothing was received for longer than the timeout,
     * even if the endpoint still responds to probes.
     */
    boolean isUnresponsive(long now, long timeoutNanos) {
        return inFlight > uploading && now - waitingSince > timeoutNanos;
    }

    /** Returns whether one more request may be sent within the endpoint's concurrency limit. */
    boolean hasCapacity(long now, int replicas) {
        return concurrencyLimit.hasCapacity(estimatedInFlight(now, replicas));
    }

    private double estimatedInFlight(long now, int replicas) {
        return concurrencyLimit.inFlight(now, inFlight - uploading, replicas);
    }

    /**
     * Records the number of requests that the endpoint reported to have in flight for other
     * replicas.
     */
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

    boolean checkForSurplusConnections() {
        return connections.checkForSurplus(inFlight);
    }

    void onIdleConnectionsClosed() {
        connections.onIdleClosed(inFlight);
    }

    ProbeState probe() {
        return probe;
    }
}
